package policy

import (
	"cmp"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/number"
)

// An instance that is being stopped still accepts requests for a while, since load balancers notice
// the stop late. A request whose answer it might have to break off, and that its caller can neither
// repeat nor resume, is better refused: another instance has the time for it.

const outlivesMessage = "this instance is shutting down and might not live to complete the answer; send the request again on a new connection, another instance will accept it"

// outlivesInstance reports whether the answer to the request, which may not be repeated, might end
// after this instance.
func (c *core) outlivesInstance(now time.Time, r *request) bool {
	if c.leavingUntil.IsZero() || r.Idempotent || r.Resumable {
		return false
	}
	if !r.Deadline.IsZero() && !r.Deadline.After(c.leavingUntil) {
		return false
	}
	return now.Add(c.likelyEnd(now, r)).After(c.leavingUntil)
}

// likelyEnd returns how long it takes at least until the answer to the request, which has not started,
// has likely ended.
func (c *core) likelyEnd(now time.Time, r *request) time.Duration {
	if best, ok := c.bestOutlook(now, r); ok {
		return max(best.End(), r.pool.finishing.spread(r.Class).Likely(best.Expectation))
	}
	if r.pool.service {
		return 0
	}
	// No server may begin it now, so it waits first.
	gap := max(r.pool.usualGap(r.Class), number.Seconds(r.pool.engine.stepAt(float64(r.pool.slots()))))
	return number.Duration(holdSlowdown * r.tokensLeft(c) * float64(gap))
}

// refuseOutliving refuses a request that waits and might outlive this instance.
func (c *core) refuseOutliving(now time.Time, r *request) bool {
	if !c.outlivesInstance(now, r) {
		return false
	}
	if r.item.Waiting() {
		c.dequeue(r)
	}
	c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_DRAINING, outlivesMessage, 0)
	return true
}

// refuseWaitingOutliving refuses waiting requests that have come to outlive this instance.
func (c *core) refuseWaitingOutliving(now time.Time) {
	if c.leavingUntil.IsZero() {
		return
	}
	var waiting []*request
	for _, r := range c.requests {
		if r.item.Waiting() && !r.item.Begun {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range waiting {
		c.refuseOutliving(now, r)
	}
}
