package policy

import (
	"time"

	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	// preemptSlack is the slack at which a request may take a lower one's slot.
	preemptSlack = 120 * time.Millisecond
	// strayFactor is how many times slower than the pool a straggler is.
	strayFactor = 1.8
	// maxMoves bounds the moves of one round.
	maxMoves = 4
	// overdueFactor is how many times the expected time a first token may take.
	overdueFactor = 2
	overdueFloor  = 50 * time.Millisecond
	// fullFor is how long a server gets nothing after a late first token.
	fullFor = 300 * time.Millisecond
)

// preempt makes room for a request that would be late, by pausing one of the
// lowest tier that runs here. The paused answer goes on later from where it
// stood; its caller keeps all it has.
func (c *core) preempt(now time.Time, r *request) *server {
	if r.item.Late || r.pool.service || r.item.Due.Sub(now) > preemptSlack {
		return nil
	}
	victim := c.victim(now, r)
	if victim == nil {
		return nil
	}
	s := victim.server
	c.check(InvariantTier, victim.tier() > r.tier() && victim.tier() == r.pool.lowestRunning())
	c.stats.Preempted++
	c.stop(now, victim)
	c.enqueue(now, victim)
	return s
}

// lowestRunning returns the least urgent tier that runs here, or -1.
func (p *pool) lowestRunning() int {
	lowest := -1
	for place, running := range p.byPlace {
		if running > 0 {
			lowest = max(lowest, model.TierOf(place))
		}
	}
	return lowest
}

// victim finds the request of the lowest tier that is furthest ahead of its pace.
func (c *core) victim(now time.Time, r *request) *request {
	lowest := r.pool.lowestRunning()
	if lowest <= r.tier() {
		return nil
	}
	var best *request
	for _, v := range r.pool.running {
		if v.tier() != lowest || !c.pausable(now, v) || !c.serves(now, r, v.server) {
			continue
		}
		if best == nil || v.slack(now) > best.slack(now) {
			best = v
		}
	}
	return best
}

// pausable requests are idempotent, well ahead of their pace, and no suspects.
func (c *core) pausable(now time.Time, v *request) bool {
	return v.Idempotent && !v.Pinned && !v.trial && v.attemptTokens > 0 && v.attempt < maxAttempts/2 && v.slack(now) > time.Second
}

// serves tells whether the server would be on time for the request with one request less.
func (c *core) serves(now time.Time, r *request, s *server) bool {
	if s.barred(now) || s.trial != "" && r.trial {
		return false
	}
	n := s.load()
	return n <= s.limit(r.pool.tight, r.tokenGapTarget()) &&
		(r.tokenGapTarget() == 0 || s.gapAt(n) <= r.tokenGapTarget()) && s.firstToken(n, s.uncached(r), r.engineLevel()) <= r.slack(now)
}

// moveStragglers takes requests off servers that fell behind, where another
// server would still meet the target that this one misses.
func (c *core) moveStragglers(now time.Time, p *pool) {
	if p.service || p.gap == 0 {
		return
	}
	moves := 0
	for i := 0; i < len(p.running) && moves < maxMoves; i++ {
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
	if s.cut {
		return now.Sub(r.lastAt) > partitionMoveDelay || r.attemptTokens == 0 && now.Sub(r.started) > answerSilenceTimeout
	}
	if r.attemptTokens == 0 {
		return c.overdue(now, r)
	}
	if !s.stalled(r.pool) {
		return false
	}
	return r.tokenGapTarget() > 0 && r.pace(c.estimates.Remaining(r.key(), r.tokens), s.gapAt(s.load()), now) > r.tokenGapTarget()
}

// overdue tells whether the first token is later than it should be: the
// server holds more than this instance knows of. It gets no more for a moment.
func (c *core) overdue(now time.Time, r *request) bool {
	if now.Sub(r.started) < overdueFactor*r.expectedFirst+overdueFloor {
		return false
	}
	r.server.fullUntil = now.Add(fullFor)
	return true
}

// stalled tells whether the server is far slower than its pool.
func (s *server) stalled(p *pool) bool {
	return s.gapAt(s.load()) > time.Duration(strayFactor*float64(p.gap))
}

// pace is the mean gap that the whole answer would have with the given gap from now on.
func (r *request) pace(left float64, gap time.Duration, now time.Time) time.Duration {
	past := now.Sub(r.firstAt)
	return time.Duration((float64(past) + left*float64(gap)) / (float64(r.tokens) + left))
}

// move takes the request to another server if that one would be in time.
func (c *core) move(now time.Time, r *request) bool {
	before, avoid := r.server, r.failedOn
	r.failedOn = before.name
	s := c.choose(now, r, how{late: before.cut})
	if s == nil || !before.cut && !c.better(now, r, s) || !c.budget.Take() {
		r.failedOn = avoid
		return false
	}
	c.check(InvariantBudget, c.budget.WithinBudget())
	c.stats.Moved++
	c.stop(now, r)
	c.start(now, r, s)
	return true
}

// better tells whether the answer would still keep its targets on the server.
func (c *core) better(now time.Time, r *request, s *server) bool {
	n := s.load() + 1
	first := s.firstToken(n, s.uncached(r), r.engineLevel())
	if r.tokens == 0 {
		return first <= r.slack(now)
	}
	left := c.estimates.Remaining(r.key(), r.tokens)
	return !s.stalled(r.pool) && r.pace(left, s.gapAt(n), now.Add(first)) <= r.tokenGapTarget()
}
