package policy

import (
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
)

const (
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
	return s.gapAt(s.load()) > number.Duration(stragglerFactor*float64(p.meanGap))
}

// meanGap returns the mean gap of the whole answer if the remaining tokens come at the given gap.
func (r *request) meanGap(left float64, gap time.Duration, now time.Time) time.Duration {
	past := now.Sub(r.firstAt)
	return number.Duration((float64(past) + left*float64(gap)) / (float64(r.tokens) + left))
}

// move moves the request to another server that would be in time, and reports whether it did.
func (c *core) move(now time.Time, r *request) bool {
	from, failedOn := r.server, r.failedOn
	r.failedOn = from.name
	cause := RetryMoved
	if from.unreachable {
		cause = RetryUnanswered
	}
	s := c.choose(now, r, chooseOptions{late: from.unreachable})
	if s == nil || !from.unreachable && !c.improves(now, r, s) || !c.stopForRetry(now, r, cause) {
		r.failedOn = failedOn
		return false
	}
	c.stats.Moved++
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
