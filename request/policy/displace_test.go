package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/process/loadboard"
)

// coreFullOfBulk is an instance before 20 engines of 12 slots that are full, by what others
// tell; so much of it is bulk.
func coreFullOfBulk(instance string, bulk uint32, instances int) *core {
	c := withIndirectDigests(withReviews(coreWithEngines(instance, 20, "a")))
	for _, s := range c.ordered {
		s.slots = 12
	}
	for _, name := range []string{"draft", "review", "digest"} {
		c.pools["llm"].recordUse(c.view.Classes[name], epoch)
	}
	c.Step(epoch, Tick{})
	c.random = rand.New(rand.NewPCG(xxhash.Sum64String(instance), 1))
	setBulk(c, epoch, bulk, instances)
	return c
}

func setBulk(c *core, now time.Time, bulk uint32, instances int) {
	loads := loadboard.Loads{}
	for _, s := range c.pools["llm"].servers {
		loads[s.key] = loadboard.Load{InFlight: uint32(s.slots), Preemptible: bulk}
	}
	c.Step(now, PeerLoads{Word: loadboard.Report{Loads: loads, Instances: instances - 1}})
}

// Digests filled the engines, which put them back for any review. Reviews counted them as
// full and waited until they were refused.
func TestUrgentRequestsDisplaceBulk(t *testing.T) {
	is := is.New(t)
	c := coreFullOfBulk("e1", 0, 4)
	c.Step(epoch, review(1, 1))
	is.Equal(c.running, 0) // no bulk there
	c = coreFullOfBulk("e1", 12, 4)
	start := only[Start](t, c.Step(epoch, review(1, 1)))
	is.True(start.Decision.Displaces)
	is.Equal(start.Decision.Bulk, 12.0)
	is.Equal(c.running, 1)
	c.Step(epoch, digest(2, 2))
	is.Equal(c.running, 1) // bulk doesn't take the place of bulk
}

// Seventy-five instances started an urgent request each in the place of the same bulk.
func TestDisplacingRequestsAreBoundedByBulk(t *testing.T) {
	is := is.New(t)
	const instances, bulk = 75, 12
	started := make(map[string]int)
	for i := range instances {
		c := coreFullOfBulk(fmt.Sprintf("e%d", i), bulk, instances)
		for id := range ID(5) {
			for _, start := range starts(c.Step(epoch, review(id+1, uint64(id)))) {
				started[start.Server]++
			}
		}
	}
	is.True(len(started) > 0)
	for _, count := range started {
		is.True(count <= 2*bulk)
	}
}

// What one urgent request displaced is there for the next one once it ends, so that the
// engine's slots don't go back to bulk between them.
func TestDisplacedSlotIsReusedByNextRequest(t *testing.T) {
	is := is.New(t)
	c := coreFullOfBulk("e1", 1, 1)
	first := starts(c.Step(epoch, review(1, 1)))
	is.Equal(len(first), 1)
	s := c.servers[first[0].Server]
	is.Equal(s.displaceBudget, 0.0)
	finish(c, epoch.Add(ms), first[0])
	is.Equal(s.displaceBudget, 1.0)
}

// Instances that see bulk on many engines begin with the same ones: the rest of the bulk
// isn't put back and read again.
func TestInstancesDisplaceBulkOnSameEngines(t *testing.T) {
	is := is.New(t)
	used := make(map[string]bool)
	for i := range 8 {
		c := coreFullOfBulk(fmt.Sprintf("e%d", i), 12, 8)
		for _, start := range starts(c.Step(epoch, review(1, uint64(i)))) {
			used[start.Server] = true
		}
	}
	is.Equal(len(used), 1)
}
