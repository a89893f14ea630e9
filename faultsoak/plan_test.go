package faultsoak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/lilacbridge/lilacbridge/platform/standin"
)

// step is an event of a run, at a time since its start.
type step struct {
	at          time.Duration
	description string
	do          func(r *run)
}

func (s step) String() string { return fmt.Sprintf("%6.1fs %s", s.at.Seconds(), s.description) }

const (
	// warmUp is the time without faults at the start of a run. After the last fault the
	// fleet has twice settleTime to recover.
	warmUp     = 2 * time.Second
	settleTime = 12 * time.Second
	// startTimeout bounds the start of a fleet.
	startTimeout = 60 * time.Second
	// stopTimeout bounds a graceful stop: drain lag, drain and shutdown.
	stopTimeout = 20 * time.Second
)

// plan derives the steps from the seed. At most one state process is faulty at a time, since
// the guarantees require a majority; any number of entries may be.
func plan(seed uint64, length time.Duration, states, entries, servers int) []step {
	random := rand.New(rand.NewPCG(seed, 77))
	var steps []step
	nextStateFault := time.Duration(0)
	for at := warmUp; at < length; at += time.Duration(300+random.IntN(1500)) * time.Millisecond {
		for range 1 + random.IntN(2) {
			duration := time.Duration(500+random.IntN(3000)) * time.Millisecond
			if random.IntN(3) == 0 && at >= nextStateFault {
				nextStateFault = at + duration + 4*time.Second
				steps = append(steps, stateFault(random, at, duration, random.IntN(states)))
				continue
			}
			steps = append(steps, entryFault(random, at, duration, random.IntN(entries), random.IntN(servers)))
		}
		if random.IntN(2) == 0 {
			steps = append(steps, step{at, "document change", (*run).change})
		}
		if random.IntN(6) == 0 {
			steps = append(steps, step{at, "key revoked", (*run).revoke})
		}
	}
	if random.IntN(2) == 0 {
		steps = append(steps, step{length, "all processes killed after a document change", (*run).killAll})
	}
	// These use a separate generator, so that the other steps of a seed stay the same.
	steps = append(steps, limitSteps(seed, length, servers)...)
	steps = append(steps, outageSteps(seed, length)...)
	steps = append(steps, unendingSteps(seed, length, servers)...)
	steps = append(steps, refusalSteps(seed, length, servers)...)
	steps = append(steps, releaseSteps(seed, length, servers)...)
	steps = append(steps, outOfStepSteps(seed, length, entries)...)
	steps = append(steps, oddSteps(seed, length)...)
	steps = append(steps, crowdSteps(seed, length, states, entries)...)
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return steps
}

// unendingSteps has a server answer without end, once in a run.
func unendingSteps(seed uint64, length time.Duration, servers int) []step {
	random := rand.New(rand.NewPCG(seed, 80))
	at := warmUp + time.Duration(random.Int64N(int64(max(length-warmUp, 1))))
	server := random.IntN(servers)
	duration := time.Second + time.Duration(random.Int64N(int64(time.Second)))
	return []step{{at, fmt.Sprintf("server %d answers without end for %v", server, duration), func(r *run) { r.injectServerFault(server, standin.Unending, duration) }}}
}

// refusalSteps has servers refuse requests and send the refusals once more.
func refusalSteps(seed uint64, length time.Duration, servers int) []step {
	random := rand.New(rand.NewPCG(seed, 81))
	var steps []step
	for at := warmUp; at < length; at += time.Duration(300+random.IntN(700)) * time.Millisecond {
		fault := [...]standin.Fault{standin.OverloadedTwice, standin.MisdirectedTwice}[random.IntN(2)]
		first, duration := random.IntN(servers), time.Duration(300+random.IntN(700))*time.Millisecond
		steps = append(steps, step{at, fmt.Sprintf("servers from %d refuse twice (fault %d) for %v", first, fault, duration), func(r *run) {
			for server := first; server < servers; server++ {
				r.injectServerFault(server, fault, duration)
			}
		}})
	}
	return steps
}

// killAll kills every process after a change has been acknowledged. No process keeps its
// memory, so that a change that was not made durable is lost.
func (r *run) killAll() {
	r.faults.Wait()
	r.put(func(*documentState) {})
	for _, p := range r.fleet.processes() {
		r.stopAndRestart(p, syscall.SIGKILL, time.Second)
	}
}

