package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/request/policy"
)

// Eight engines are taken back in turn, each with a few seconds' notice. Answers
// move with their KV cache while tokens are still on their way from the old
// engine: one that came twice, or none at all, would spoil the answer. Every
// third answer must not be made twice.
func TestMovedAnswersComeWhole(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, seed := range seeds[:2] {
		f := testFleet("alerts", 60*time.Second)
		for i := range f.classes {
			f.classes[i].idempotent = min(f.classes[i].idempotent, 0.67)
		}
		s := &scenario{name: "proof-drain", length: 110 * time.Second, load: 0.8, reportLag: steadyLag, digestLoss: 0.1, faults: drain}
		w := newWorld(f, s, seed, policy.New)
		w.run(generate(f, s, seed))
		out := checkInvariants(t, seed, w)
		is.True(out.KVTokensMoved > 0)
		is.Equal(w.tally.terminated, drainedEngines)
		for _, k := range w.calls {
			if k.outcome == broken && k.idempotent || k.outcome == answered && !k.class.service && k.received != k.output {
				t.Errorf("seed %d: call %d of %s ended with %d: %d of %d tokens", seed, k.id, k.class.name, k.outcome, k.received, k.output)
			}
		}
	}
}
