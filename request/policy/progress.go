package policy

import "time"

// current returns the request if attempt is the one that runs now: events of
// earlier attempts come late and must not touch the present one.
func (c *core) current(id ID, attempt int) *request {
	r := c.requests[id]
	if r == nil || r.server == nil || r.attempt != attempt {
		return nil
	}
	return r
}

func (c *core) sent(e Sent) {
	if r := c.current(e.ID, e.Attempt); r != nil {
		r.attemptSent = true
	}
}

func (c *core) tokens(now time.Time, e Tokens) {
	r := c.current(e.ID, e.Attempt)
	if r == nil || e.Count <= 0 {
		return
	}
	s := r.server
	r.attemptSent, r.everSent = true, true
	if r.attemptTokens == 0 {
		s.ahead.add(r.level, -r.uncached)
		s.decoding++
		if r.kvTransferred > 0 {
			c.carriedOver(now, r)
		} else {
			s.answered(r, now.Sub(r.started))
		}
		s.proved()
	} else {
		gap := now.Sub(r.lastAt) / time.Duration(e.Count)
		s.measured(gap)
		r.pool.used[r.Class].flow.paced(gap.Seconds())
	}
	if r.tokens == 0 {
		r.firstAt = now
	}
	r.tokens += e.Count
	r.attemptTokens += e.Count
	r.lastAt, s.lastToken, s.heardAt = now, now, now
	r.idleSince, r.pool.progressAt, r.rejections = now, now, 0
	if r.attemptTokens >= trialTokens {
		c.passedCrashPoint(now, r)
	}
}

func (c *core) finished(now time.Time, e Finished) {
	r := c.current(e.ID, e.Attempt)
	if r == nil {
		return
	}
	s := r.server
	if r.pool.service && r.attemptTokens == 0 {
		s.answered(r, now.Sub(r.started))
	}
	s.proved()
	s.heardAt = now
	s.trouble -= troubleLearn * s.trouble
	r.pool.progressAt = now
	c.passedCrashPoint(now, r)
	c.detachFromServer(now, r)
	if !r.pool.service {
		c.estimates.Observe(r.key(), r.tokens, r.estimated)
	}
	r.everSent = true
	c.forget(now, r)
	c.stats.Finished++
	c.dispatch(now, r.pool)
}
