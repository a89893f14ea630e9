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
func (c *core) quarantineCopies(now time.Time, digest string, crashed *server) {
	e := c.suspects.Get(digest)
	if e == nil {
		return
	}
	for _, r := range c.findRequests(func(r *request) bool { return r.Digest == digest }) {
		switch {
		case r.server == nil:
			if !slices.Contains(r.pool.quarantine, r) {
				c.dequeue(r)
				c.enqueue(now, r)
			}
		case r.server == crashed || r.trial:
		case !r.Idempotent && (r.everSent || r.attemptSent):
			c.adoptAsTrial(e, r)
		default:
			c.stopAndQuarantine(now, r)
		}
	}
	if crashed != nil {
		c.claimTrial(digest, crashed)
	}
}

// adopt takes a copy that runs already for the trial: it may not start again,
// so stopping it would lose its answer.
func (c *core) adoptAsTrial(e *suspect.Entry, r *request) {
	if e.Trial != "" || r.server.trial != "" || e.Convicted() {
		return
	}
	r.trial = true
	r.server.trial = r.Digest
	e.Trial = r.server.name
	c.announce()
}

// hold stops a running copy, which then waits as a suspect.
func (c *core) stopAndQuarantine(now time.Time, r *request) {
	c.stoppedCopies = slices.DeleteFunc(c.stoppedCopies, func(copy stoppedCopy) bool { return now.Sub(copy.at) > stoppedCopyWindow })
	s := r.server
	c.stoppedCopies = append(c.stoppedCopies, stoppedCopy{digest: r.Digest, team: r.Team, server: s, at: now})
	c.stop(now, r)
	c.enqueue(now, r)
	c.reserveWhereStopped(now, r, s)
}

// reserveStopped has a stopped copy tried where it ran. It may have taken that
// server down already, and where nothing else ran there nobody hears of it: a
// trial on any other server is one too many then. A copy that had just begun
// did nothing yet, and must not go before one that may have.
func (c *core) reserveWhereStopped(now time.Time, r *request, s *server) {
	e := c.suspects.Get(r.Digest)
	if e.Trial != "" || !c.trialAllowed(now, s, e, "") || now.Sub(r.started) < r.expectedFirst/2 {
		return
	}
	r.trialReservation, r.trialReservedAt = s, now
	e.Trial = s.name
	s.trial = r.Digest
	c.announce()
}

// stoppedFor is how long after the order the word of a crash is put down to a
// stopped copy: where nothing else ran on the server, its next start brings it.
const stoppedCopyWindow = 3 * time.Second

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
func (c *core) suspectStopped(now time.Time, s *server) {
	for _, copy := range c.stoppedCopies {
		if copy.server == s && now.Sub(copy.at) <= stoppedCopyWindow && c.suspects.RecordCrash(copy.digest, copy.team, s.name, now) {
			c.awaitVerdict(copy.digest)
			c.announce()
		}
	}
}

// copies returns the requests that match, in order of ID.
func (c *core) findRequests(match func(r *request) bool) []*request {
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
