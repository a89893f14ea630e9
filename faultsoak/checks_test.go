package faultsoak

import (
	"net/http"
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/platform/standin"
)

// checkResults makes the checks that need the results of the whole run.
func (r *run) checkResults() {
	runs := make(map[string][]serverRun)
	for _, s := range r.fleet.allServers() {
		for _, one := range s.Runs() {
			runs[one.AttemptID] = append(runs[one.AttemptID], serverRun{one, s.Identity, s.version})
			r.checkDraining(s.Identity, one)
		}
	}
	r.checkLimits()
	r.checkRetries()
	r.checkListFollowed()
	for id, list := range runs {
		r.checkRuns(r.calls[id], list)
	}
	for _, c := range r.calls {
		if c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests {
			mayRun := c.route == "look" || c.route == "review"
			r.check(mayRun || len(runs[c.id]) == 0, "refused requests do not run", "%s on %s was answered %d and ran", c.id, c.route, c.status)
		}
		r.check(c.status != http.StatusNotFound || c.sent.Before(c.routeKnownBy), "documents in force",
			"%s on %s was answered 404 by %s %v after entries had to know the route", c.id, c.route, c.entry.name, c.sent.Sub(c.routeKnownBy))
		r.checkStop(c, len(runs[c.id]) > 0)
	}
	r.checkVersions(runs)
	r.runs = runs
}

// serverRun is a run, and the server that it was at.
type serverRun struct {
	standin.Run
	server, version string
}

func (r *run) checkRuns(c *call, list []serverRun) {
	if c == nil {
		r.violation("known requests", "a server ran %s, which no caller sent", list[0].AttemptID)
		return
	}
	if c.route == "book" || c.route == "plan" {
		r.check(len(list) == 1, "at most once", "%s on %s ran %d times", c.id, c.route, len(list))
	}
	for _, one := range list {
		r.check(one.Body == c.sentBody() && one.URI == c.sentURI(), "unchanged", "%s reached a server as %s %.40q", c.id, one.URI, one.Body)
		r.check(!one.KeySent && one.Team != "", "keys are not forwarded", "%s reached a server with its key or without its team", c.id)
	}
	revokedAt, revoked := r.document.revoked[c.key]
	r.check(!revoked || c.sent.Before(revokedAt.Add(revocation+slack)), "revoked keys", "%s ran %v after its key was revoked", c.id, c.sent.Sub(revokedAt))
}

// checkDraining checks that a draining server gets no new requests once every entry must
// know that it drains. An entry that is cut off for longer can't.
func (r *run) checkDraining(server string, one standin.Run) {
	drains := r.fleet.drains
	if since := r.fleet.drainingSince[server]; !since.IsZero() {
		drains = append(slices.Clone(drains), drainPeriod{server, since, time.Now()})
	}
	for _, l := range drains {
		if c := r.calls[one.AttemptID]; l.server != server || c != nil && r.outOfStep(c.entry, l.from, one.Started) {
			continue
		}
		known := l.from.Add(drainBound + slack)
		r.check(one.Started.Before(known) || one.Started.After(l.to), "draining servers",
			"%s started at %s %v after the server began to drain", one.AttemptID, server, one.Started.Sub(l.from))
	}
}

// checkStop checks that a graceful stop of an entry interrupts no request that a server has
// started to execute.
func (r *run) checkStop(c *call, ran bool) {
	for _, stop := range r.stops {
		within := c.sent.Before(stop.at) && c.ended.After(stop.at) && c.ended.Before(stop.at.Add(4*time.Second))
		if c.entry == stop.entry && within && ran && c.status != 0 {
			r.check(!c.interrupted || r.serverFaultDuring(c), "graceful stop", "%s was interrupted while %s stopped", c.id, c.entry.name)
		}
	}
}

// serverFaultDuring reports whether a server had faults injected that may have interrupted
// the call.
func (r *run) serverFaultDuring(c *call) bool {
	for _, s := range r.fleet.allServers() {
		if s.FaultActive(c.sent.Add(-callTimeout), c.ended) {
			return true
		}
	}
	return false
}
