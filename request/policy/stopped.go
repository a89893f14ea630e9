package policy

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// A stopped attempt may have written its first byte although no event says so yet. So a request
// that is not idempotent stays out of the queue until the shell has reported how the attempt
// ended.

// awaitOutcome makes a stopped request wait for the outcome of its attempt, if that decides whether
// it may start again.
func (r *request) awaitOutcome() {
	if !r.Idempotent {
		r.unsettled = r.attempt
	}
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
	if mayHaveRun {
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
