package lease

import (
	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	// recoveryFencingGap is added to the fencing tokens by a recovery. A lost
	// majority cannot have issued as many, since each token needs a lease of its
	// own.
	recoveryFencingGap = 1_000_000_000
	// recoveryHolder holds each lease after a recovery until the longest lease that
	// the lost majority can have granted has expired.
	recoveryHolder = "recovery"
)

// Recover makes the table safe after the loss of a majority, which may have granted
// leases that are missing here.
//
// A holder unknown to the survivor must not be joined by a second one with an equal
// or lower fencing token. Every lease is therefore held by a placeholder for the
// longest lease duration, by the leader's clock, and fencing tokens continue above
// a gap.
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
