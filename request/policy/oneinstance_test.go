package policy

import (
	"testing"
	"time"
)

// Guards against an instance that serves too little when the platform hands it most of the new
// connections: its parts of slots, limits and retries are those of one of many.
func TestInstanceThatGetsMostRequestsServesThem(t *testing.T) {
	const leastShare = 0.75
	r := newReplay(1, 8, 3, 64, smallFleetSpeed, smallFleetKinds())
	r.run(18*time.Second, func(at time.Duration) float64 {
		if at >= 8*time.Second {
			r.toFirst = 0.85
		}
		return 1
	})
	for kind, k := range r.kinds {
		before, after := r.tally(kind, 4*time.Second, 8*time.Second), r.tally(kind, 12*time.Second, 16*time.Second)
		share := func(x tally) float64 { return float64(x.arrived-x.unanswered) / float64(max(x.arrived, 1)) }
		t.Logf("%s: answered %.3f before, %.3f after; in time %d of %d, %d of %d", k.class.GetName(), share(before), share(after), before.inTime, before.arrived, after.inTime, after.arrived)
		if share(after) < leastShare*share(before) {
			t.Errorf("%s: %.3f of the requests are answered, %.3f before", k.class.GetName(), share(after), share(before))
		}
	}
}
