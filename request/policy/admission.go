package policy

import (
	"fmt"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// queueLimit is how many requests wait in one pool before the lowest tier is shed.
const queueLimit = 256

// defaultClass serves requests that name no class, where it is configured.
const defaultClass = "default"

func (c *core) arrive(now time.Time, a Arrival) {
	c.stats.Arrivals++
	if !c.check(InvariantOneFinal, c.requests[a.ID] == nil) {
		return
	}
	r := &request{Arrival: a, arrived: now}
	if refusal, ok := c.admit(now, r); !ok {
		refusal.ID = a.ID
		refusal.NotRun = lilacv1.NotRun_NOT_RUN_TRUE
		c.stats.Refused++
		c.emit(refusal)
		return
	}
	c.requests[a.ID] = r
	if !a.Deadline.IsZero() {
		c.timers.add(a.Deadline, a.ID)
	}
	r.pool.push(r)
	c.dispatch(now, r.pool)
	c.shed(now, r.pool)
}

// admit checks what the configuration says of the request.
func (c *core) admit(now time.Time, r *request) (Refuse, bool) {
	if c.draining {
		return refuseKind(lilacv1.ErrorKind_ERROR_KIND_DRAINING, "this instance is shutting down; send the request again, another instance takes it", time.Second)
	}
	if r.Class == "" {
		r.Class = defaultClass
	}
	r.class = c.view.Classes[r.Class]
	if r.class == nil {
		return refuseKind(lilacv1.ErrorKind_ERROR_KIND_UNKNOWN_CLASS, fmt.Sprintf("class %q is not configured; ask the operators for the classes, or SET CLASS", r.Class), 0)
	}
	if c.view.Teams[r.Team] == nil {
		return refuseKind(lilacv1.ErrorKind_ERROR_KIND_UNKNOWN_TEAM, fmt.Sprintf("team %q is not configured; ask the operators to SET TEAM", r.Team), 0)
	}
	if c.view.Convictions[r.Digest] != nil {
		return refuseKind(lilacv1.ErrorKind_ERROR_KIND_CONVICTED, "this request crashed two backend servers and is barred; change it, or ask the operators to lift the conviction", 0)
	}
	r.pool = c.pools[r.Target]
	if r.pool == nil {
		return refuseKind(lilacv1.ErrorKind_ERROR_KIND_UNKNOWN_MODEL, fmt.Sprintf("no backend server serves %q; GET /v1/models lists what is served", r.Target), 0)
	}
	if !r.Deadline.IsZero() && !r.Deadline.After(now) {
		return refuseKind(lilacv1.ErrorKind_ERROR_KIND_TIMEOUT, "the deadline had passed on arrival; allow more time", 0)
	}
	return Refuse{}, true
}

func refuseKind(kind fault.Kind, message string, after time.Duration) (Refuse, bool) {
	return Refuse{Kind: kind, Message: message, RetryAfter: after}, false
}

// shed gives up the newest of the lowest tier while the queue is over its limit.
func (c *core) shed(now time.Time, p *pool) {
	for p.waiting() > queueLimit {
		r := p.lowest()
		p.remove(r)
		c.check(InvariantTier, p.lowestTier() <= r.tier())
		c.end(r, lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, "all backend servers are busy; send the request again after Retry-After", c.spread(time.Second))
	}
}

// spread lengthens a delay by up to its half, so that callers don't return together.
func (c *core) spread(delay time.Duration) time.Duration {
	return delay + time.Duration(c.random.Int64N(int64(delay)/2+1))
}

// end gives the request its one final action, by what its caller holds already.
func (c *core) end(r *request, kind fault.Kind, message string, after time.Duration) {
	if !c.check(InvariantOneFinal, c.requests[r.ID] == r) {
		return
	}
	delete(c.requests, r.ID)
	if r.got > 0 {
		c.stats.Broken++
		c.emit(Broken{ID: r.ID, Kind: kind, Message: message, RetryAfter: after})
		return
	}
	notRun := lilacv1.NotRun_NOT_RUN_TRUE
	if r.sentEver {
		notRun = lilacv1.NotRun_NOT_RUN_UNKNOWN
	}
	c.stats.Refused++
	c.emit(Refuse{ID: r.ID, Kind: kind, Message: message, NotRun: notRun, RetryAfter: after})
}
