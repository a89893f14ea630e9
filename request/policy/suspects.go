package policy

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/request/suspect"
)

const (
	// trialTokens is how many tokens an attempt of a suspect must return for the suspect
	// to be cleared.
	trialTokens = 16
	// peerSuspectDelay is how long an instance waits for reports of the others before it
	// tries a suspect that it learned of from a peer, plus rankDelay for each rank, so
	// that two instances do not start at the same time.
	peerSuspectDelay = 700 * time.Millisecond
	rankDelay        = 100 * time.Millisecond
	// ownCrashDelay is the same after a crash at this instance: another copy may have
	// crashed another server at the same moment, and the report is on its way.
	ownCrashDelay = 600 * time.Millisecond
	// reservationDelay is how long a trial on a server assigned to another instance is
	// announced before it starts: two digest intervals, so that one may be lost.
	reservationDelay = 1100 * time.Millisecond
	// peerTrialTTL is how long a peer's report of a trial is valid.
	peerTrialTTL = 1500 * time.Millisecond
	// ownServersWindow is how long a suspect waits for one of the servers assigned to
	// this instance for trials before it takes any server.
	ownServersWindow = time.Second
)

// suspectCrash records that the request was running on a server that crashed.
func (c *core) suspectCrash(now time.Time, r *request, s *server) {
	if c.suspects.RecordCrash(r.Digest, r.Team, s.name, now) {
		c.announce()
	}
	if e := c.suspects.Get(r.Digest); e != nil {
		e.OwnCrash = true
	}
	c.suspects.RecordCrashPosition(r.Digest, s.name, r.tokens)
	delete(c.identical.passed, r.Digest)
	c.scheduleConfirmation(r.Digest)
}

// applySuspects merges a peer's suspects and marks the servers of its trials.
func (c *core) applySuspects(now time.Time, name string, p *peer, suspects []*lilacv1.Suspect) {
	c.removeTrials(p)
	for _, s := range suspects {
		if server := c.servers[s.GetTrial()]; server != nil && !isTrialClaim(s) {
			server.peerTrials++
			p.trials = append(p.trials, server)
		}
	}
	if len(suspects) == 0 {
		return
	}
	isNew := c.unknownSuspects(suspects)
	if c.suspects.Merge(suspects, now) {
		for _, s := range suspects {
			c.scheduleConfirmation(s.GetDigest())
		}
		c.stopUnconfirmed(now)
	}
	for _, s := range suspects {
		if isNew[s.GetDigest()] {
			c.quarantineCopies(now, s.GetDigest(), nil)
		}
		if s.GetTrial() != "" {
			c.yieldTrial(name, s)
		}
	}
}

// unknownSuspects returns the digests that are not suspects at this instance yet.
func (c *core) unknownSuspects(suspects []*lilacv1.Suspect) map[string]bool {
	isNew := make(map[string]bool)
	for _, s := range suspects {
		if len(s.GetServers()) > 0 && c.suspects.Get(s.GetDigest()) == nil {
			isNew[s.GetDigest()] = true
		}
	}
	return isNew
}

func (c *core) removeTrials(p *peer) {
	for _, server := range p.trials {
		server.peerTrials--
	}
	p.trials = p.trials[:0]
}

// tryTrials starts trials of suspects. A server runs at most one at a time.
func (c *core) tryTrials(now time.Time, p *pool) {
	for i := 0; i < len(p.quarantine); {
		r := p.quarantine[i]
		if !c.tryTrial(now, r) {
			i++
			continue
		}
		if i < len(p.quarantine) && p.quarantine[i] == r {
			p.quarantine = slices.Delete(p.quarantine, i, i+1)
		}
	}
}

