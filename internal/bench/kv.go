package bench

import (
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/request/policy"
)

// What moving an answer's KV cache takes, as the bench assumes it: 128 KB for a
// token at 5 GB/s inside a data centre and at 1.3 GB/s between two, and some
// time for the calls. Computing a token of a prompt takes prefillToken.
const (
	kvFixed    = 10 * time.Millisecond
	kvToken    = 25 * time.Microsecond
	kvTokenFar = 100 * time.Microsecond
)

// movesOn tells whether the stopped attempt goes on elsewhere with its KV cache.
func resumesElsewhere(stop policy.Stop, rest []policy.Action) bool {
	for _, action := range rest {
		if start, ok := action.(policy.Start); ok && start.ID == stop.ID {
			return start.ResumeFrom != ""
		}
	}
	return false
}

// carry exports the old attempt at its engine and imports it at the new one's.
// An engine that no longer holds it makes the new attempt compute its prefix.
func (in *instance) moveKV(old, j *job, to *engine) {
	from := old.at.(*engine)
	out := latency(in.dataCenter, from.dataCenter)
	in.world.clock.after(out, func() {
		held, ok := from.export(old)
		if !ok || !in.world.connected(in.dataCenter, from.dataCenter) {
			old.stopped = true
			in.step(policy.Recomputed{ID: policy.ID(j.call.id), Attempt: j.attempt})
			in.world.clock.after(out, func() { in.send(j, to) })
			return
		}
		j.imported, j.undelivered = true, old.generated-j.generated
		in.world.tally.kvTokensMoved += held
		in.world.clock.after(in.transfer(from, to, held)+out, func() { in.send(j, to) })
	})
}

// transfer is the time of export and import, without the ways of the calls.
func (in *instance) transfer(from, to *engine, held int) time.Duration {
	token := kvToken
	if from.dataCenter != in.dataCenter || to.dataCenter != in.dataCenter {
		token = kvTokenFar
	}
	return kvFixed + time.Duration(float64(held)*float64(token)*from.slowdown)
}

// export takes an answer that has begun out of the engine; held is its length
// with its prompt, in tokens.
func (e *engine) export(j *job) (held int, ok bool) {
	if e.down || j.stopped || j.prefill > 0 || !slices.Contains(e.running, j) {
		return 0, false
	}
	j.stopped = true
	return j.call.prompt + j.generated, true
}

// replay delivers what the old engine made after its stream was left.
func (e *engine) replay(j *job) {
	for range j.undelivered {
		j.generated++
		e.world.deliver(e.dataCenter, j, false)
	}
	j.undelivered = 0
}

// listLag is how late the platform's list tells that a server leaves, at most.
const listLag = 1500 * time.Millisecond

// leave tells the instances, each by its own look at the platform's list, that
// the engine is leaving; it vanishes after the notice, and a new one takes its
// place later.
func (w *world) drainEngine(e *engine, notice, absence time.Duration) {
	notify := func(leaving bool) {
		for _, in := range w.instances {
			late := time.Duration(w.random.Float64() * float64(listLag))
			w.clock.after(late, func() { in.step(policy.ServerState{Server: e.name, Leaving: leaving}) })
		}
	}
	notify(true)
	w.clock.after(notice, func() { e.terminate(absence) })
	w.clock.after(notice+absence, func() { notify(false) })
}

// vanish is a crash that nobody is to blame for.
func (e *engine) terminate(absence time.Duration) {
	e.crash(absence)
	e.crashes--
	e.world.tally.terminated++
}
