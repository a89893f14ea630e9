package policy

import (
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/request/suspect"
)

// If a request crashes its server while copies of it run on other servers, these
// would crash too. So all copies stop and wait, and one of them is tried alone. A
// copy that crashes its server before the stop arrives still counts as a suspect of
// that crash.

// quarantineCopies stops the running copies of a suspect at this instance and puts
// all copies into the quarantine. Copies on the crashed server end through their own
// Failed events.
func (c *core) quarantineCopies(now time.Time, digest string, crashed *server) {
	e := c.suspects.Get(digest)
	if e == nil {
		return
	}
	for _, r := range c.findRequests(func(r *request) bool { return r.Digest == digest }) {
		switch {
		case r.server == nil:
			if !slices.Contains(r.pool.quarantine, r) && !r.borrowing() {
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

// adoptAsTrial makes a running copy the trial: a copy that must not be restarted
// would lose its answer if it were stopped.
func (c *core) adoptAsTrial(e *suspect.Entry, r *request) {
	if e.Trial != "" || r.server.trial != "" || e.Convicted() {
		return
	}
	r.trial = true
	r.server.trial = r.Digest
	e.Trial = r.server.name
	c.announce()
}

// stopAndQuarantine stops a running copy and puts it into the quarantine.
func (c *core) stopAndQuarantine(now time.Time, r *request) {
	c.stoppedCopies = slices.DeleteFunc(c.stoppedCopies, func(stopped stoppedCopy) bool { return now.Sub(stopped.at) > stoppedCopyWindow })
	s := r.server
	c.stoppedCopies = append(c.stoppedCopies, stoppedCopy{digest: r.Digest, team: r.Team, server: s, at: now})
	if !c.stopForRetry(now, r, RetryQuarantined) {
		c.stop(now, r)
		c.endStopped(now, r)
		return
	}
	c.enqueue(now, r)
	if c.requests[r.ID] == r {
		c.reserveWhereStopped(now, r, s)
	}
}

// reserveWhereStopped reserves the server of a stopped copy for the trial. The copy
// may have crashed that server already, and if nothing else ran there no instance
// finds out; a trial on another server would then crash one server too many. A copy
// that had just started is skipped: it did nothing yet, and must not be tried before
// one that may have crashed its server.
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

// stoppedCopyWindow is how long after the stop a reported crash is attributed to the
// stopped copy. If nothing else ran on the server, the crash is only reported when
// the server restarts.
const stoppedCopyWindow = 3 * time.Second

// stoppedCopy is a copy that may have crashed its server before the stop arrived. Since
// it was stopped, this instance does not see its connection break.
type stoppedCopy struct {
	digest, team string
	server       *server
	at           time.Time
}

// suspectStopped records the crash against the copies that were stopped on the
// server shortly before it was reported. Otherwise nothing would be suspected, and
// the request would get one trial too many.
func (c *core) suspectStopped(now time.Time, s *server) {
	for _, stopped := range c.stoppedCopies {
		if stopped.server == s && now.Sub(stopped.at) <= stoppedCopyWindow && c.suspects.RecordCrash(stopped.digest, stopped.team, s.name, now) {
			c.scheduleConfirmation(stopped.digest)
			c.announce()
		}
	}
}

// findRequests returns the requests that match, ordered by ID.
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
