package policy

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/request/suspect"
)

// When many backend servers go down within seconds, a suspect's second server
// may be one of them, and an innocent request would be refused everywhere for a
// day. So two crashes bar a request at once, but the verdict waits for what
// else crashes: a request explains the crashes of servers that it ran on and no
// others. If others crashed besides, an outage explains them all better.
const (
	// verdictPause is how long two crashes wait for their verdict.
	verdictDelay = 3 * time.Second
	// outageWindow is how far from a suspect's crash others tell of an outage.
	outageWindow = 5 * time.Second
	// outageOthers is the number of such servers. One is left to a second
	// crashing request or chance; where there are no more, one of them must have
	// crashed with the request's last server or after it.
	outageServers = 2
	// sameCrash is how far apart the news of crashes of one moment may come.
	sameCrashWindow = 500 * time.Millisecond
	// calmAfter is how long after the last crash a pardoned request is tried.
	crashFreePeriod = 3 * time.Second
	// unsettledFor is how long after the last crash no suspect is tried, where
	// unsettledServers crashed within outageWindow: an outage may go on, and take
	// an innocent's second server with it.
	multiCrashDelay   = 1500 * time.Millisecond
	multiCrashServers = 2
	// fallFor is how long without word of a crash the next one is a new one.
	crashReportGap = 10 * time.Second
)

// noteCrash takes in any word of a server's crash, its own or a peer's.
func (c *core) recordCrash(now time.Time, s *server) {
	if s.crashFirstReportedAt.IsZero() || now.Sub(s.crashLastReportedAt) > crashReportGap {
		s.crashFirstReportedAt = now
		c.lastNewCrash = now
	}
	s.crashLastReportedAt = now
	c.suspectStopped(now, s)
}

// calm tells whether no server has newly crashed for a while.
func (c *core) crashFree(now time.Time) bool { return now.Sub(c.lastNewCrash) >= crashFreePeriod }

// unsettled tells whether several servers crashed just now.
func (c *core) multipleCrashes(now time.Time) bool {
	if now.Sub(c.lastNewCrash) >= multiCrashDelay {
		return false
	}
	fell := 0
	for _, s := range c.ordered {
		if !s.crashFirstReportedAt.IsZero() && now.Sub(s.crashFirstReportedAt) < outageWindow {
			fell++
		}
	}
	return fell >= multiCrashServers
}

// guilty tells whether the verdict on a suspect is known here, by the log or by
// this instance's own judgement.
func (c *core) convicted(now time.Time, digest string) bool {
	e := c.suspects.Get(digest)
	return c.convictionInForce(now, digest) || e.Convicted() && e.Confirmed
}

// accuse has a request with two crashes wait for its verdict.
func (c *core) awaitVerdict(digest string) {
	if e := c.suspects.Get(digest); e.Convicted() && !e.Confirmed && !slices.Contains(c.awaitingVerdict, digest) {
		c.awaitingVerdict = append(c.awaitingVerdict, digest)
	}
}

// judge gives the verdicts that are due.
func (c *core) decideVerdicts(now time.Time) {
	kept := c.awaitingVerdict[:0]
	changed := false
	for _, digest := range c.awaitingVerdict {
		e := c.suspects.Get(digest)
		if !e.Convicted() || e.Confirmed {
			continue
		}
		if now.Sub(e.UpdatedAt) < verdictDelay {
			kept = append(kept, digest)
			continue
		}
		changed = true
		c.decideVerdict(now, e)
	}
	c.awaitingVerdict = kept
	if changed {
		c.announce()
		c.refuseConvicted(now)
	}
}

func (c *core) decideVerdict(now time.Time, e *suspect.Entry) {
	if !e.AttributedToOutage && c.explainedByOutage(e) {
		c.stats.Pardoned++
		c.suspects.AttributeToOutage(e.Digest, now)
		return
	}
	e.Confirmed = true
	if e.OwnCrash {
		c.stats.Convicted++
		c.emit(Convict{Digest: e.Digest, Team: e.Team, Servers: slices.Clone(e.Servers)})
	}
}

// outage tells whether servers that the request did not run on crashed in the
// same window as those that it did, and explain its crashes better.
func (c *core) explainedByOutage(e *suspect.Entry) bool {
	others, goesOn := c.otherCrashes(e)
	switch e.ComparePositions() {
	case suspect.PositionsMatch:
		return false
	case suspect.PositionsDiffer:
		return others > 0
	default:
		return others > outageServers || others == outageServers && goesOn
	}
}

// othersFell counts the crashes of others near the suspect's own, and tells
// whether any came with the last of these or after it.
func (c *core) otherCrashes(e *suspect.Entry) (others int, goesOn bool) {
	last := e.CrashTimes[len(e.CrashTimes)-1]
	for _, s := range c.ordered {
		if s.crashFirstReportedAt.IsZero() || e.CrashRecorded(s.name) {
			continue
		}
		if slices.ContainsFunc(e.CrashTimes, func(at time.Time) bool { return s.crashFirstReportedAt.Sub(at).Abs() <= outageWindow }) {
			others++
			goesOn = goesOn || last.Sub(s.crashFirstReportedAt) <= sameCrashWindow
		}
	}
	return others, goesOn
}

// holdAccused takes the copies of barred requests off their servers. They
// wait for the verdict; what may not start again ends now.
func (c *core) stopAwaitingVerdict(now time.Time) {
	for _, r := range c.findRequests(func(r *request) bool { return c.suspects.Get(r.Digest).Convicted() }) {
		c.stop(now, r)
		if !r.Idempotent && r.everSent {
			c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, outcomeMessage, 0)
			continue
		}
		c.enqueue(now, r)
	}
}

// endGuilty ends the copies of convicted requests here.
func (c *core) refuseConvicted(now time.Time) {
	for _, r := range c.findRequests(func(r *request) bool { return c.convicted(now, r.Digest) }) {
		c.stop(now, r)
		c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_CONVICTED, convictedMessage, 0)
	}
}
