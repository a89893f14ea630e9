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

// coreFullOfBulk returns an instance with 20 engines of 12 slots that are full by the load board,
// with so much bulk on each.
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
	c.Step(now, PeerLoads{Report: loadboard.Report{Loads: loads, Instances: instances - 1}})
}

// Digests filled the engines, which preempt them for any review. Reviews treated the engines as
// full and waited until they were refused.
func TestUrgentRequestsDisplaceBulk(t *testing.T) {
	is := is.New(t)
	c := coreFullOfBulk("e1", 0, 4)
	c.Step(epoch, review(1, 1))
	is.Equal(c.running, 0) // there is no bulk
	c = coreFullOfBulk("e1", 12, 4)
	start := only[Start](t, c.Step(epoch, review(1, 1)))
	is.True(start.Decision.Displaces)
	is.Equal(start.Decision.Bulk, 12.0)
	is.Equal(c.running, 1)
	c.Step(epoch, digest(2, 2))
	is.Equal(c.running, 1) // bulk does not displace bulk
}

// 75 instances each started an urgent request to displace the same bulk.
func TestDisplacingRequestsAreBoundedByBulk(t *testing.T) {
	is := is.New(t)
	const instances, bulk = 75, 12
	started := make(map[string]int)
	for i := range instances {
		c := coreFullOfBulk(fmt.Sprintf("e%d", i), bulk, instances)
		for id := range ID(5) {
			for _, start := range allStarts(c.Step(epoch, review(id+1, uint64(id)))) {
				started[start.Server]++
			}
		}
	}
	is.True(len(started) > 0)
	for _, count := range started {
		is.True(count <= 2*bulk)
	}
}

// When a displacing request ends, the next urgent request may use its slot, so that it does not
// go back to bulk in between.
func TestDisplacedSlotIsReusedByNextRequest(t *testing.T) {
	is := is.New(t)
	c := coreFullOfBulk("e1", 1, 1)
	first := allStarts(c.Step(epoch, review(1, 1)))
	is.Equal(len(first), 1)
	s := c.servers[first[0].Server]
	is.Equal(s.displaceBudget, 0.0)
	finish(c, epoch.Add(ms), first[0])
	is.Equal(s.displaceBudget, 1.0)
}

// Instances that see bulk on many engines displace it on the same ones first, so that the other
// bulk is not preempted and prefilled again.
func TestInstancesDisplaceBulkOnSameEngines(t *testing.T) {
	is := is.New(t)
	used := make(map[string]bool)
	for i := range 8 {
		c := coreFullOfBulk(fmt.Sprintf("e%d", i), 12, 8)
		for _, start := range allStarts(c.Step(epoch, review(1, uint64(i)))) {
			used[start.Server] = true
		}
	}
	is.Equal(len(used), 1)
}
