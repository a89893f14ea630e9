package policy

import (
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/request/estimate"
)

// Options configure a core.
type Options struct {
	// Instance is the name of this instance.
	Instance string
	// DataCenter is the data centre of this instance.
	DataCenter string
	// Incarnation identifies this run of the process; it differs after each start.
	Incarnation string
	// Seed initializes the random numbers used for jitter and server selection.
	Seed uint64
	// Started is when the process started; zero if that was long ago.
	Started time.Time
	// Weights are the fleet-wide settings.
	Weights settings.Policy
	// MaxBlocks bounds the blocks of prompts that are remembered for all servers, of BlockBytes each;
	// 0 means DefaultMaxBlocks.
	MaxBlocks int
}

// Invariant names a property that the core checks at run time.
type Invariant string

// The invariants, as listed in docs/PROOFS.md.
const (
	// InvariantTier: no request is shed or preempted for one of a less urgent tier.
	InvariantTier Invariant = "tier_order"
	// InvariantOneFinal: each ID gets exactly one final action.
	InvariantOneFinal Invariant = "one_final"
	// InvariantLeaving: no start on a server known to be leaving or gone.
	InvariantLeaving Invariant = "leaving_server"
	// InvariantBudget: a request that may have reached a server starts only with a retry granted.
	InvariantBudget Invariant = "retry_budget"
	// InvariantIdempotent: a non-idempotent request is not restarted once sent.
	InvariantIdempotent Invariant = "at_most_once"
	// InvariantLimit: no start on a server beyond this instance's share of its limit.
	InvariantLimit Invariant = "server_limit"
	// InvariantDeadline: no start after the deadline.
	InvariantDeadline Invariant = "deadline"
	// InvariantSuspects: no two suspects share an engine, and none runs after two
	// crashes.
	InvariantSuspects Invariant = "suspects"
)

// Stats are counters since the start of the process, and invariant violations.
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
	// MovedByKV counts moved requests whose KV cache was transferred.
	MovedByKV uint64
	// PriorityInversions counts requests that started while more urgent ones of their
	// pool waited that could still meet their target.
	PriorityInversions uint64
	// SavedTokens counts tokens that engines did not have to compute.
	SavedTokens SavedTokens
	// Unresponsive counts servers that were ejected because they sent nothing.
	Unresponsive uint64
	Crashes      uint64
	Convicted    uint64
	// PartsByPool counts blocked parts of prompts by pool.
	PartsByPool map[string]PartStats
	// RoomByPool is the memory of the servers of contended pools.
	RoomByPool map[string]RoomStats
	// AttributedToOutage counts suspects whose crashes were attributed to an outage.
	AttributedToOutage uint64
	// Waiting and Running are the current numbers of requests.
	Waiting int
	Running int
	// Admitted is the least urgent admitted tier by pool. Peers names the reachable
	// instances.
	Admitted map[string]int
	Peers    []string
	// Estimates is the error of the predicted answer lengths.
	Estimates estimate.ErrorStats
	// RetriesByPool counts the retries by pool.
	RetriesByPool map[string]RetryStats
	// FinishByPool counts the decisions by the end of the answer, by contended pool.
	FinishByPool map[string]FinishStats
	// SharesByPool counts what the shares of teams decided, by contended pool.
	SharesByPool map[string]ShareStats
	// Limited is the stated rate limits by server, in requests per second.
	Limited map[string]float64
	// Paces holds the paces of the servers that state them.
	Paces map[string]PaceStats
	// Checked counts evaluations of invariants, Violations the failed ones.
	Checked    uint64
	Violations map[Invariant]uint64
}

// SavedTokens counts tokens that engines did not have to compute. The rest of a
// stopped answer is estimated, since its real length is unknown.
type SavedTokens struct {
	// Canceled is the rest of answers whose caller disconnected, Expired that of
	// answers whose deadline passed while they ran.
	Canceled, Expired uint64
	// Moved is the length of answers, prompts included, that continued on another
	// server with their KV cache, so that nothing was computed again.
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
	copied.PartsByPool = make(map[string]PartStats, len(c.pools))
	copied.RoomByPool = make(map[string]RoomStats)
	copied.SharesByPool = make(map[string]ShareStats)
	copied.RetriesByPool = make(map[string]RetryStats, len(c.pools))
	for _, p := range c.poolOrder {
		copied.Admitted[p.name] = p.tiers.Admitted()
		copied.RetriesByPool[p.name] = p.retries.clone()
		copied.PartsByPool[p.name] = p.partStats()
		if p.guardsMemory() {
			copied.RoomByPool[p.name] = p.roomStats()
		}
		if p.sharesTeams() {
			copied.SharesByPool[p.name] = p.teams.stats
		}
	}
	copied.FinishByPool = c.finishStats()
	copied.Limited = make(map[string]float64)
	for _, s := range c.ordered {
		if s.rateLimit.Advertised {
			copied.Limited[s.name] = s.rateLimit.PerSecond
		}
	}
	copied.Paces = c.paceStats()
	for name := range c.peers {
		copied.Peers = append(copied.Peers, name)
	}
	slices.Sort(copied.Peers)
	copied.Estimates = c.estimates.Errors()
	copied.Running = c.running
	copied.Waiting = len(c.requests) - c.running
	return copied
}