func stateFault(random *rand.Rand, at, duration time.Duration, i int) step {
	faults := []struct {
		description string
		do          func(r *run, p *process)
	}{
		{"killed", func(r *run, p *process) { r.stopAndRestart(p, syscall.SIGKILL, duration) }},
		{"stopped", func(r *run, p *process) { r.stopAndRestart(p, syscall.SIGTERM, duration) }},
		{"emptied", func(r *run, p *process) { r.wipe(p, duration) }},
		{"paused", func(r *run, p *process) { r.pause(p, duration) }},
		{"silent", func(r *run, p *process) { r.applyProxyMode(p, blackhole, 0, duration) }},
		{"deaf", func(r *run, p *process) { r.applyProxyMode(p, dropInbound, 0, duration) }},
		{"delayed", func(r *run, p *process) { r.applyProxyMode(p, delaying, 150*time.Millisecond, duration) }},
		{"reset", func(_ *run, p *process) { p.proxy.reset() }},
	}
	f := faults[random.IntN(len(faults))]
	return step{at, fmt.Sprintf("state-%d %s for %v", i, f.description, duration), func(r *run) { f.do(r, r.fleet.states[i]) }}
}

func entryFault(random *rand.Rand, at, duration time.Duration, i, server int) step {
	serverFault := standin.Fault(random.IntN(int(standin.Hang) + 1))
	faults := []struct {
		description string
		do          func(r *run, p *process)
	}{
		{"killed", func(r *run, p *process) { r.stopAndRestart(p, syscall.SIGKILL, duration) }},
		{"stopped", func(r *run, p *process) { r.stopAndRestart(p, syscall.SIGTERM, duration) }},
		{"paused", func(r *run, p *process) { r.pause(p, duration) }},
		{"silent", func(r *run, p *process) { r.applyProxyMode(p, blackhole, 0, duration) }},
		{"signalled", func(_ *run, p *process) { p.signal(syscall.SIGHUP) }},
	}
	choice := random.IntN(len(faults) + 2)
	switch choice - len(faults) {
	case 0:
		return step{at, fmt.Sprintf("server %d fault %d for %v", server, serverFault, duration), func(r *run) { r.injectServerFault(server, serverFault, duration) }}
	case 1:
		return step{at, fmt.Sprintf("server %d drains for %v", server, duration+6*time.Second), func(r *run) { r.drain(server, duration+6*time.Second) }}
	}
	f := faults[choice]
	return step{at, fmt.Sprintf("entry-%d %s for %v", i, f.description, duration), func(r *run) { f.do(r, r.fleet.entries[i]) }}
}

// stopAndRestart stops the process by a signal and restarts it after the duration.
func (r *run) stopAndRestart(p *process, s syscall.Signal, duration time.Duration) {
	if !r.acquire(p) {
		return
	}
	r.background(func() {
		defer r.release(p)
		defer r.beginOutage(p, killed)()
		if s == syscall.SIGTERM {
			r.recordStop(p)
		}
		if !p.terminate(s, stopTimeout) {
			r.violation("stop", "%s did not exit within %v of SIGTERM", p.name, stopTimeout)
		}
		r.sleep(duration)
		r.restart(p)
	})
}

// wipe kills a state process, deletes its data and restarts it after the duration. It then
// joins as a new member.
func (r *run) wipe(p *process, duration time.Duration) {
	if !r.acquire(p) {
		return
	}
	r.background(func() {
		defer r.release(p)
		defer r.beginOutage(p, killed)()
		p.terminate(syscall.SIGKILL, stopTimeout)
		if err := os.RemoveAll(p.data); err != nil {
			r.violation("harness", "%v", err)
		}
		r.sleep(duration)
		r.restart(p)
	})
}

func (r *run) pause(p *process, duration time.Duration) {
	if !r.acquire(p) {
		return
	}
	r.background(func() {
		defer r.release(p)
		defer r.beginOutage(p, partitioned)()
		p.signal(syscall.SIGSTOP)
		r.sleep(duration)
		p.signal(syscall.SIGCONT)
	})
}

func (r *run) applyProxyMode(p *process, mode proxyMode, delay, duration time.Duration) {
	r.background(func() {
		defer r.beginOutage(p, partitioned)()
		p.proxy.set(mode, delay)
		r.sleep(duration)
		p.proxy.set(passing, 0)
	})
}

// injectServerFault injects the fault into every second request of a server.
func (r *run) injectServerFault(server int, fault standin.Fault, duration time.Duration) {
	r.background(func() {
		s := r.fleet.server(server)
		s.SetFaults(func(n int) standin.Fault {
			if n%2 == 0 {
				return fault
			}
			return standin.None
		})
		r.sleep(duration)
		s.SetFaults(nil)
	})
}

func (r *run) drain(server int, duration time.Duration) {
	r.background(func() {
		identity := r.fleet.server(server).Identity
		r.fleet.setDraining(identity, true)
		r.sleep(duration)
		r.fleet.setDraining(identity, false)
	})
}
