package policy

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// A request without a deadline would wait for ever where no server takes it:
// its engine always refuses for load, or the whole pool is leaving. Callers
// would hold their connections open and never learn that they should go
// elsewhere. So waiting is bounded, but only for want of a server: what waits
// behind others is the queue's affair, which sheds by tier.
const (
	// giveUpEvery is how often waiting requests are looked at.
	giveUpInterval = 500 * time.Millisecond
	// closedWait is the longest wait in a pool without any open server.
	maxClosedWait = 3 * time.Second
	// refusedWait is the longest wait while attempts fail: by nobody else of the
	// pool getting on either, or by maxAttempts refusals of the request itself.
	maxRefusedWait = 20 * time.Second
	// trialWait is the longest wait of a suspect for its trial.
	maxTrialWait = 30 * time.Second

	noServerMessage = "no backend server of the pool takes the request; send it again after Retry-After, or ask the operators for the state of the pool"
)

// giveUp ends what waits in vain.
func (c *core) giveUp(now time.Time) {
	if now.Before(c.giveUpAt) {
		return
	}
	c.giveUpAt = now.Add(giveUpInterval)
	for _, p := range c.poolOrder {
		if p.hasOpenServer(now) {
			p.openAt = now
		}
	}
	for _, r := range c.findRequests(func(r *request) bool { return r.server == nil && r.unservable(now) }) {
		c.dequeue(r)
		c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, noServerMessage, c.retryAfter(r.pool))
	}
}

// inVain tells whether the waiting request has no server to hope for.
func (r *request) unservable(now time.Time) bool {
	waited := now.Sub(r.idleSince)
	p := r.pool
	if waited >= maxClosedWait && now.Sub(p.openAt) >= maxClosedWait {
		return true
	}
	if r.suspect && now.Sub(r.quarantinedAt) >= maxTrialWait {
		return true
	}
	if waited < maxRefusedWait {
		return false
	}
	stuck := now.Sub(p.progressAt) >= maxRefusedWait && now.Sub(p.rejectedAt) < maxRefusedWait
	return stuck || r.rejections >= maxAttempts
}

// open tells whether any server of the pool may get work, now or after a pause.
func (p *pool) hasOpenServer(now time.Time) bool {
	for _, s := range p.servers {
		if !s.closed() && !s.unreachable && !now.Before(s.leavingUntil) {
			return true
		}
	}
	return false
}
