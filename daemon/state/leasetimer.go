package state

import (
	"sync"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// driftAllowance lengthens a lease as the leader counts it, so that a holder
// whose clock runs slow has surely stopped before another takes over: one part
// in this many.
const driftAllowance = 20

// leaseTimer times leases by this process's monotonic clock, from when it
// applied the last grant or renewal.
type leaseTimer struct {
	now func() time.Time

	mu   sync.Mutex
	last map[string]timedRenewal
}

type timedRenewal struct {
	renewal uint64
	at      time.Time
}

func newLeaseTimer(now func() time.Time) *leaseTimer {
	return &leaseTimer{now: now, last: make(map[string]timedRenewal)}
}

func (t *leaseTimer) renewed(e *lilacv1.LeaseEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last[e.GetName()] = timedRenewal{e.GetRenewal(), t.now()}
}

// expired returns the fencing number of the named lease if it has run out, else 0.
//
// It guards against a lease taken over too early by a process that has just
// started or just taken a snapshot, and so never saw the renewal applied: the
// lease then counts from when it was first looked at.
func (t *leaseTimer) expired(name string, leases []*lilacv1.LeaseEntry) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range leases {
		if e.GetName() != name || e.GetHolder() == "" {
			continue
		}
		seen, ok := t.last[name]
		if !ok || seen.renewal != e.GetRenewal() {
			t.last[name] = timedRenewal{e.GetRenewal(), t.now()}
			return 0
		}
		length := time.Duration(e.GetDurationMs()) * time.Millisecond
		if t.now().Sub(seen.at) > length+length/driftAllowance {
			return e.GetFencing()
		}
	}
	return 0
}
