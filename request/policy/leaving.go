package policy

import "time"

const (
	// firstNotice is the time from the word that a server leaves until it is
	// gone, before any was seen to go.
	initialNotice = 4 * time.Second
	// leastNotice bounds what is learned from servers that went at once.
	minNotice = time.Second
	// noticeLearn is the weight of a notice longer than was known; a shorter one
	// counts at once.
	noticeWeight = 0.3
	// moveWindow is how long before a server goes its answers are moved, besides
	// the time that the move itself takes: until then they get on where they are
	// and leave other servers' slots to what waits.
	moveWindow = 400 * time.Millisecond
)

// A server that the platform takes back vanishes with all that runs on it. What
// its answers hold is then computed again elsewhere, unless their KV cache went
// there before. On a server that operators drain all answers stay: it waits for
// them.

// leaves tells whether the platform says that the server is leaving.
func (s *server) isLeaving(now time.Time) bool {
	return s.leaving || s.gone || now.Before(s.leavingUntil)
}

// noteLeaving remembers the first word that the server leaves. Called before
// the word itself is noted.
func (s *server) recordLeaving(now time.Time) {
	if !s.isLeaving(now) {
		s.leavingNoticeAt = now
	}
}

// noteGone learns how long servers stay after the word that they leave.
func (c *core) recordGone(now time.Time, s *server) {
	if !s.isLeaving(now) || s.goneAt.After(s.leavingNoticeAt) {
		return
	}
	s.goneAt = now
	stayed := max(now.Sub(s.leavingNoticeAt), minNotice)
	if stayed > c.noticePeriod {
		stayed = c.noticePeriod + time.Duration(noticeWeight*float64(stayed-c.noticePeriod))
	}
	c.noticePeriod = stayed
}

// moveLeaving takes answers off servers that vanish before the answer's end.
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

// moveOff lets an answer on a leaving server go on elsewhere with its KV cache,
// where nothing as urgent waits for the slot. What would have to be computed
// again stays until it is cut off: going earlier would save nothing.
func (c *core) moveOffLeaving(now time.Time, r *request) bool {
	if !r.server.isLeaving(now) || !r.Idempotent || r.Pinned || r.trial || r.attempt >= maxAttempts || r.pool.urgentWaiting(r) {
		return false
	}
	s := c.choose(now, r, chooseOptions{late: true})
	if s == nil || !c.aboutToBeLost(now, r, s) || !c.transferPays(now, r, s) || !c.budget.Take() {
		return false
	}
	c.check(InvariantBudget, c.budget.WithinBudget())
	c.stats.Moved++
	c.transfer(now, r, s)
	return true
}

// urgentWaits tells whether a request as urgent as this one or more waits for a slot.
func (p *pool) urgentWaiting(r *request) bool {
	for tier := range r.tier() + 1 {
		if p.queue.TierLen(tier) > 0 {
			return true
		}
	}
	return false
}

// cutShort tells whether the answer is about to be cut off with its server.
func (c *core) aboutToBeLost(now time.Time, r *request, to *server) bool {
	s := r.server
	goes := s.leavingNoticeAt.Add(c.noticePeriod)
	move := c.kv.rate(s, to).expect(now, r.tokensHeld())
	rest := time.Duration(r.tokensLeft(c) * float64(s.gapAt(s.load())))
	return now.Add(moveWindow+move).After(goes) && now.Add(rest).After(goes)
}
