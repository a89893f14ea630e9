package bench

import (
	"testing"
	"time"

	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/request/retry"
)

const stormLength = 30 * time.Second

// storm takes half of the engines down at once; of the rest one refuses all new
// work and the others drop each answer after a few tokens.
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

// Half of the engines fail at once, and the others are too busy for what comes
// over: one refuses, the rest begin answers and drop them. Each dropped answer
// was sent again, was dropped again, and kept the engines too busy: every call
// ran four times. The servers' own count is compared, not the core's.
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
			if allowed := retry.Burst + f.weights.RetryShare*float64(in.firstStarts); float64(again) > allowed {
				t.Errorf("seed %d: %s started %d requests again, %.0f allowed", seed, in.name, again, allowed)
			}
		}
	}
}
