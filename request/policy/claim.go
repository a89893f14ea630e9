package policy

import (
	"slices"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Copies of a crashing request at several instances may be lost with the same
// server. If each of these instances tried its copy again after the same delay,
// several more servers would crash at once. So an instance claims the trial as soon
// as its copy was lost; of several claims, the one of the first instance by name has
// precedence. Digests carry a claim as a trial on a server that the request has already
// crashed, since no real trial runs there.

// claimTrial claims the next trial for a copy that was lost with the server.
func (c *core) claimTrial(digest string, crashed *server) {
	e := c.suspects.Get(digest)
	if e == nil || e.Trial != "" || e.Convicted() || !slices.Contains(e.Servers, crashed.name) {
		return
	}
	for _, r := range c.findRequests(func(r *request) bool { return r.Digest == digest && r.suspect && r.failedOn == crashed.name }) {
		r.claimsTrial = true
		e.Trial = crashed.name
		c.announce()
		return
	}
}

// isTrialClaim reports whether the announced trial is a claim, and not a trial that
// is running or reserved.
func isTrialClaim(s *lilacv1.Suspect) bool { return slices.Contains(s.GetServers(), s.GetTrial()) }

// yieldTrial releases this instance's claim or reservation if the peer's has
// precedence. A trial has precedence over a claim whatever the names, since it may
// be running already.
func (c *core) yieldTrial(peer string, s *lilacv1.Suspect) {
	e := c.suspects.Get(s.GetDigest())
	if e == nil || e.Trial == "" {
		return
	}
	first := peer < c.options.Instance
	for _, r := range c.findRequests(func(r *request) bool { return r.Digest == e.Digest }) {
		if r.claimsTrial && (first || !isTrialClaim(s)) || r.trialReservation != nil && first && !isTrialClaim(s) {
			c.releaseTrial(r)
		}
	}
}
