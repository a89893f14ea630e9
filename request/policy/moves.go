package policy

import (
	"time"

	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	// preemptSlack is the slack at which a request may take a lower one's slot.
	preemptSlack = 120 * time.Millisecond
	// stragglerFactor is how many times slower than the pool a straggler is.
	stragglerFactor = 1.8
	// maxMovesPerRound bounds the moves of one round.
	maxMovesPerRound = 4
	// overdueFactor is how many times the expected time a first token may take.
	overdueFactor = 2
	overdueFloor  = 50 * time.Millisecond
	// lateServerPause is how long a server gets nothing after a late first token.
	lateServerPause = 300 * time.Millisecond
)

// preempt makes room for a request that would be late, by pausing one of the
// lowest tier that runs here. The paused answer goes on later from where it
// stood; its caller keeps all it has.
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

// lowestRunningTier returns the least urgent tier that runs here, or -1.
func (p *pool) lowestRunningTier() int {
	lowest := -1
	for place, running := range p.runningByPlace {
		if running > 0 {
			lowest = max(lowest, model.TierOf(place))
		}
	}
	return lowest
}

// findVictim finds the request of the lowest tier that is furthest ahead of its pace.
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
		if best == nil || v.firstBy(now) > best.firstBy(now) {
			best = v
		}
	}
	return best
}

// pausable requests are idempotent, well ahead of their pace, and no suspects.
func (c *core) pausable(now time.Time, v *request) bool {
	return v.Idempotent && !v.Anchored && !v.trial && v.gotNow > 0 && v.attempt < maxAttempts/2 && v.firstBy(now) > time.Second
}

// meetsTargets tells whether the server would be on time for the request with one request less.
func (c *core) meetsTargets(now time.Time, r *request, s *server) bool {
	if s.unavailable(now) || s.trial != "" && r.trial {
		return false
	}
	load := s.load()
	return load <= s.limit(r.pool.minBetween, r.between()) &&
		(r.between() == 0 || s.gapAt(load) <= r.between()) && s.firstToken(load, s.uncachedTokens(r), r.levelOf()) <= r.firstBy(now)
}

// moveStragglers takes requests off servers that fell behind, where another
// server would still meet the target that this one misses.
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
	if !r.Idempotent || r.Anchored || r.trial || r.attempt >= maxAttempts {
		return false
	}
	s := r.server
	if s.unreachable {
		return now.Sub(r.lastAt) > giveUpSilent || r.gotNow == 0 && now.Sub(r.started) > answersSilent
	}
	if r.gotNow == 0 {
		return c.overdue(now, r)
	}
	if !s.straggling(r.pool) {
		return false
	}
	return r.between() > 0 && r.meanGap(c.estimates.Left(r.key(), r.got), s.gapAt(s.load()), now) > r.between()
}

// overdue tells whether the first token is later than it should be: the
// server holds more than this instance knows of. It gets no more for a moment.
func (c *core) overdue(now time.Time, r *request) bool {
	if now.Sub(r.started) < overdueFactor*r.expected+overdueFloor {
		return false
	}
	r.server.fullUntil = now.Add(lateServerPause)
	return true
}

// straggling tells whether the server is far slower than its pool.
func (s *server) straggling(p *pool) bool {
	return s.gapAt(s.load()) > time.Duration(stragglerFactor*float64(p.meanGap))
}

// meanGap is the mean gap that the whole answer would have with the given gap from now on.
func (r *request) meanGap(left float64, gap time.Duration, now time.Time) time.Duration {
	past := now.Sub(r.firstAt)
	return time.Duration((float64(past) + left*float64(gap)) / (float64(r.got) + left))
}

// move takes the request to another server if that one would be in time.
func (c *core) move(now time.Time, r *request) bool {
	from, failedOn := r.server, r.failedOn
	r.failedOn = from.name
	s := c.choose(now, r, chooseOptions{late: from.unreachable})
	if s == nil || !from.unreachable && !c.improves(now, r, s) || !c.budget.Take() {
		r.failedOn = failedOn
		return false
	}
	c.check(InvariantBudget, c.budget.Holds())
	c.stats.Moved++
	c.stop(now, r)
	c.start(now, r, s)
	return true
}

// improves tells whether the answer would still keep its targets on the server.
func (c *core) improves(now time.Time, r *request, s *server) bool {
	n := s.load() + 1
	first := s.firstToken(n, s.uncachedTokens(r), r.levelOf())
	if r.got == 0 {
		return first <= r.firstBy(now)
	}
	left := c.estimates.Left(r.key(), r.got)
	return !s.straggling(r.pool) && r.meanGap(left, s.gapAt(n), now.Add(first)) <= r.between()
}
