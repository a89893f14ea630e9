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

// step is one thing that happens in a run.
type step struct {
	at   time.Duration
	what string
	do   func(r *run)
}

func (s step) String() string { return fmt.Sprintf("%6.1fs %s", s.at.Seconds(), s.what) }

const (
	// healthyStart lets a run begin with a fleet that serves, settle ends it so.
	healthyStart = 2 * time.Second
	settle       = 12 * time.Second
	// startPatience bounds the first start of a whole fleet.
	startPatience = 60 * time.Second
	// stopPatience is drain lag, drain and the closing of a process.
	stopPatience = 20 * time.Second
)

// plan draws what happens from the seed. At most one state process of three is
// down or emptied at once, as the promises say; entries may all go.
func plan(seed uint64, length time.Duration, states, entries, servers int) []step {
	random := rand.New(rand.NewPCG(seed, 77))
	var steps []step
	stateFree := time.Duration(0)
	for at := healthyStart; at < length; at += time.Duration(300+random.IntN(1500)) * time.Millisecond {
		for range 1 + random.IntN(2) {
			lasts := time.Duration(500+random.IntN(3000)) * time.Millisecond
			if random.IntN(3) == 0 && at >= stateFree {
				stateFree = at + lasts + 4*time.Second
				steps = append(steps, stateFault(random, at, lasts, random.IntN(states)))
				continue
			}
			steps = append(steps, entryFault(random, at, lasts, random.IntN(entries), random.IntN(servers)))
		}
		if random.IntN(2) == 0 {
			steps = append(steps, step{at, "change of the document", (*run).change})
		}
		if random.IntN(6) == 0 {
			steps = append(steps, step{at, "a key is taken away", (*run).revoke})
		}
	}
	if random.IntN(2) == 0 {
		steps = append(steps, step{length, "all are killed after a change", (*run).darken})
	}
	// Drawn apart, so that seeds that failed once go on meaning the same faults.
	steps = append(steps, limitSteps(seed, length, servers)...)
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return steps
}

// darken has a change acknowledged and kills every process: nothing that comes
// later makes good what one of them does not find again.
func (r *run) darken() {
	r.faults.Wait()
	r.put(func(*documentState) {})
	for _, p := range r.fleet.processes() {
		r.down(p, syscall.SIGKILL, time.Second)
	}
}

func stateFault(random *rand.Rand, at, lasts time.Duration, i int) step {
	faults := []struct {
		what string
		do   func(r *run, p *process)
	}{
		{"killed", func(r *run, p *process) { r.down(p, syscall.SIGKILL, lasts) }},
		{"stopped", func(r *run, p *process) { r.down(p, syscall.SIGTERM, lasts) }},
		{"emptied", func(r *run, p *process) { r.empty(p, lasts) }},
		{"paused", func(r *run, p *process) { r.pause(p, lasts) }},
		{"silent", func(r *run, p *process) { r.through(p, silent, 0, lasts) }},
		{"deaf", func(r *run, p *process) { r.through(p, deaf, 0, lasts) }},
		{"delayed", func(r *run, p *process) { r.through(p, delaying, 150*time.Millisecond, lasts) }},
		{"reset", func(_ *run, p *process) { p.proxy.reset() }},
	}
	f := faults[random.IntN(len(faults))]
	return step{at, fmt.Sprintf("state-%d %s for %v", i, f.what, lasts), func(r *run) { f.do(r, r.fleet.states[i]) }}
}

func entryFault(random *rand.Rand, at, lasts time.Duration, i, server int) step {
	serverFault := standin.Fault(random.IntN(int(standin.Hang) + 1))
	faults := []struct {
		what string
		do   func(r *run, p *process)
	}{
		{"killed", func(r *run, p *process) { r.down(p, syscall.SIGKILL, lasts) }},
		{"stopped", func(r *run, p *process) { r.down(p, syscall.SIGTERM, lasts) }},
		{"paused", func(r *run, p *process) { r.pause(p, lasts) }},
		{"silent", func(r *run, p *process) { r.through(p, silent, 0, lasts) }},
		{"signalled", func(_ *run, p *process) { p.signal(syscall.SIGHUP) }},
	}
	choice := random.IntN(len(faults) + 2)
	switch choice - len(faults) {
	case 0:
		return step{at, fmt.Sprintf("server %d fault %d for %v", server, serverFault, lasts), func(r *run) { r.spoil(server, serverFault, lasts) }}
	case 1:
		return step{at, fmt.Sprintf("server %d drains for %v", server, lasts+6*time.Second), func(r *run) { r.drain(server, lasts+6*time.Second) }}
	}
	f := faults[choice]
	return step{at, fmt.Sprintf("entry-%d %s for %v", i, f.what, lasts), func(r *run) { f.do(r, r.fleet.entries[i]) }}
}

// down ends the process and starts it again later.
func (r *run) down(p *process, s syscall.Signal, lasts time.Duration) {
	if !r.busy(p) {
		return
	}
	r.later(func() {
		defer r.free(p)
		defer r.hurting(p)()
		if s == syscall.SIGTERM {
			r.stopping(p)
		}
		if !p.end(s, stopPatience) {
			r.broken("stop", "%s did not end %v after SIGTERM", p.name, stopPatience)
		}
		r.sleep(lasts)
		r.restart(p)
	})
}

// empty kills a state process and takes its disk: it comes back as a new member.
func (r *run) empty(p *process, lasts time.Duration) {
	if !r.busy(p) {
		return
	}
	r.later(func() {
		defer r.free(p)
		p.end(syscall.SIGKILL, stopPatience)
		if err := os.RemoveAll(p.data); err != nil {
			r.broken("harness", "%v", err)
		}
		r.sleep(lasts)
		r.restart(p)
	})
}

func (r *run) pause(p *process, lasts time.Duration) {
	if !r.busy(p) {
		return
	}
	r.later(func() {
		defer r.free(p)
		defer r.hurting(p)()
		p.signal(syscall.SIGSTOP)
		r.sleep(lasts)
		p.signal(syscall.SIGCONT)
	})
}

func (r *run) through(p *process, mode proxyMode, delay, lasts time.Duration) {
	r.later(func() {
		defer r.hurting(p)()
		p.proxy.set(mode, delay)
		r.sleep(lasts)
		p.proxy.set(passing, 0)
	})
}

// spoil has every second request of a server go wrong for a while.
func (r *run) spoil(server int, fault standin.Fault, lasts time.Duration) {
	r.later(func() {
		s := r.fleet.servers[server]
		s.SetFaults(func(n int) standin.Fault {
			if n%2 == 0 {
				return fault
			}
			return standin.None
		})
		r.sleep(lasts)
		s.SetFaults(nil)
	})
}

func (r *run) drain(server int, lasts time.Duration) {
	r.later(func() {
		identity := r.fleet.servers[server].Identity
		r.fleet.drain(identity, true)
		r.sleep(lasts)
		r.fleet.drain(identity, false)
	})
}
