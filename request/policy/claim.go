package policy

import (
	"slices"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Copies of a crashing request at several instances may die with the same
// server. Each instance then had a crash of its own, waited the same pause and
// tried its copy in the same moment: two more servers were lost. So an instance
// claims the trial as soon as its copy died, and of several claims the first by
// instance name stays. A claim is told as a trial on a server that the request
// has crashed already, where no real trial ever runs.

// claim has a copy that died with the server be the next trial.
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

// isClaim tells a claim from a trial that runs or is announced.
func isTrialClaim(s *lilacv1.Suspect) bool { return slices.Contains(s.GetServers(), s.GetTrial()) }

// yield gives way to a peer that tries the same suspect, or will. A trial goes
// before a claim whatever the names, since it may run already.
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
