package lease

import (
	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	// recoveryGap is how far a recovery moves the fencing numbers: more than a
	// lost majority can have given, as each number needs a lease of its own.
	recoveryFencingGap = 1_000_000_000
	// recoveryHolder holds each lease after a recovery until the longest lease
	// that the lost majority can have granted has run out.
	recoveryHolder = "recovery"
)

// Recover makes sure of all that a lost majority may have granted.
//
// It guards against a holder that the survivor knows nothing of: a second one
// would order engines at the same time, under an equal or lower number. It
// holds because every lease is held by nobody for the longest time of a lease,
// counted by the leader's own clock, and numbers begin above a gap.
func (t *Table) Recover() {
	for _, e := range t.leases {
		t.fencingFloor = max(t.fencingFloor, e.GetFencing())
	}
	t.fencingFloor += recoveryFencingGap
	for name, e := range t.leases {
		t.leases[name] = t.recoveryEntry(name, e.GetRenewal())
	}
}

func (t *Table) recoveryEntry(name string, renewal uint64) *lilacv1.LeaseEntry {
	return &lilacv1.LeaseEntry{Name: name, Holder: recoveryHolder, Incarnation: recoveryHolder,
		Fencing: t.fencingFloor, DurationMs: maxDurationMs, Renewal: renewal + 1}
}
