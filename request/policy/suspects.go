package policy

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/request/suspect"
)

const (
	// trialTokens is how far a suspect must get past its start to be cleared.
	trialTokens = 16
	// askPause is how long an instance waits for the others' word before it
	// tries a suspect that it learned of, plus rankPause for each rank, so that
	// two instances don't begin together.
	peerSuspectDelay = 700 * time.Millisecond
	rankDelay        = 100 * time.Millisecond
	// ownPause is the same after a crash of one's own: another copy may have
	// taken another server down in the same moment, and its news is on the way.
	ownCrashDelay = 600 * time.Millisecond
	// reserveFor is how long a trial on another instance's server is announced
	// before it starts: two digests, so that a lost one does no harm.
	reservationDelay = 1100 * time.Millisecond
	// elsewhereFor is how long a peer's word of a trial counts.
	peerTrialTTL = 1500 * time.Millisecond
	// ownServersFor is how long a suspect waits for one of the servers that
	// are this instance's for trials before it takes any.
	ownServersWindow = time.Second
)

// suspectCrash notes that the request was in flight on a server that crashed.
func (c *core) suspectCrash(now time.Time, r *request, s *server) {
	if c.suspects.RecordCrash(r.Digest, r.Team, s.name, now) {
		c.announce()
	}
	if e := c.suspects.Get(r.Digest); e != nil {
		e.OwnCrash = true
	}
	c.suspects.RecordCrashPosition(r.Digest, s.name, r.tokens)
	delete(c.identical.passed, r.Digest)
	c.awaitVerdict(r.Digest)
}

// takeSuspects takes in a peer's suspects and the servers that it tries them on.
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
	news := c.unknownSuspects(suspects)
	if c.suspects.Merge(suspects, now) {
		for _, s := range suspects {
			c.awaitVerdict(s.GetDigest())
		}
		c.stopAwaitingVerdict(now)
	}
	for _, s := range suspects {
		if news[s.GetDigest()] {
			c.quarantineCopies(now, s.GetDigest(), nil)
		}
		if s.GetTrial() != "" {
			c.yieldTrial(name, s)
		}
	}
}

// unknown returns the digests that are no suspects here yet.
func (c *core) unknownSuspects(suspects []*lilacv1.Suspect) map[string]bool {
	news := make(map[string]bool)
	for _, s := range suspects {
		if len(s.GetServers()) > 0 && c.suspects.Get(s.GetDigest()) == nil {
			news[s.GetDigest()] = true
		}
	}
	return news
}

func (c *core) removeTrials(p *peer) {
	for _, server := range p.trials {
		server.peerTrials--
	}
	p.trials = p.trials[:0]
}

// tryTrials starts suspects, each alone of its kind on its server.
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

// tryTrial returns true once the request no longer waits for a trial.
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
	s, mine := c.trialServer(now, r, e)
	if s == nil {
		return false
	}
	if r.trialReservation == nil {
		r.trialReservation, r.trialReservedAt, r.claimsTrial = s, now, false
		e.Trial = s.name
		s.trial = r.Digest
		c.announce()
	}
	if !mine && now.Sub(r.trialReservedAt) < reservationDelay {
		return false
	}
	r.trialReservation = nil
	r.trial = true
	c.start(now, r, s)
	return true
}

// release gives up a claim and gives a reserved server back.
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

// mustWait tells whether another copy of the suspect runs, or may soon. After
// a crash of one's own the first trial is one's own; a suspect that a peer
// told of is tried only when no peer tries it.
func (c *core) mustDelayTrial(now time.Time, r *request, e *suspect.Entry) bool {
	holds := r.claimsTrial || r.trialReservation != nil
	if !holds && (e.Trial != "" || now.Sub(e.PeerTrialAt) < peerTrialTTL) {
		return true
	}
	if r.failedOn != "" && slices.Contains(e.Servers, r.failedOn) {
		return now.Sub(r.quarantinedAt) < ownCrashDelay
	}
	rank, _ := c.instanceRank()
	return now.Sub(r.quarantinedAt) < peerSuspectDelay+time.Duration(rank)*rankDelay
}

// trialServer finds the server for a suspect. Each reachable instance has
// servers of its own for trials, where it may begin at once; on others it
// must announce itself first. So no two instances put their suspects together
// before either has told of it.
func (c *core) trialServer(now time.Time, r *request, e *suspect.Entry) (best *server, mine bool) {
	rank, of := c.instanceRank()
	if s := r.trialReservation; s != nil {
		if c.trialAllowed(now, s, e, r.Digest) {
			return s, slices.Index(r.pool.servers, s)%of == rank
		}
		c.releaseTrial(r)
	}
	for i, s := range r.pool.servers {
		if !c.trialAllowed(now, s, e, "") || s.load() >= float64(s.slots) {
			continue
		}
		own := i%of == rank
		if !own && (mine || now.Sub(r.quarantinedAt) < ownServersWindow+time.Duration(rank)*rankDelay) {
			continue
		}
		if best == nil || own && !mine || s.load() < best.load() {
			best, mine = s, own
		}
	}
	return best, mine
}

// mayTry tells whether no other suspect holds the server, and whether it is up.
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

// passed notes that a request ran past the place of the crash, if there is one.
func (c *core) passedCrashPoint(now time.Time, r *request) {
	c.identical.markPassed(now, r, slices.ContainsFunc(r.pool.parked, func(p *request) bool { return p.Digest == r.Digest }))
	if r.trial {
		c.clearSuspect(now, r)
	}
}

// clearSuspect ends the trial of a request that ran past the place of the crash.
func (c *core) clearSuspect(now time.Time, r *request) {
	c.endTrial(now, r, r.server)
	c.suspects.Clear(r.Digest, now)
}
