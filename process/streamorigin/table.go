// Package streamorigin holds where streams began that their callers may resume at any
// instance: the service and the software version of its server.
//
// What servers of different software versions write does not fit together in one stream,
// and only the instance that forwarded the first event knows the version. Each instance
// therefore leaves copies with a few others, which the caller's attempt id selects, before
// the first event arrives, while a service has several versions. The package does no I/O.
package streamorigin

import (
	"maps"
	"slices"
	"time"
)

const (
	// MaxTTL bounds how long an origin is held.
	MaxTTL = time.Minute
	// maxRecords bounds the origins that an instance holds, at about 100 bytes each.
	maxRecords = 1 << 15
	// seenPeriod is how long a version counts as seen after it has left the list: as long as
	// a stream of it may be resumed.
	seenPeriod = MaxTTL
)

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the server; empty if unknown.
	Version string
}

type record struct {
	origin  Origin
	number  int
	expires time.Time
}

// Table holds origins by the caller's attempt id, and the software versions seen lately. It is
// not safe for concurrent use.
type Table struct {
	records map[string]record
	// left is when a version of a service left the list; zero while it is listed.
	left map[Origin]time.Time
	// listedSince is when the first list was recorded; zero before.
	listedSince time.Time
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{records: make(map[string]record), left: make(map[Origin]time.Time)}
}

// Put records where the stream of the caller's attempt begins. number counts the instance's
// own attempts at servers; a lower one than is held changes nothing. It returns false if the
// table is full.
func (t *Table) Put(now time.Time, attempt string, origin Origin, number int, ttl time.Duration) bool {
	held, exists := t.records[attempt]
	if exists && held.number > number {
		return true
	}
	if !exists && len(t.records) >= maxRecords {
		return false
	}
	t.records[attempt] = record{origin: origin, number: number, expires: now.Add(min(ttl, MaxTTL))}
	return true
}

// Get returns the origin of the attempt's stream and its number.
func (t *Table) Get(now time.Time, attempt string) (origin Origin, number int, ok bool) {
	held, exists := t.records[attempt]
	if !exists || !now.Before(held.expires) {
		return Origin{}, 0, false
	}
	return held.origin, held.number, true
}

// Len returns the number of origins held.
func (t *Table) Len() int { return len(t.records) }

// Expire drops origins and versions whose time is over.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.records, func(_ string, r record) bool { return !now.Before(r.expires) })
	maps.DeleteFunc(t.left, func(_ Origin, at time.Time) bool { return !at.IsZero() && now.Sub(at) > seenPeriod })
}

// SetListed records the services and versions of all listed servers.
func (t *Table) SetListed(now time.Time, listed []Origin) {
	if t.listedSince.IsZero() {
		t.listedSince = now
	}
	for origin, at := range t.left {
		if at.IsZero() {
			t.left[origin] = now
		}
	}
	for _, origin := range listed {
		t.left[origin] = time.Time{}
	}
}

// OnlyVersion reports whether all streams of the service that may still be resumed began at one
// version: the table has followed the list for that long and has seen no other.
func (t *Table) OnlyVersion(now time.Time, service string) bool {
	watched := !t.listedSince.IsZero() && now.Sub(t.listedSince) >= seenPeriod
	return watched && len(t.Versions(now, service)) == 1
}

// Versions returns the versions of the service that were seen lately, sorted.
func (t *Table) Versions(now time.Time, service string) []string {
	var versions []string
	for origin, at := range t.left {
		if origin.Service == service && (at.IsZero() || now.Sub(at) <= seenPeriod) {
			versions = append(versions, origin.Version)
		}
	}
	slices.Sort(versions)
	return versions
}
