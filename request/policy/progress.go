package policy

import "time"

// currentAttempt returns the request if attempt is its running one, else nil: late events of
// earlier attempts must not affect the running one.
func (c *core) currentAttempt(id ID, attempt int) *request {
	r := c.requests[id]
	if r == nil || r.server == nil || r.attempt != attempt {
		return nil
	}
	return r
}

func (c *core) sent(now time.Time, e Sent) {
	if r := c.currentAttempt(e.ID, e.Attempt); r != nil {
		r.attemptSent = true
		c.markReached(now, r)
		return
	}
	// The attempt was stopped before this event was processed.
	r := c.requests[e.ID]
	if r == nil {
		return
	}
	r.everSent = true
	if !r.Idempotent && r.server == nil {
		c.endUnknown(now, r)
	}
}

func (c *core) tokens(now time.Time, e Tokens) {
	r := c.currentAttempt(e.ID, e.Attempt)
	if r == nil || e.Count <= 0 {
		c.lateTokens(now, e)
		return
	}
	s := r.server
	r.attemptSent, r.everSent = true, true
	c.markReached(now, r)
	if r.attemptTokens == 0 {
		c.observeFirst(now, r)
		s.ownBacklog.add(r.level, -r.uncached)
		s.decoding++
		if r.kvTransferred > 0 {
			c.observeTransfer(now, r)
		} else {
			s.observeResponse(r, now.Sub(r.started))
		}
	} else {
		gap := now.Sub(r.lastAt) / time.Duration(e.Count)
		s.observeGap(now, gap)
		r.pool.usageByClass[r.Class].traffic.observeGap(gap.Seconds())
	}
	if r.tokens == 0 {
		r.firstAt = now
		if !r.versionBound {
			r.bindVersion(r.attemptVersion)
		}
	}
	r.tokens += e.Count
	r.attemptTokens += e.Count
	r.lastAt, s.lastTokenAt = now, now
	c.recordAnswer(now, s)
	r.pool.parts.Alive(now, s.name, r.started)
	r.idleSince, r.pool.progressAt, r.rejections = now, now, 0
	if r.attemptTokens >= trialTokens {
		c.passedCrashPoint(now, r)
	}
}

func (c *core) finished(now time.Time, e Finished) {
	r := c.currentAttempt(e.ID, e.Attempt)
	if r == nil {
		c.finishStopped(now, e.ID)
		return
	}
	s := r.server
	if r.pool.service && r.attemptTokens == 0 {
		s.observeResponse(r, now.Sub(r.started))
	}
	c.recordAnswer(now, s)
	s.failureRate -= failureSampleWeight * s.failureRate
	r.pool.progressAt = now
	c.passedCrashPoint(now, r)
	c.answered.add(r.Digest)
	c.observeEnd(now, r)
	c.detachFromServer(now, r)
	if !r.pool.service {
		c.estimates.Observe(r.key(), r.tokens, r.estimated)
	}
	r.everSent = true
	c.forget(now, r)
	c.stats.Finished++
	c.dispatch(now, r.pool)
}
