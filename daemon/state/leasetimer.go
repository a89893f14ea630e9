package state

import (
	"sync"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// driftDivisor lengthens a lease as the leader counts it, so that a holder
// whose clock runs slow has surely stopped before another takes over: one part
// in this many.
const driftDivisor = 20

// leaseTimer times leases by this process's monotonic clock, from when it
// applied the last grant or renewal.
type leaseTimer struct {
	now func() time.Time

	mu       sync.Mutex
	renewals map[string]observedRenewal
}

type observedRenewal struct {
	renewal uint64
	at      time.Time
}

func newLeaseTimer(now func() time.Time) *leaseTimer {
	return &leaseTimer{now: now, renewals: make(map[string]observedRenewal)}
}

func (t *leaseTimer) recordRenewal(e *lilacv1.LeaseEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.renewals[e.GetName()] = observedRenewal{e.GetRenewal(), t.now()}
}

// expiredRenewal returns the number of the lease's last renewal if it has run out, else 0.
//
// It guards against a lease taken over too early by a process that has just
// started or just taken a snapshot, and so never saw the renewal applied: the
// lease then counts from when it was first looked at.
func (t *leaseTimer) expiredRenewal(e *lilacv1.LeaseEntry) uint64 {
	if e.GetHolder() == "" {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	seen, ok := t.renewals[e.GetName()]
	if !ok || seen.renewal != e.GetRenewal() {
		t.renewals[e.GetName()] = observedRenewal{e.GetRenewal(), t.now()}
		return 0
	}
	length := time.Duration(e.GetDurationMs()) * time.Millisecond
	if t.now().Sub(seen.at) > length+length/driftDivisor {
		return e.GetRenewal()
	}
	return 0
}
