package policy

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// A stopped attempt may have written its first byte although no event says so yet. So a request
// that is not idempotent stays out of the queue until the shell has reported how the attempt
// ended. So does an answer without tokens that may go on at another server: its first tokens may have
// been forwarded, and bind it to their software version.

// awaitOutcome makes a stopped request wait for the outcome of its attempt, if that decides whether
// or where it may start again.
func (r *request) awaitOutcome() {
	if !r.Idempotent || r.Resumable && !r.versionBound && r.pool.mixed {
		r.unsettled = r.attempt
	}
}

// lateTokens binds a request to the version of its stopped attempt, whose first tokens were
// forwarded before it ended.
func (c *core) lateTokens(now time.Time, e Tokens) {
	r := c.requests[e.ID]
	if r == nil || r.unsettled != e.Attempt || e.Count <= 0 {
		return
	}
	r.everSent = true
	if r.tokens == 0 {
		r.firstAt = now
	}
	if !r.versionBound {
		r.bindVersion(r.attemptVersion)
	}
	r.tokens += e.Count
	r.idleSince = now
}

func (c *core) stopped(now time.Time, e Stopped) { c.settle(now, e.ID, e.Attempt, e.MayHaveRun) }

// settle takes up a request that waits for the outcome of its stopped attempt. An attempt that has
// ended by itself at the same moment has an outcome too.
func (c *core) settle(now time.Time, id ID, attempt int, mayHaveRun bool) {
	r := c.requests[id]
	if r == nil || r.unsettled == 0 || r.unsettled != attempt {
		return
	}
	r.unsettled = 0
	if mayHaveRun && !r.Idempotent {
		c.endUnknown(now, r)
		return
	}
	c.enqueue(now, r)
	c.dispatch(now, r.pool)
}

// endUnknown ends a request that does not run and may have run before.
func (c *core) endUnknown(now time.Time, r *request) {
	r.everSent = true
	c.dequeue(r)
	c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, outcomeMessage, 0)
}

// finishStopped ends a request whose answer was complete when its attempt was stopped.
func (c *core) finishStopped(now time.Time, id ID) {
	r := c.requests[id]
	if r == nil {
		return
	}
	c.stop(now, r)
	r.everSent = true
	c.forget(now, r)
	c.stats.Finished++
	c.dispatch(now, r.pool)
}
