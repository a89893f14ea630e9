package bench

import (
	"testing"
	"time"

	"github.com/lilacbridge/lilacbridge/request/policy"
)

const stormLength = 30 * time.Second

// storm crashes half of the engines at the same time. Of the others, one refuses all
// new requests and the rest abort each answer after a few tokens.
func storm(w *world) {
	w.clock.after(8*time.Second, func() {
		for i, e := range w.engines {
			switch {
			case i%2 == 0:
				e.crash(stormLength)
			case i == 1:
				e.fault = refusing
			default:
				e.fault = timingOut
			}
		}
	})
	w.clock.after(8*time.Second+stormLength, func() {
		for _, e := range w.engines {
			e.fault = healthy
		}
	})
}

// Half of the engines fail at the same time, and the others are overloaded by the
// additional requests: one refuses, the rest start answers and abort them. Without a
// retry budget, each aborted answer was retried and aborted again, which kept the
// engines overloaded, and every call ran four times. The test counts attempts at the
// servers instead of using the core's counters.
func TestRetriesDoNotMultiplyLoad(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		f := testFleet("alerts", 30*time.Second)
		s := &scenario{name: "proof-storm", length: 40 * time.Second, load: 1, reportLag: staleLag, faults: storm}
		w := newWorld(f, s, seed, policy.New)
		w.run(generate(f, s, seed))
		checkInvariants(t, seed, w)
		for _, in := range w.instances {
			again := in.retries + int(in.core.Stats().Moved)
			if allowed := retriesPerInstance + f.weights.RetryShare*float64(in.firstStarts); float64(again) > allowed {
				t.Errorf("seed %d: %s started %d requests again, %.0f allowed", seed, in.name, again, allowed)
			}
		}
	}
}