// tryTrial reports whether the request no longer waits for a trial.
func (c *core) tryTrial(now time.Time, r *request) bool {
	e := c.suspects.Get(r.Digest)
	if e == nil {
		c.releaseTrial(r)
		r.suspect = false
		r.item.Late = false
		r.pool.queue.Push(&r.item)
		return true
	}
	if c.convicted(now, r.Digest) {
		c.dequeue(r)
		c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_CONVICTED, convictedMessage, 0)
		return true
	}
	if e.Convicted() || e.AttributedToOutage && !c.crashFree(now) || c.multipleCrashes(now) || c.mustDelayTrial(now, r, e) {
		return false
	}
	s, assigned := c.trialServer(now, r, e)
	if s == nil {
		return false
	}
	if r.trialReservation == nil {
		r.trialReservation, r.trialReservedAt, r.claimsTrial = s, now, false
		e.Trial = s.name
		s.trial = r.Digest
		c.announce()
	}
	if !assigned && now.Sub(r.trialReservedAt) < reservationDelay {
		return false
	}
	r.trialReservation = nil
	r.trial = true
	c.start(now, r, s)
	return true
}

// releaseTrial gives up the request's claim and its reservation of a server.
func (c *core) releaseTrial(r *request) {
	if r.trialReservation == nil && !r.claimsTrial {
		return
	}
	if r.trialReservation != nil {
		r.trialReservation.trial = ""
	}
	r.trialReservation, r.claimsTrial = nil, false
	if e := c.suspects.Get(r.Digest); e != nil {
		e.Trial = ""
	}
}

// mustDelayTrial reports whether another copy of the suspect runs or may start soon.
// After a crash at this instance, the first trial runs here; a suspect reported by a
// peer is tried only while no peer tries it.
func (c *core) mustDelayTrial(now time.Time, r *request, e *suspect.Entry) bool {
	holdsTrial := r.claimsTrial || r.trialReservation != nil
	if !holdsTrial && (e.Trial != "" || now.Sub(e.PeerTrialAt) < peerTrialTTL) {
		return true
	}
	if r.failedOn != "" && slices.Contains(e.Servers, r.failedOn) {
		return now.Sub(r.quarantinedAt) < ownCrashDelay
	}
	rank, _ := c.instanceRank()
	return now.Sub(r.quarantinedAt) < peerSuspectDelay+time.Duration(rank)*rankDelay
}

// trialServer selects the server for a trial. Each reachable instance is assigned
// some servers on which it may start a trial at once; on others it must announce the
// trial first. So no two instances run suspects on the same server before either has
// announced it.
func (c *core) trialServer(now time.Time, r *request, e *suspect.Entry) (best *server, assigned bool) {
	rank, of := c.instanceRank()
	if s := r.trialReservation; s != nil {
		if c.trialAllowed(now, s, e, r.Digest) {
			return s, slices.Index(r.pool.servers, s)%of == rank
		}
		c.releaseTrial(r)
	}
	for i, s := range r.pool.servers {
		if !c.trialAllowed(now, s, e, "") || !s.maySend(now, r) || s.load() >= float64(s.slots) {
			continue
		}
		isAssigned := i%of == rank
		if !isAssigned && (assigned || now.Sub(r.quarantinedAt) < ownServersWindow+time.Duration(rank)*rankDelay) {
			continue
		}
		if best == nil || isAssigned && !assigned || s.load() < best.load() {
			best, assigned = s, isAssigned
		}
	}
	return best, assigned
}

// trialAllowed reports whether the server is available and reserved for no suspect but
// holder.
func (c *core) trialAllowed(now time.Time, s *server, e *suspect.Entry, holder string) bool {
	return !s.unavailable(now) && s.trial == holder && s.peerTrials == 0 && !slices.Contains(e.Servers, s.name)
}

func (c *core) endTrial(now time.Time, r *request, s *server) {
	if !r.trial {
		return
	}
	r.trial = false
	s.trial = ""
	if e := c.suspects.Get(r.Digest); e != nil && e.Trial == s.name {
		e.Trial = ""
	}
	r.pool.dirty = true
}

// passedCrashPoint records that an attempt returned trialTokens tokens, after which a
// crash is no longer expected.
func (c *core) passedCrashPoint(now time.Time, r *request) {
	c.recordAnsweredParts(now, r)
	c.identical.markPassed(now, r, slices.ContainsFunc(r.pool.parked, func(p *request) bool { return p.Digest == r.Digest }))
	if r.trial {
		c.clearSuspect(now, r)
	}
}

// clearSuspect ends the trial of a request that returned trialTokens tokens.
func (c *core) clearSuspect(now time.Time, r *request) {
	c.endTrial(now, r, r.server)
	c.suspects.Clear(r.Digest, now)
}
