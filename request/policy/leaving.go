package policy

import (
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
)

const (
	// initialNotice is the assumed time from the notice that a server leaves until it is
	// gone, before any was observed.
	initialNotice = 4 * time.Second
	// minNotice is the lower bound of an observed notice period, for servers that go at
	// once.
	minNotice = time.Second
	// noticeWeight is the weight of a notice period that is longer than the learned one;
	// a shorter one replaces it at once.
	noticeWeight = 0.3
	// moveWindow is how long before its server goes an answer is moved, in addition to
	// the time of the move itself. Until then the answer makes progress where it is and
	// leaves slots of other servers to waiting requests.
	moveWindow = 400 * time.Millisecond
)

// A server that the platform reclaims disappears with everything that runs on it.
// Its answers would be computed again elsewhere, unless their KV cache is
// transferred first. Answers on a server that an operator drains stay there, since
// draining waits for them.

// isLeaving reports whether the platform has announced that the server leaves.
func (s *server) isLeaving(now time.Time) bool {
	return s.leaving || s.gone || now.Before(s.leavingUntil)
}

// recordLeaving records the first notice that the server leaves. It must be called
// before the notice itself is stored.
func (s *server) recordLeaving(now time.Time) {
	if !s.isLeaving(now) {
		s.leavingNoticeAt = now
	}
}

// recordGone learns the notice period from a server that is gone.
func (c *core) recordGone(now time.Time, s *server) {
	if !s.isLeaving(now) || s.goneAt.After(s.leavingNoticeAt) {
		return
	}
	s.goneAt = now
	stayed := max(now.Sub(s.leavingNoticeAt), minNotice)
	if stayed > c.noticePeriod {
		stayed = c.noticePeriod + number.Duration(noticeWeight*float64(stayed-c.noticePeriod))
	}
	c.noticePeriod = stayed
}

// moveLeaving moves answers off servers that are expected to go before the answer
// ends.
func (c *core) moveLeaving(now time.Time, p *pool) {
	if p.service {
		return
	}
	moves := 0
	for i := 0; i < len(p.running) && moves < maxMovesPerRound; i++ {
		if c.moveOffLeaving(now, p.running[i]) {
			moves++
			i--
		}
	}
}

// moveOffLeaving moves an answer from a leaving server to another one with its KV
// cache, unless an equally or more urgent request waits for the slot. An answer that
// would have to be computed again stays until its server goes, since moving it early
// saves nothing.
func (c *core) moveOffLeaving(now time.Time, r *request) bool {
	if !r.server.isLeaving(now) || !r.Idempotent || r.Pinned || r.trial || r.attempt >= maxAttempts || r.pool.urgentWaiting(r) {
		return false
	}
	s := c.choose(now, r, chooseOptions{late: true})
	if s == nil || !c.aboutToBeLost(now, r, s) || !c.transferPays(now, r, s) {
		return false
	}
	from := r.server
	if !c.stopForRetry(now, r, RetryLeaving) {
		return false
	}
	c.stats.Moved++
	c.startWith(now, r, s, from)
	return true
}

// urgentWaiting reports whether a request of the same or a more urgent tier waits.
func (p *pool) urgentWaiting(r *request) bool {
	for tier := range r.tier() + 1 {
		if p.queue.TierLen(tier) > 0 {
			return true
		}
	}
	return false
}

// aboutToBeLost reports whether the answer must move now, since it will not end
// before its server goes.
func (c *core) aboutToBeLost(now time.Time, r *request, to *server) bool {
	s := r.server
	goneBy := s.leavingNoticeAt.Add(c.noticePeriod)
	move := c.kv.rate(s, to).expect(now, r.tokensHeld())
	rest := number.Duration(r.tokensLeft(c) * float64(s.gapAt(s.load())))
	return now.Add(moveWindow+move).After(goneBy) && now.Add(rest).After(goneBy)
}
