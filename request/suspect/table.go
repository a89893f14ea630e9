// Package suspect identifies requests that crash backend servers.
//
// All requests in flight on a server that crashes become suspects, identified by the
// digest of their content. A suspect is retried only as the sole suspect on its server
// (a trial); two crashes convict it, and a run that gets well past the position of the
// crash clears it. Instances share this state in their digests.
package suspect

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	// ConvictionThreshold is the number of crashed servers that convicts a request.
	ConvictionThreshold = 2
	// retention is how long an entry is kept after its last update.
	retention = 10 * time.Minute
	// exportFor is how long an entry is sent to peers after its last update.
	exportFor = 20 * time.Second
	// maxEntries bounds the table; the entry created first is evicted first.
	maxEntries = 4096
)

// Entry is the state of one request digest.
type Entry struct {
	Digest string
	Team   string
	// Servers are the servers that crashed while running the request, sorted by name.
	Servers []string
	// Trial is the server of this instance's current, reserved or claimed trial, as
	// reported to peers; empty if none.
	Trial string
	// UpdatedAt is when this instance last received new information on the request.
	UpdatedAt time.Time
	// PeerTrialAt is when a peer last reported a trial of its own.
	PeerTrialAt time.Time
	// CrashTimes holds when this instance learned of each crash that counts.
	CrashTimes []time.Time
	// OwnCrash is set if a crash interrupted a run by this instance.
	OwnCrash bool
	// Confirmed is set once the conviction is confirmed; until then a convicted request
	// is only held back.
	Confirmed bool
	// AttributedToOutage is set once crashes were attributed to an outage; that happens
	// only once.
	AttributedToOutage bool
	// positions holds, by server, how many tokens of the answer this instance held at
	// each crash that it observed.
	positions map[string]int
	// discounted are servers whose crashes no longer count against the request. Peers
	// keep reporting them for a while; they must not be counted again.
	discounted []string
}

// Convicted reports whether the request has reached ConvictionThreshold and must not run.
// It is false for a nil Entry.
func (e *Entry) Convicted() bool { return e != nil && len(e.Servers) >= ConvictionThreshold }

// Table holds the suspects known to one instance. It is not safe for concurrent use.
type Table struct {
	entries map[string]*Entry
	order   []string
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[string]*Entry)} }

// Get returns the entry of a digest that is currently suspected, or nil. The table keeps
// ownership of the entry.
func (t *Table) Get(digest string) *Entry {
	e := t.entries[digest]
	if e == nil || len(e.Servers) == 0 {
		return nil
	}
	return e
}

// Len returns the number of entries, including cleared ones.
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

// RecordCrash records that a server crashed with the request in flight. It reports
// whether the crash was new.
func (t *Table) RecordCrash(digest, team, server string, now time.Time) bool {
	e := t.entry(digest, team)
	at, known := slices.BinarySearch(e.Servers, server)
	if known || slices.Contains(e.discounted, server) {
		return false
	}
	e.Servers = slices.Insert(e.Servers, at, server)
	e.CrashTimes = append(e.CrashTimes, now)
	e.UpdatedAt = now
	return true
}

// CrashRecorded reports whether the server's crash was ever counted against the request.
func (e *Entry) CrashRecorded(server string) bool {
	return slices.Contains(e.Servers, server) || slices.Contains(e.discounted, server)
}

// AttributeToOutage discounts all crashes but one; the request remains a suspect. Each
// instance keeps the same crash, the first by server name, so that the crashes reported
// among instances don't add up to a conviction again.
func (t *Table) AttributeToOutage(digest string, now time.Time) {
	e := t.Get(digest)
	if e == nil {
		return
	}
	e.discounted = append(e.discounted, e.Servers[1:]...)
	e.Servers = e.Servers[:1]
	e.CrashTimes = nil
	e.AttributedToOutage = true
	e.UpdatedAt = now
}

// Clear ends the suspicion: the request ran past the position of the crash, or an operator
// lifted its conviction. The crashes so far are discounted.
func (t *Table) Clear(digest string, now time.Time) {
	e := t.Get(digest)
	if e == nil {
		return
	}
	e.discounted = append(e.discounted, e.Servers...)
	e.Servers, e.Trial, e.CrashTimes, e.positions = nil, "", nil, nil
	e.OwnCrash, e.Confirmed, e.AttributedToOutage = false, false, false
	e.UpdatedAt = now
}

// Merge merges suspects reported by a peer. It reports whether one of them is convicted by
// the merge.
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

// Expire drops entries that were not updated within the retention. Call it periodically.
func (t *Table) Expire(now time.Time) {
	kept := t.order[:0]
	for _, digest := range t.order {
		if e := t.entries[digest]; now.Sub(e.UpdatedAt) > retention {
			delete(t.entries, digest)
		} else {
			kept = append(kept, digest)
		}
	}
	t.order = kept
}

// Export returns the entries to send to peers: those updated recently or with a trial.
// Cleared ones have no servers. The result shares its slices with the table.
func (t *Table) Export(now time.Time) []*lilacv1.Suspect {
	var all []*lilacv1.Suspect
	for _, digest := range t.order {
		e := t.entries[digest]
		if now.Sub(e.UpdatedAt) > exportFor && e.Trial == "" {
			continue
		}
		all = append(all, &lilacv1.Suspect{Digest: digest, Team: e.Team, Servers: e.Servers, Trial: e.Trial})
	}
	return all
}
