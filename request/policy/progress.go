package policy

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// retryBurst is how many retries the budget allows before any first try.
const retryBurst = 10

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
		r.sentNow, r.sentEver = true, true
	}
}

func (c *core) tokens(now time.Time, e Tokens) {
	r := c.current(e.ID, e.Attempt)
	if r == nil {
		return
	}
	r.sentNow, r.sentEver = true, true
	r.got += e.Count
	r.lastAt = now
}

func (c *core) finished(now time.Time, e Finished) {
	r := c.current(e.ID, e.Attempt)
	if r == nil {
		return
	}
	c.leave(r)
	delete(c.requests, r.ID)
	c.stats.Finished++
	c.dispatch(now, r.pool)
}

func (c *core) cancel(now time.Time, id ID) {
	r := c.requests[id]
	if r == nil {
		return
	}
	c.stop(r)
	delete(c.requests, id)
	c.stats.Canceled++
	c.dispatch(now, r.pool)
}

// stop takes the request out of the queue or off its server.
func (c *core) stop(r *request) {
	if r.server == nil {
		r.pool.remove(r)
		return
	}
	c.emit(Stop{ID: r.ID, Server: r.server.name, Attempt: r.attempt})
	c.leave(r)
}

func (c *core) expire(r *request) {
	c.stop(r)
	c.end(r, lilacv1.ErrorKind_ERROR_KIND_TIMEOUT, "the deadline passed; allow more time, or use a more urgent class", 0)
}

func (c *core) failed(now time.Time, e Failed) {
	r := c.current(e.ID, e.Attempt)
	if r == nil {
		return
	}
	s := r.server
	c.leave(r)
	r.failedOn = s.name
	if e.Crashed {
		s.eject(now)
		c.stats.Crashes++
	}
	if e.Refused {
		s.busyUntil = now.Add(max(e.RetryAfter, minBusy))
	}
	r.sentEver = r.sentEver || e.Sent && !e.Refused
	if kind, message, giveUp := c.verdict(now, r, e); giveUp {
		c.end(r, kind, message, c.spread(time.Second))
	} else {
		r.pool.push(r)
	}
	c.dispatch(now, r.pool)
}

// verdict says whether a failed request is given up, and as what.
func (c *core) verdict(now time.Time, r *request, e Failed) (fault.Kind, string, bool) {
	if e.Final {
		return lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "the backend server refused the request itself; change it", true
	}
	if !r.Idempotent && r.sentEver {
		return lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "the backend server failed after the request was sent; ask for its outcome by its Idempotency-Key", true
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return lilacv1.ErrorKind_ERROR_KIND_TIMEOUT, "the deadline passed; allow more time", true
	}
	if e.Refused || !e.Sent {
		return 0, "", false
	}
	if float64(c.retries) >= retryBurst+c.options.Weights.RetryShare*float64(c.starts) {
		return lilacv1.ErrorKind_ERROR_KIND_BACKEND_FAILED, "the backend server failed and the retry budget is spent; send the request again after Retry-After", true
	}
	c.retries++
	c.stats.Retries++
	return 0, "", false
}
