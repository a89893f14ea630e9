package policy

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/request/queue"
)

const (
	// maxWait is the longest queue, as the time that serving it takes.
	maxQueueTime = 20 * time.Second
	// minQueue is how many requests may wait in any case.
	minQueueLen = 8

	limitedMessage  = "all backend servers name limits, and others send what they take; send the request again after Retry-After, another instance may take it"
	overloadMessage = "all backend servers are busy; send the request again after Retry-After"
	lateMessage     = "the class's target can't be met any more and its setting refuses late answers; send the request again after Retry-After"
)

// expireLate looks after requests that can't meet their target any more: by
// their class's setting they run late or are refused, never silently dropped.
func (c *core) expireLate(now time.Time, p *pool) {
	var refused []*request
	p.queue.MarkLate(now, func(item *queue.Item) {
		if r := c.requests[ID(item.ID)]; r.tokens == 0 && r.refusedLate(now) {
			refused = append(refused, r)
		}
	})
	c.refuseLate(now, p, refused)
}

// refuseWaitingLate refuses what became late while there was room, and waits in a full pool now.
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
		c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_LATE, lateMessage, c.retryAfter(p))
	}
}

// refusedLate tells whether the class's setting refuses the request once it is late.
func (r *request) refusedLate(now time.Time) bool {
	switch r.class.GetLate() {
	case lilacv1.LatePolicy_LATE_POLICY_REFUSE:
		return true
	case lilacv1.LatePolicy_LATE_POLICY_RUN_WITH_ROOM:
		return r.pool.full(now, r)
	}
	return false
}

// cutoff brings the pool's cutoff up to date with what the peers said.
func (c *core) updateCutoff(now time.Time, p *pool) {
	if p.tiers.Update(now) {
		c.announce()
	}
}

// cutOff refuses an arrival of a tier that is cut off, so that all instances
// may shed more urgent ones, unless it is within its class's share.
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
	c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, overloadMessage, c.retryAfter(p))
	return true
}

// withinShare tells whether the class's guaranteed share serves the request
// by its target, with all of the class that waits here before it; one request
// is within in any case. Such a request is not shed for load: it delays others
// but takes the place of none.
func (p *pool) withinShare(r *request) bool {
	waiting := float64(p.queue.ClassLen(r.Class))
	served := guaranteedShare(r.class) * p.tokenRate * r.firstTokenTarget().Seconds()
	return waiting < 1 || (waiting+1)*r.item.Cost <= served
}

// relieve sheds while the queue takes longer than maxWait: the lowest tier
// that waits, and only as far as all instances have cut the lower ones off.
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

// shed gives one request of the tier up; it returns false where all have begun.
func (c *core) shed(now time.Time, p *pool, tier int) bool {
	item := p.queue.Victim(tier)
	if item == nil {
		return false
	}
	r := c.requests[ID(item.ID)]
	c.check(InvariantTier, p.queue.LowestTier() <= r.tier() && p.tiers.MayShed(tier, now))
	after := c.retryAfter(p)
	c.dequeue(r)
	c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, overloadMessage, after)
	return true
}
