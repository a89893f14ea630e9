package policy

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// dispatch starts waiting requests while a server has room for the next one.
func (c *core) dispatch(now time.Time, p *pool) {
	for {
		r := p.next()
		if r == nil {
			return
		}
		s := c.choose(now, r)
		if s == nil {
			return
		}
		p.remove(r)
		c.start(now, r, s)
	}
}

// choose returns the open server with the least in flight, or nil.
func (c *core) choose(now time.Time, r *request) *server {
	var best *server
	for _, s := range r.pool.servers {
		if !s.open(now) || s.name == r.failedOn && len(r.pool.servers) > 1 {
			continue
		}
		if best == nil || s.load() < best.load() {
			best = s
		}
	}
	return best
}

func (c *core) start(now time.Time, r *request, s *server) {
	if !c.check(InvariantIdempotent, r.Idempotent || !r.sentEver) {
		c.end(r, lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "the request may have run; ask for its outcome by its Idempotency-Key", 0)
		return
	}
	c.check(InvariantLeaving, !s.leaving && !s.gone)
	c.check(InvariantDeadline, r.Deadline.IsZero() || now.Before(r.Deadline))
	r.attempt++
	r.server = s
	r.sentNow = false
	r.started, r.lastAt = now, now
	s.inFlight++
	c.running++
	c.stats.Starts++
	if r.attempt == 1 {
		c.starts++
	}
	c.emit(Start{ID: r.ID, Server: s.name, Attempt: r.attempt, Priority: r.tier(), Continue: r.got > 0})
}

// leave takes the request off its server.
func (c *core) leave(r *request) {
	if r.server == nil {
		return
	}
	r.server.inFlight--
	r.server = nil
	c.running--
}
