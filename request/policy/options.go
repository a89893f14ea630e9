package policy

import (
	"slices"

	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/request/estimate"
)

// Options are what a core needs to know of its instance.
type Options struct {
	// Instance is the name of this instance.
	Instance string
	// DataCenter that the instance stands in.
	DataCenter string
	// Incarnation is fresh at each start of the process.
	Incarnation string
	// Seed of the random numbers for spread and picks.
	Seed uint64
	// Weights are the fleet's own, from the settings.
	Weights settings.Policy
}

// Invariant names a property that the core checks of itself.
type Invariant string

// The invariants, as they stand in docs/PROOFS.md.
const (
	// InvariantTier: no higher tier is shed or preempted for a lower one.
	InvariantTier Invariant = "tier_order"
	// InvariantOneFinal: each ID gets exactly one final action.
	InvariantOneFinal Invariant = "one_final"
	// InvariantLeaving: no start on a server known to be leaving or gone.
	InvariantLeaving Invariant = "leaving_server"
	// InvariantBudget: retries stay within their budget.
	InvariantBudget Invariant = "retry_budget"
	// InvariantIdempotent: no restart of a sent request that isn't idempotent.
	InvariantIdempotent Invariant = "at_most_once"
	// InvariantLimit: no start on a server beyond this instance's part of its limit.
	InvariantLimit Invariant = "server_limit"
	// InvariantDeadline: no start after the deadline.
	InvariantDeadline Invariant = "deadline"
	// InvariantSuspects: no suspect shares an engine, none runs after two crashes.
	InvariantSuspects Invariant = "suspects"
)

// Stats are counters since the start, and the invariants seen broken.
type Stats struct {
	Arrivals  uint64
	Starts    uint64
	Finished  uint64
	Canceled  uint64
	Refused   uint64
	Broken    uint64
	Retries   uint64
	Continued uint64
	Preempted uint64
	Moved     uint64
	// MovedByKV counts those of the moved that went with their KV cache.
	MovedByKV uint64
	// PriorityInversions counts requests that started while more urgent ones of their pool, which could
	// still be in time, waited.
	PriorityInversions uint64
	// SavedTokens are the tokens that engines did not have to make.
	SavedTokens SavedTokens
	// Unresponsive counts servers that were taken out for their silence.
	Unresponsive uint64
	Crashes      uint64
	Convicted    uint64
	// Pardoned counts suspects whose crashes were put down to an outage.
	Pardoned uint64
	// Waiting and Running are as of now.
	Waiting int
	Running int
	// Admitted is the least urgent tier let in, by pool; Peers the instances reached.
	Admitted map[string]int
	Peers    []string
	// Estimates is how far predicted answer lengths were off.
	Estimates estimate.ErrorStats
	// Limited are the servers that name a limit, with it, in requests a second.
	Limited map[string]float64
	// Checked counts evaluations of invariants; Violations those that failed.
	Checked    uint64
	Violations map[Invariant]uint64
}

// SavedTokens counts tokens that engines did not have to make. The rest of an answer
// that was stopped is the estimate's, since nobody knows it.
type SavedTokens struct {
	// Canceled is the rest of answers whose caller left, Expired of those whose
	// deadline passed while they ran.
	Canceled, Expired uint64
	// Moved is the length of answers, prompts included, that went on elsewhere
	// with their KV cache, of which nothing was computed again.
	Moved uint64
}

func (c *core) check(name Invariant, holds bool) bool {
	c.stats.Checked++
	if !holds {
		c.stats.Violations[name]++
	}
	return holds
}

// Stats returns a copy that the caller may keep.
func (c *core) Stats() Stats {
	copied := c.stats
	copied.Violations = make(map[Invariant]uint64, len(c.stats.Violations))
	for name, count := range c.stats.Violations {
		copied.Violations[name] = count
	}
	copied.Admitted = make(map[string]int, len(c.pools))
	for _, p := range c.poolOrder {
		copied.Admitted[p.name] = p.tiers.Admitted()
	}
	copied.Limited = make(map[string]float64)
	for _, s := range c.ordered {
		if s.limited.Advertised {
			copied.Limited[s.name] = s.limited.PerSecond
		}
	}
	for name := range c.peers {
		copied.Peers = append(copied.Peers, name)
	}
	slices.Sort(copied.Peers)
	copied.Estimates = c.estimates.Errors()
	copied.Running = c.running
	copied.Waiting = len(c.requests) - c.running
	return copied
}
