package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// A burst at one instance leaves hundreds of urgent requests there that are too
// late for their target. They asked for all slots of the pool, so that other
// instances' requests became late in their turn. They may ask for a few only; a
// few late ones, as at an instance without the burst, ask for all they need.
func TestLateRequestsAskForFewSlots(t *testing.T) {
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

// A burst of tier 3 comes in at another instance and leaves few slots to this one,
// which runs some tier 3 answers of its own. A tier 1 call waited here for seconds
// until they ended: they held the slots that the split had given to it.
func TestLowerTiersHoldNoUrgentRequestBack(t *testing.T) {
	is := is.New(t)
	c := poolOf(1)
	for id := range ID(3) {
		c.Step(epoch, arrival(id+1, "batch"))
	}
	burst := &lilacv1.PoolCutoff{Pool: "redaction", AdmittedTier: 4, Demand: []uint32{0, 0, 0, 400}}
	c.Step(epoch, PeerDigest{Digest: &lilacv1.Digest{Instance: "e2", Cutoffs: []*lilacv1.PoolCutoff{burst}}})
	is.Equal(only[Start](t, c.Step(epoch, arrival(4, "officers"))).ID, ID(4))
	c.Step(epoch, arrival(5, "batch"))
	is.Equal(c.running, 4) // of tier 3 the burst's share is all
}

// An instance of a large fleet, whose digests travel in a tree, knew of no other's
// demand, and took half of the pool's slots for its own.
func TestLargeFleetsSplitSlotsByWhatIsTold(t *testing.T) {
	is := is.New(t)
	c := withIndirectDigests(coreWithEngines("e1", 2, "a"))
	c.Step(epoch, draft(1))
	p := c.pools["llm"]
	var work loadboard.PoolWork
	work.Claims[model.Place(1, 0)] = 2 * p.capacity
	c.Step(epoch, PeerLoads{Word: loadboard.Report{Loads: loadboard.Loads{}, Work: loadboard.Work{loadboard.Key("llm"): work}, Instances: 193}})
	c.Step(epoch.Add(slowTick), Tick{})
	is.True(p.quota < p.capacity/10)
	c.Step(epoch.Add(slowTick), PeerLoads{})
	c.Step(epoch.Add(2*slowTick), Tick{})
	is.True(p.quota > p.capacity/3) // nothing is known any more
}
