// Package suspect finds the request that crashes backend servers.
//
// All requests in flight on a server that crashes are suspects by digest. A
// suspect runs again only as the one suspect on its server; two crashes
// convict it, and a run that gets well past the place of the crash clears it.
// What is known is shared with the other instances in digests.
package suspect

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	// ConvictionThreshold is the number of lost servers that convicts.
	ConvictionThreshold = 2
	// keep is how long a suspicion lasts without news.
	keep = 10 * time.Minute
	// share is how long a suspicion is told to the other instances.
	share = 20 * time.Second
	// maxEntries bounds the table; the oldest goes first.
	maxEntries = 4096
)

// Entry is what is known of one digest.
type Entry struct {
	Digest string
	Team   string
	// Servers that crashed while they ran it, in order of name.
	Servers []string
	// Trial is the server on which this instance tries it now.
	Trial string
	// UpdatedAt is when this instance last heard something new of it.
	UpdatedAt time.Time
	// PeerTrialAt is when a peer last told that it tries the request.
	PeerTrialAt time.Time
	// CrashTimes is when this instance learned of each crash that counts.
	CrashTimes []time.Time
	// OwnCrash is true where a crash broke a run of this instance's own.
	OwnCrash bool
	// Confirmed is the verdict on two crashes; until then they only bar the request.
	Confirmed bool
	// AttributedToOutage is true once crashes were put down to an outage; only once.
	AttributedToOutage bool
	// places are how many tokens of its answer this instance held at each of
	// its own crashes, by server.
	places map[string]int
	// forgiven are crashes that a later run cleared the request of. Peers go on
	// telling of them for a while; they must not count again.
	forgiven []string
}

// Convicted tells whether the request must not run again.
func (e *Entry) Convicted() bool { return e != nil && len(e.Servers) >= ConvictionThreshold }

// Table holds the suspects that one instance knows.
type Table struct {
	entries map[string]*Entry
	order   []string
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[string]*Entry)} }

// Get returns the entry of a digest that is suspected now, or nil.
func (t *Table) Get(digest string) *Entry {
	e := t.entries[digest]
	if e == nil || len(e.Servers) == 0 {
		return nil
	}
	return e
}

// Len returns the number of suspects.
func (t *Table) Len() int { return len(t.entries) }

func (t *Table) entry(digest, team string) *Entry {
	e := t.entries[digest]
	if e == nil {
		e = &Entry{Digest: digest, Team: team}
		t.entries[digest] = e
		t.order = append(t.order, digest)
	}
	if len(t.order) > maxEntries {
		delete(t.entries, t.order[0])
		t.order = t.order[1:]
	}
	return e
}

// RecordCrash notes that a server went down with the request in flight. It
// returns true where that is news.
func (t *Table) RecordCrash(digest, team, server string, now time.Time) bool {
	e := t.entry(digest, team)
	at, known := slices.BinarySearch(e.Servers, server)
	if known || slices.Contains(e.forgiven, server) {
		return false
	}
	e.Servers = slices.Insert(e.Servers, at, server)
	e.CrashTimes = append(e.CrashTimes, now)
	e.UpdatedAt = now
	return true
}

// CrashRecorded tells whether the server's crash was ever put down to the request.
func (e *Entry) CrashRecorded(server string) bool {
	return slices.Contains(e.Servers, server) || slices.Contains(e.forgiven, server)
}

// AttributeToOutage puts all crashes but one down to an outage: the request remains a
// suspect. Each instance keeps the same crash, the first by name, so that
// what they tell each other doesn't add up to two again.
func (t *Table) AttributeToOutage(digest string, now time.Time) {
	e := t.Get(digest)
	if e == nil {
		return
	}
	e.forgiven = append(e.forgiven, e.Servers[1:]...)
	e.Servers = e.Servers[:1]
	e.CrashTimes = nil
	e.AttributedToOutage = true
	e.UpdatedAt = now
}

// Clear ends the suspicion: the request ran past the place of the crash, or
// the operators lifted its conviction. The crashes so far are forgiven.
func (t *Table) Clear(digest string, now time.Time) {
	e := t.Get(digest)
	if e == nil {
		return
	}
	e.forgiven = append(e.forgiven, e.Servers...)
	e.Servers, e.Trial, e.CrashTimes, e.places = nil, "", nil, nil
	e.OwnCrash, e.Confirmed, e.AttributedToOutage = false, false, false
	e.UpdatedAt = now
}

// Merge takes in a peer's suspects; it returns true where one is convicted by it.
func (t *Table) Merge(suspects []*lilacv1.Suspect, now time.Time) bool {
	convicted := false
	for _, s := range suspects {
		if len(s.GetServers()) == 0 {
			t.Clear(s.GetDigest(), now)
			continue
		}
		before := t.entries[s.GetDigest()].Convicted()
		for _, server := range s.GetServers() {
			t.RecordCrash(s.GetDigest(), s.GetTeam(), server, now)
		}
		e := t.Get(s.GetDigest())
		if e != nil && s.GetTrial() != "" {
			e.PeerTrialAt = now
		}
		convicted = convicted || !before && e.Convicted()
	}
	return convicted
}

// Expire drops what is old; call it now and then.
func (t *Table) Expire(now time.Time) {
	kept := t.order[:0]
	for _, digest := range t.order {
		if e := t.entries[digest]; now.Sub(e.UpdatedAt) > keep {
			delete(t.entries, digest)
		} else {
			kept = append(kept, digest)
		}
	}
	t.order = kept
}

// Export returns what the other instances should know: recent suspicions, and
// without servers those that were cleared.
func (t *Table) Export(now time.Time) []*lilacv1.Suspect {
	var all []*lilacv1.Suspect
	for _, digest := range t.order {
		e := t.entries[digest]
		if now.Sub(e.UpdatedAt) > share && e.Trial == "" {
			continue
		}
		all = append(all, &lilacv1.Suspect{Digest: digest, Team: e.Team, Servers: e.Servers, Trial: e.Trial})
	}
	return all
}
