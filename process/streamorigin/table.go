// Package streamorigin holds where streams began that their callers may resume at any
// instance: the service and the software version of its server.
//
// What servers of different software versions write does not fit together in one stream,
// and only the instance that forwarded the first event knows the version. Each instance
// therefore leaves copies with a few others, which the caller's attempt id selects, before
// the first event arrives, unless others can infer the version; see package admission. The
// package does no I/O.
package streamorigin

import (
	"maps"
	"time"
)

const (
	// MaxTTL bounds how long an origin is held.
	MaxTTL = 5 * time.Minute
	// maxRecords bounds the origins that an instance holds, at about 100 bytes each.
	maxRecords = 1 << 15
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

// Table holds origins by the caller's attempt id. It is not safe for concurrent use.
type Table struct{ records map[string]record }

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{records: make(map[string]record)}
}

// Put records where the stream of the caller's attempt begins. number counts the instance's
// own attempts at servers; a lower one than is held changes nothing. It returns false if the
// table is full.
func (t *Table) Put(now time.Time, attempt string, origin Origin, number int, ttl time.Duration) bool {
	held, exists := t.records[attempt]
	if exists && held.number > number && now.Before(held.expires) {
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

// Expire drops origins whose time is over.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.records, func(_ string, r record) bool { return !now.Before(r.expires) })
}
