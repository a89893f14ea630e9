package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// A burst at one instance leaves hundreds of urgent requests there that have missed
// their target. If they demanded slots for all of them, requests of other instances
// would become late as well. A few late requests, as at an instance without the burst,
// still demand all that they need.
func TestLateRequestsDemandFewSlots(t *testing.T) {
	is := is.New(t)
	c := newCore()
	for id := range ID(12) {
		c.Step(epoch, arrival(id+1, "alerts"))
	}
	p := c.pools["redaction"]
	running := len(p.running)
	is.True(running > 0 && running < 12)
	is.Equal(p.demand()[0], 12.0)
	c.Step(epoch.Add(time.Second), Tick{}) // the target is 0.42 s
	is.Equal(p.queue.Len(), 12-running)
	is.Equal(p.demand()[0], float64(running+lateSlots))
	for id := ID(12); p.queue.Len() > 2; id-- {
		c.Step(epoch.Add(time.Second), Canceled{ID: id})
	}
	is.Equal(p.demand()[0], float64(len(p.running)+2))
}

// A burst of tier 3 at another instance leaves few slots to this one, which runs tier 3
// answers of its own. If these counted against the slots of a tier 1 request, it would
// wait for seconds until they end.
func TestLowerTiersDoNotBlockUrgentRequests(t *testing.T) {
	is := is.New(t)
	c := coreWithPool(1)
	for id := range ID(3) {
		c.Step(epoch, arrival(id+1, "batch"))
	}
	burst := &lilacv1.PoolCutoff{Pool: "redaction", AdmittedTier: 4, Demand: []uint32{0, 0, 0, 400}}
	c.Step(epoch, PeerDigest{Digest: &lilacv1.Digest{Instance: "e2", Cutoffs: []*lilacv1.PoolCutoff{burst}}})
	is.Equal(only[Start](t, c.Step(epoch, arrival(4, "officers"))).ID, ID(4))
	c.Step(epoch, arrival(5, "batch"))
	is.Equal(c.running, 4) // tier 3 has used up its share
}

// In a large fleet digests travel in a tree. Without the load board an instance would
// not know the demand of the others and take half of the pool's slots for itself.
func TestLargeFleetSplitsSlotsByReportedDemand(t *testing.T) {
	is := is.New(t)
	c := withIndirectDigests(coreWithEngines("e1", 2, "a"))
	c.Step(epoch, draft(1))
	p := c.pools["llm"]
	var work loadboard.PoolWork
	work.Claims[model.Position(1, 0)] = 2 * p.capacity
	c.Step(epoch, PeerLoads{Report: loadboard.Report{Loads: loadboard.Loads{}, Work: loadboard.Work{loadboard.Key("llm"): work}, Instances: 193}})
	c.Step(epoch.Add(slowTick), Tick{})
	is.True(p.quota < p.capacity/10)
	c.Step(epoch.Add(slowTick), PeerLoads{})
	c.Step(epoch.Add(2*slowTick), Tick{})
	is.True(p.quota > p.capacity/3) // the others' demand is unknown again
}
