package policy

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Without a limit, a request that has no deadline would wait forever if no server
// accepts it: its engines always refuse because of load, or the whole pool is
// leaving. Its caller would keep the connection open and never learn to try
// elsewhere. So the wait for a server is bounded. Time spent waiting behind other
// requests is not; the queue sheds these by tier.
const (
	// giveUpInterval is how often waiting requests are checked.
	giveUpInterval = 500 * time.Millisecond
	// maxClosedWait is the longest wait in a pool without any available server.
	maxClosedWait = 3 * time.Second
	// maxRefusedWait is the longest wait while attempts fail: either no request of the
	// pool makes progress, or the request itself was refused maxAttempts times.
	maxRefusedWait = 20 * time.Second
	// maxTrialWait is the longest wait of a suspect for its trial.
	maxTrialWait = 30 * time.Second

	noServerMessage = "no backend server of the pool accepts the request; send it again after Retry-After, or ask the operators for the state of the pool"
)

// giveUp ends the waiting requests that no server is expected to accept.
func (c *core) giveUp(now time.Time) {
	if now.Before(c.nextGiveUpAt) {
		return
	}
	c.nextGiveUpAt = now.Add(giveUpInterval)
	for _, p := range c.poolOrder {
		if p.hasOpenServer(now) {
			p.openAt = now
		}
	}
	for _, r := range c.findRequests(func(r *request) bool { return r.server == nil && r.unservable(now) }) {
		message := noServerMessage
		if r.lacksAdmitted(now) {
			message = unadmittedMessage
		}
		c.dequeue(r)
		c.endShort(now, r, CheckOpen, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, message, c.retryAfter(r.pool))
	}
}

// unservable reports whether the waiting request has no prospect of a server.
func (r *request) unservable(now time.Time) bool {
	waited := now.Sub(r.idleSince)
	p := r.pool
	if waited >= maxClosedWait && now.Sub(p.openAt) >= maxClosedWait {
		return true
	}
	if waited >= maxClosedWait && (r.versionBound || r.Resumable) && !r.hasOpenServer(now) {
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

// hasOpenServer reports whether any server of the pool is available now or will be
// after a pause.
func (p *pool) hasOpenServer(now time.Time) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool { return s.isOpen(now) })
}

// hasOpenServer is like that of the pool for the servers that may begin the answer or go on with it.
func (r *request) hasOpenServer(now time.Time) bool {
	return slices.ContainsFunc(r.pool.servers, func(s *server) bool { return s.isOpen(now) && s.maySend(now, r) })
}

func (s *server) isOpen(now time.Time) bool {
	return !s.closed() && !s.unreachable && !now.Before(s.leavingUntil)
}
