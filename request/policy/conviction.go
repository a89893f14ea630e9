package policy

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/request/suspect"
)

// When many backend servers crash within seconds, the second server of a suspect may
// be one of them by chance, and an innocent request would be refused everywhere for
// a day. So two crashes block a request at once, but the conviction is only confirmed
// after a delay in which further crashes may be reported. A request explains only
// crashes of servers that it ran on. If other servers crashed as well, or if the request
// was answered well before, an outage is the better explanation: what is asked for often
// runs on each server that crashes. That holds once; a third crash convicts it.
const (
	// confirmationDelay is the time from the second crash to the decision.
	confirmationDelay = 3 * time.Second
	// outageWindow is how far from a crash of the suspect crashes of other servers
	// indicate an outage.
	outageWindow = 5 * time.Second
	// outageServers is the number of other crashed servers that indicates an outage. One
	// may be due to a second crashing request or to chance. With exactly this number, one
	// of them must have crashed with the request's last server or after it.
	outageServers = 2
	// sameCrashWindow is how far apart the reports of simultaneous crashes may arrive.
	sameCrashWindow = 500 * time.Millisecond
	// crashFreePeriod is how long after the last crash a request is tried whose crashes
	// were attributed to an outage.
	crashFreePeriod = 3 * time.Second
	// multiCrashDelay is how long after the last crash no suspect is tried, if
	// multiCrashServers crashed within outageWindow: an outage may be going on and crash
	// the second server of an innocent request.
	multiCrashDelay   = 1500 * time.Millisecond
	multiCrashServers = 2
	// crashReportGap is how long no crash of a server must be reported for the next report
	// to count as a new crash.
	crashReportGap = 10 * time.Second
)

// recordCrash records the report of a server's crash, by this instance or a peer.
func (c *core) recordCrash(now time.Time, s *server) {
	if s.crashFirstReportedAt.IsZero() || now.Sub(s.crashLastReportedAt) > crashReportGap {
		s.crashFirstReportedAt = now
		c.lastNewCrash = now
	}
	s.crashLastReportedAt = now
	c.suspectStopped(now, s)
}

// crashFree reports whether no new crash was reported for crashFreePeriod.
func (c *core) crashFree(now time.Time) bool { return now.Sub(c.lastNewCrash) >= crashFreePeriod }

// multipleCrashes reports whether several servers crashed just now.
func (c *core) multipleCrashes(now time.Time) bool {
	if now.Sub(c.lastNewCrash) >= multiCrashDelay {
		return false
	}
	crashed := 0
	for _, s := range c.ordered {
		if !s.crashFirstReportedAt.IsZero() && now.Sub(s.crashFirstReportedAt) < outageWindow {
			crashed++
		}
	}
	return crashed >= multiCrashServers
}

// convicted reports whether the request is convicted, according to the replicated log
// or to this instance's own decision.
func (c *core) convicted(now time.Time, digest string) bool {
	e := c.suspects.Get(digest)
	return c.convictionInForce(now, digest) || e.Convicted() && e.Confirmed
}

// scheduleConfirmation schedules the decision on a request with two crashes.
func (c *core) scheduleConfirmation(digest string) {
	if e := c.suspects.Get(digest); e.Convicted() && !e.Confirmed && !slices.Contains(c.unconfirmed, digest) {
		c.unconfirmed = append(c.unconfirmed, digest)
	}
}

// confirmSuspects makes the decisions that are due.
func (c *core) confirmSuspects(now time.Time) {
	kept := c.unconfirmed[:0]
	changed := false
	for _, digest := range c.unconfirmed {
		e := c.suspects.Get(digest)
		if !e.Convicted() || e.Confirmed {
			continue
		}
		if now.Sub(e.UpdatedAt) < confirmationDelay {
			kept = append(kept, digest)
			continue
		}
		changed = true
		c.confirmSuspect(now, e)
	}
	c.unconfirmed = kept
	if changed {
		c.announce()
		c.refuseConvicted(now)
	}
}

// confirmSuspect attributes the suspect's crashes to an outage if that explains them,
// else it confirms the conviction.
func (c *core) confirmSuspect(now time.Time, e *suspect.Entry) {
	if !e.AttributedToOutage && (c.answered.proven(e.Digest) || c.explainedByOutage(e)) {
		c.stats.AttributedToOutage++
		c.suspects.AttributeToOutage(e.Digest, now)
		return
	}
	e.Confirmed = true
	if e.OwnCrash {
		c.stats.Convicted++
		c.emit(Convict{Digest: e.Digest, Team: e.Team, Servers: slices.Clone(e.Servers)})
	}
}

// explainedByOutage reports whether crashes of servers on which the request did not
// run, in the same window, make an outage the better explanation.
func (c *core) explainedByOutage(e *suspect.Entry) bool {
	others, ongoing := c.otherCrashes(e)
	switch e.ComparePositions() {
	case suspect.PositionsMatch:
		return false
	case suspect.PositionsDiffer:
		return others > 0
	default:
		return others > outageServers || others == outageServers && ongoing
	}
}

// otherCrashes counts crashes of other servers close to the suspect's, and reports
// whether any came with the last of these or after it.
func (c *core) otherCrashes(e *suspect.Entry) (others int, ongoing bool) {
	last := e.CrashTimes[len(e.CrashTimes)-1]
	for _, s := range c.ordered {
		if s.crashFirstReportedAt.IsZero() || e.CrashRecorded(s.name) {
			continue
		}
		if slices.ContainsFunc(e.CrashTimes, func(at time.Time) bool { return s.crashFirstReportedAt.Sub(at).Abs() <= outageWindow }) {
			others++
			ongoing = ongoing || last.Sub(s.crashFirstReportedAt) <= sameCrashWindow
		}
	}
	return others, ongoing
}

// stopUnconfirmed stops the running copies of requests with two crashes. They wait for
// the decision; those that must not be restarted end now.
func (c *core) stopUnconfirmed(now time.Time) {
	for _, r := range c.findRequests(func(r *request) bool { return c.suspects.Get(r.Digest).Convicted() }) {
		if r.server == nil || !c.stopForRetry(now, r, RetryQuarantined) {
			c.stop(now, r)
		}
		if !r.Idempotent && r.everSent {
			c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, outcomeMessage, 0)
			continue
		}
		if r.reached && r.grant == nil {
			c.endStopped(now, r)
			continue
		}
		c.enqueue(now, r)
	}
}

// refuseConvicted ends the requests at this instance that are convicted.
func (c *core) refuseConvicted(now time.Time) {
	for _, r := range c.findRequests(func(r *request) bool { return c.convicted(now, r.Digest) }) {
		c.stop(now, r)
		c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_CONVICTED, convictedMessage, 0)
	}
}
