package policy

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/request/queue"
)

const (
	// maxQueueTime is the longest queue, measured as the time to serve it.
	maxQueueTime = 20 * time.Second
	// minQueueLen is the number of requests that may always wait.
	minQueueLen = 8

	limitedMessage  = "all backend servers limit their request rate, and other instances use up the limits; send the request again after Retry-After, another instance may accept it"
	overloadMessage = "all backend servers are busy; send the request again after Retry-After"
	unusedMessage   = "no backend server is in use after failures or silence; send the request again after Retry-After"
	slowMessage     = "no backend server is expected to answer within the latency target; send the request again after Retry-After"
	waitingMessage  = "as many requests wait as can start in time; send the request again after Retry-After"
	lateMessage     = "the class's latency target can no longer be met and its late policy refuses late answers; send the request again after Retry-After"
)

// expireLate handles requests that have missed their target. The late policy of
// their class decides whether they run late or are refused; they are never dropped
// without an answer.
func (c *core) expireLate(now time.Time, p *pool) {
	var refused []*request
	p.queue.MarkLate(now, func(item *queue.Item) {
		if r := c.requests[ID(item.ID)]; r.tokens == 0 && r.refusedLate(now) {
			refused = append(refused, r)
		}
	})
	c.refuseLate(now, p, refused)
}

// refuseWaitingLate refuses requests that became late while the pool had free slots
// and still wait now that it is full.
func (c *core) refuseWaitingLate(now time.Time, p *pool) {
	var refused []*request
	p.queue.EachLate(func(item *queue.Item) {
		if r := c.requests[ID(item.ID)]; r.tokens == 0 && r.refusedLate(now) {
			refused = append(refused, r)
		}
	})
	c.refuseLate(now, p, refused)
}

func (c *core) refuseLate(now time.Time, p *pool, refused []*request) {
	for _, r := range refused {
		p.observeMissedStart(queueLevel(r.class))
		c.dequeue(r)
		c.endShort(now, r, CheckLate, lilacv1.ErrorKind_ERROR_KIND_LATE, lateMessage, c.retryAfter(p))
	}
}

// refusedLate reports whether the class's late policy refuses the request once it is
// late.
func (r *request) refusedLate(now time.Time) bool {
	switch r.class.GetLate() {
	case lilacv1.LatePolicy_LATE_POLICY_REFUSE:
		return true
	case lilacv1.LatePolicy_LATE_POLICY_RUN_WITH_ROOM:
		return r.pool.full(now, r)
	}
	return false
}

// updateCutoff recomputes the least urgent admitted tier of the pool, and announces a
// change.
func (c *core) updateCutoff(now time.Time, p *pool) {
	if p.tiers.Update(now) {
		c.announce()
	}
}

// refuseCutOff refuses an arrival of a tier that is cut off, so that more urgent
// tiers can be shed on all instances, unless it is within its class's guaranteed
// share.
func (c *core) refuseCutOff(now time.Time, r *request) bool {
	p, tier := r.pool, r.tier()
	if p.tiers.Admits(tier) {
		return false
	}
	if r.item.Guaranteed {
		return false
	}
	if p.queue.LowestTier() > tier || !p.tiers.MayShed(tier, now) {
		return false
	}
	c.check(InvariantTier, p.queue.LowestTier() <= tier && p.tiers.MayShed(tier, now))
	c.endOverloaded(now, r, CheckTier, c.retryAfter(p))
	return true
}

// withinShare reports whether the class's guaranteed share serves the request within
// its target, after all waiting requests of the class at this instance. One request
// is always within the share. Such a request is not shed under load: it delays other
// requests but takes no slot from them.
func (p *pool) withinShare(r *request) bool {
	waiting := float64(p.queue.ClassLen(r.Class))
	served := guaranteedShare(r.class) * p.tokenRate * r.firstTokenTarget().Seconds()
	return waiting < 1 || (waiting+1)*r.item.Cost <= served
}

// shedOverload sheds requests while the queue takes longer than maxQueueTime: of the
// least urgent waiting tier first, and only once all instances have cut off the tiers
// below it.
func (c *core) shedOverload(now time.Time, p *pool) {
	for p.queue.Len() > minQueueLen && p.queueWait() > maxQueueTime {
		tier := p.queue.LowestTier()
		if tier < 0 {
			return
		}
		if !p.tiers.MayShed(tier, now) {
			p.tiers.HoldBack(tier, now)
			c.updateCutoff(now, p)
			return
		}
		if !c.shed(now, p, tier) {
			return
		}
	}
}

// shed refuses one waiting request of the tier. It returns false if none can be shed
// because all have begun.
func (c *core) shed(now time.Time, p *pool, tier int) bool {
	item := p.queue.Victim(tier)
	if item == nil {
		return false
	}
	r := c.requests[ID(item.ID)]
	c.check(InvariantTier, p.queue.LowestTier() <= r.tier() && p.tiers.MayShed(tier, now))
	after := c.retryAfter(p)
	c.dequeue(r)
	c.endOverloaded(now, r, CheckQueue, after)
	return true
}
