package bench

import (
	"testing"
	"time"

	"github.com/lilacbridge/lilacbridge/request/policy"
)

// In a burst at one instance each request starts at the last moment at which it
// can be on time by the estimate. A fifth of those came a little late all the same, while others that could have met their target waited.
func TestStartsInTimeMeetTheirTarget(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		f := &fleets[0]
		s := &scenario{name: "proof-burst", length: 55 * time.Second, load: 0.8, reportLag: steadyLag, burstAt: 10 * time.Second, burstFor: 20 * time.Second, burstCapacity: 3, burstAtOneInstance: true}
		w := newWorld(f, s, seed, policy.New)
		started := map[*call]time.Duration{}
		w.onStart = func(_ *instance, k *call, _ policy.Start) {
			if _, known := started[k]; !known {
				started[k] = w.clock.now
			}
		}
		w.run(generate(f, s, seed))
		checkInvariants(t, seed, w)
		inTime, missed := 0, 0
		for k, at := range started {
			if k.class.name != f.burst || at-k.at > k.class.first {
				continue
			}
			inTime++
			if !k.metFirst() {
				missed++
			}
		}
		if inTime == 0 || share(missed, inTime) > 5 {
			t.Errorf("seed %d: %d of %d calls that started in time missed their target", seed, missed, inTime)
		}
	}
}
