package policy

import (
	"slices"
	"time"
)

// A crashing request whose copies run on several servers when it takes its
// first one down would take them all down. So one copy goes on, over all
// instances, and the others stop and wait. It goes on since stopping it too
// would hide its crash, if that came while the order was on its way: the next
// trial would then cost one server more.

// holdCopies looks after the copies of a suspect here. What waits goes to the
// quarantine; of what runs, one is its trial from now on and the others stop.
// Copies on the crashed server itself end by their own news.
func (c *core) holdCopies(now time.Time, digest string, crashed *server) {
	e := c.suspects.Get(digest)
	if e == nil {
		return
	}
	for _, r := range c.copies(func(r *request) bool { return r.Digest == digest }) {
		switch {
		case r.server == nil:
			if !slices.Contains(r.pool.quarantine, r) {
				c.unqueue(r)
				c.enqueue(now, r)
			}
		case r.server == crashed || r.trial:
		case e.Trial == "" && r.server.trial == "" && !e.Convicted():
			r.trial, r.caught = true, true
			r.server.trial = digest
			e.Trial = r.server.name
			c.announce()
		default:
			c.hold(now, r)
		}
	}
}

// hold stops a running copy, which then waits as a suspect. One that may not
// start again goes on: it ran already.
func (c *core) hold(now time.Time, r *request) {
	if !r.Idempotent && (r.sentEver || r.sentNow) {
		return
	}
	c.stop(now, r)
	c.enqueue(now, r)
}

// yield stops a copy that ran here when the suspicion came, since an instance
// before this one in order of name runs one too.
func (c *core) yield(now time.Time, digest string) {
	if e := c.suspects.Get(digest); e == nil || e.Trial == "" {
		return
	}
	for _, r := range c.copies(func(r *request) bool { return r.Digest == digest && r.caught }) {
		c.hold(now, r)
	}
}

// copies returns the requests that match, in order of ID.
func (c *core) copies(match func(r *request) bool) []*request {
	var found []*request
	for _, r := range c.requests {
		if match(r) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b *request) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return found
}
