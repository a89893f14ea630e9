package bench

import (
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

// Assumed cost of moving the KV cache of an answer: 128 KB per token at 5 GB/s
// within a data centre and at 1.3 GB/s between two, plus a fixed time for the
// calls. Recomputing a prompt token takes prefillToken.
const (
	kvFixed    = 10 * time.Millisecond
	kvToken    = 25 * time.Microsecond
	kvTokenFar = 100 * time.Microsecond
)

// resumesElsewhere reports whether the stopped attempt continues on another engine
// with its KV cache.
func resumesElsewhere(stop policy.Stop, rest []policy.Action) bool {
	for _, action := range rest {
		if start, ok := action.(policy.Start); ok && start.ID == stop.ID {
			return start.ResumeFrom != ""
		}
	}
	return false
}

// moveKV exports the old attempt from its engine and imports it at the new one. If
// the old engine no longer has it, the new attempt recomputes its prefix.
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

// transfer returns the time of export and import, without the latency of the calls.
func (in *instance) transfer(from, to *engine, held int) time.Duration {
	token := kvToken
	if from.dataCenter != in.dataCenter || to.dataCenter != in.dataCenter {
		token = kvTokenFar
	}
	return kvFixed + number.Duration(float64(held)*float64(token)*from.slowdown)
}

// export removes a started answer from the engine; held is its length in tokens,
// including its prompt.
func (e *engine) export(j *job) (held int, ok bool) {
	if e.down || j.stopped || j.prefill > 0 || !slices.Contains(e.running, j) {
		return 0, false
	}
	j.stopped = true
	return j.call.prompt + j.generated, true
}

// replay delivers tokens that the old engine generated after its stream was closed.
func (e *engine) replay(j *job) {
	for range j.undelivered {
		j.generated++
		e.world.deliver(e.dataCenter, j, false)
	}
	j.undelivered = 0
}

// listLag is the largest delay with which the platform's list shows that a server is leaving.
const listLag = 1500 * time.Millisecond

// drainEngine marks the engine as leaving on the platform's list, which each instance
// reads with its own delay. The engine is terminated after the notice and replaced
// later.
func (w *world) drainEngine(e *engine, notice, absence time.Duration) {
	notify := func(leaving bool) {
		for _, in := range w.instances {
			late := number.Duration(w.random.Float64() * float64(listLag))
			w.clock.after(late, func() { in.step(policy.ServerState{Server: e.name, Leaving: leaving}) })
		}
	}
	notify(true)
	w.clock.after(notice, func() { e.terminate(absence) })
	w.clock.after(notice+absence, func() { notify(false) })
}

// terminate stops the engine without counting it as crashed.
func (e *engine) terminate(absence time.Duration) {
	e.crash(absence)
	e.crashes--
	e.world.tally.terminated++
}
