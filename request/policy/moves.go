package policy

import (
	"time"

	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	// preemptSlack is the time before its latest start at which a request may take the slot of a
	// less urgent one.
	preemptSlack = 120 * time.Millisecond
	// stragglerFactor is the ratio of a server's gap to the pool's from which the server is a
	// straggler.
	stragglerFactor = 1.8
	// maxMovesPerRound bounds the moves per pool at each slowTick.
	maxMovesPerRound = 4
	// overdueFactor and overdueMargin give the time for a first token, overdueFactor times the
	// expected time plus overdueMargin, after which it is overdue.
	overdueFactor = 2
	overdueMargin = 50 * time.Millisecond
	// lateServerPause is how long a server gets no new requests after an overdue first token.
	lateServerPause = 300 * time.Millisecond
)

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
	s := victim.server
	c.check(InvariantTier, victim.tier() > r.tier() && victim.tier() == r.pool.lowestRunningTier())
	c.stats.Preempted++
	c.stop(now, victim)
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
	if s.unavailable(now) || !s.maySend(now, r) || s.trial != "" && r.trial {
		return false
	}
	load := s.load()
	return load <= s.limit(r.pool.minTokenGapTarget, r.tokenGapTarget()) &&
		(r.tokenGapTarget() == 0 || s.gapAt(load) <= r.tokenGapTarget()) && s.firstToken(load, s.uncachedTokens(r), r.engineLevel()) <= r.slack(now)
}

// moveStragglers moves requests off stragglers that miss their target there and would meet it on
// another server.
func (c *core) moveStragglers(now time.Time, p *pool) {
	if p.service || p.meanGap == 0 {
		return
	}
	moves := 0
	for i := 0; i < len(p.running) && moves < maxMovesPerRound; i++ {
		r := p.running[i]
		if c.shouldMove(now, r) && c.move(now, r) {
			moves++
			i--
		}
	}
}

func (c *core) shouldMove(now time.Time, r *request) bool {
	if !r.Idempotent || r.Pinned || r.trial || r.attempt >= maxAttempts {
		return false
	}
	s := r.server
	if s.unreachable {
		return now.Sub(r.lastAt) > partitionMoveDelay || r.attemptTokens == 0 && now.Sub(r.started) > answerSilenceTimeout
	}
	if r.attemptTokens == 0 {
		return c.overdue(now, r)
	}
	if !s.straggling(r.pool) {
		return false
	}
	return r.tokenGapTarget() > 0 && r.meanGap(c.estimates.Remaining(r.key(), r.tokens), s.gapAt(s.load()), now) > r.tokenGapTarget()
}

// overdue reports whether the first token is overdue: the server has more work than this instance
// knows of. It then gets no new requests for lateServerPause.
func (c *core) overdue(now time.Time, r *request) bool {
	if now.Sub(r.started) < overdueFactor*r.expectedFirst+overdueMargin {
		return false
	}
	r.server.fullUntil = now.Add(lateServerPause)
	return true
}

// straggling reports whether the server's gap is far longer than its pool's.
func (s *server) straggling(p *pool) bool {
	return s.gapAt(s.load()) > time.Duration(stragglerFactor*float64(p.meanGap))
}

// meanGap returns the mean gap of the whole answer if the remaining tokens come at the given gap.
func (r *request) meanGap(left float64, gap time.Duration, now time.Time) time.Duration {
	past := now.Sub(r.firstAt)
	return time.Duration((float64(past) + left*float64(gap)) / (float64(r.tokens) + left))
}

// move moves the request to another server that would be in time, and reports whether it did.
func (c *core) move(now time.Time, r *request) bool {
	from, failedOn := r.server, r.failedOn
	r.failedOn = from.name
	s := c.choose(now, r, chooseOptions{late: from.unreachable})
	if s == nil || !from.unreachable && !c.improves(now, r, s) || !c.budget.Take() {
		r.failedOn = failedOn
		return false
	}
	c.check(InvariantBudget, c.budget.WithinBudget())
	c.stats.Moved++
	c.stop(now, r)
	c.start(now, r, s)
	return true
}

// improves reports whether the answer would still meet its targets on the server.
func (c *core) improves(now time.Time, r *request, s *server) bool {
	n := s.load() + 1
	first := s.firstToken(n, s.uncachedTokens(r), r.engineLevel())
	if r.tokens == 0 {
		return first <= r.slack(now)
	}
	left := c.estimates.Remaining(r.key(), r.tokens)
	return !s.straggling(r.pool) && r.meanGap(left, s.gapAt(n), now.Add(first)) <= r.tokenGapTarget()
}
