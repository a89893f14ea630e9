package policy

import (
	"time"

	"github.com/lilacbridge/lilacbridge/version/model"
)

// preemptSlack is the time before its latest start at which a request may take the slot of a
// less urgent one.
const preemptSlack = 120 * time.Millisecond

// preempt pauses a request of the least urgent running tier to free its slot for a request that
// would be late, and returns its server. The paused answer continues later from where it stopped;
// its caller keeps what it has received.
func (c *core) preempt(now time.Time, r *request) *server {
	if r.item.Late || r.pool.service || r.item.Due.Sub(now) > preemptSlack {
		return nil
	}
	victim := c.findVictim(now, r)
	if victim == nil {
		return nil
	}
	s, lowestTier := victim.server, r.pool.lowestRunningTier()
	if !c.stopForRetry(now, victim, RetryPreempted) {
		return nil
	}
	c.check(InvariantTier, victim.tier() > r.tier() && victim.tier() == lowestTier)
	c.stats.Preempted++
	c.enqueue(now, victim)
	return s
}

// lowestRunningTier returns the least urgent tier of the running requests, or -1.
func (p *pool) lowestRunningTier() int {
	lowest := -1
	for position, running := range p.runningByPosition {
		if running > 0 {
			lowest = max(lowest, model.TierOf(position))
		}
	}
	return lowest
}

// findVictim returns the request of the least urgent running tier that is furthest ahead of its
// pace and whose slot would help, or nil.
func (c *core) findVictim(now time.Time, r *request) *request {
	lowestTier := r.pool.lowestRunningTier()
	if lowestTier <= r.tier() {
		return nil
	}
	var best *request
	for _, v := range r.pool.running {
		if v.tier() != lowestTier || !c.pausable(now, v) || !c.meetsTargets(now, r, v.server) {
			continue
		}
		if best == nil || v.slack(now) > best.slack(now) {
			best = v
		}
	}
	return best
}

// pausable reports whether the request can be paused: it is idempotent, well ahead of its pace
// and no suspect.
func (c *core) pausable(now time.Time, v *request) bool {
	return v.Idempotent && !v.Pinned && !v.trial && v.attemptTokens > 0 && v.attempt < maxAttempts/2 && v.slack(now) > time.Second
}

// meetsTargets reports whether the server, with one request less, would meet the targets of the
// request.
func (c *core) meetsTargets(now time.Time, r *request, s *server) bool {
	if s.unavailable(now) || !s.maySend(now, r) || !s.hasMemory(now, r) || s.trial != "" && r.trial {
		return false
	}
	load := s.load()
	return load <= s.limit(r.pool.minTokenGapTarget, r.tokenGapTarget()) &&
		(r.tokenGapTarget() == 0 || s.gapAt(load) <= r.tokenGapTarget()) && s.firstToken(load, s.uncachedTokens(r), r.engineLevel()) <= r.slack(now)
}
