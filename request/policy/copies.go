package policy

import (
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/request/suspect"
)

// A crashing request whose copies run on several servers when it takes its
// first one down would take them all down. So all of them stop and wait, and
// one is tried alone. A copy that crashes its server while the order to stop is
// on its way is suspected for that all the same.

// holdCopies looks after the copies of a suspect here: what runs stops, and all
// wait in the quarantine. Copies on the crashed server itself end by their own
// news.
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
		case !r.Idempotent && (r.sentEver || r.sentNow):
			c.adopt(e, r)
		default:
			c.hold(now, r)
		}
	}
	if crashed != nil {
		c.claim(digest, crashed)
	}
}

// adopt takes a copy that runs already for the trial: it may not start again,
// so stopping it would lose its answer.
func (c *core) adopt(e *suspect.Entry, r *request) {
	if e.Trial != "" || r.server.trial != "" || e.Convicted() {
		return
	}
	r.trial = true
	r.server.trial = r.Digest
	e.Trial = r.server.name
	c.announce()
}

// hold stops a running copy, which then waits as a suspect.
func (c *core) hold(now time.Time, r *request) {
	c.stopped = slices.DeleteFunc(c.stopped, func(copy stoppedCopy) bool { return now.Sub(copy.at) > stoppedFor })
	s := r.server
	c.stopped = append(c.stopped, stoppedCopy{digest: r.Digest, team: r.Team, server: s, at: now})
	c.stop(now, r)
	c.enqueue(now, r)
	c.reserveStopped(now, r, s)
}

// reserveStopped has a stopped copy tried where it ran. It may have taken that
// server down already, and where nothing else ran there nobody hears of it: a
// trial on any other server is one too many then. A copy that had just begun
// did nothing yet, and must not go before one that may have.
func (c *core) reserveStopped(now time.Time, r *request, s *server) {
	e := c.suspects.Get(r.Digest)
	if e.Trial != "" || !c.mayTry(now, s, e, "") || now.Sub(r.started) < r.expected/2 {
		return
	}
	r.reserved, r.reservedAt = s, now
	e.Trial = s.name
	s.trial = r.Digest
	c.announce()
}

// stoppedFor is how long after the order the word of a crash is put down to a
// stopped copy: where nothing else ran on the server, its next start brings it.
const stoppedFor = 3 * time.Second

// stoppedCopy is a copy that may have crashed its server before the order to
// stop came there. Its own broken connection is no news any more.
type stoppedCopy struct {
	digest, team string
	server       *server
	at           time.Time
}

// blameStopped suspects the copies that were stopped on a server just before
// the word of its crash. Without it such a crash would be nobody's, and the
// request would get one trial too many.
func (c *core) blameStopped(now time.Time, s *server) {
	for _, copy := range c.stopped {
		if copy.server == s && now.Sub(copy.at) <= stoppedFor && c.suspects.RecordCrash(copy.digest, copy.team, s.name, now) {
			c.accuse(copy.digest)
			c.announce()
		}
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
