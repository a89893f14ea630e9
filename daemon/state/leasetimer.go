package state

import (
	"sync"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// driftDivisor determines by how much the leader extends a lease: by 1/driftDivisor of
// its duration. A holder whose clock runs slow by less than that considers the lease
// expired before another instance takes it over.
const driftDivisor = 20

// leaseTimer measures the age of leases by this process's monotonic clock, starting when
// it applied the last grant or renewal.
type leaseTimer struct {
	now func() time.Time

	mu sync.Mutex
	// renewals maps lease names to the last renewals. Guarded by mu.
	renewals map[string]observedRenewal
}

// observedRenewal is the number of a renewal and when this process first observed it.
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

// expiredRenewal returns the number of the lease's last renewal if the lease has
// expired, otherwise 0.
//
// A process that has just started or installed a snapshot did not see the renewal being
// applied. It measures the lease from the first call with that renewal, so that the lease
// is not taken over too early.
func (t *leaseTimer) expiredRenewal(e *lilacv1.LeaseEntry) uint64 {
	if e.GetHolder() == "" {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	observed, ok := t.renewals[e.GetName()]
	if !ok || observed.renewal != e.GetRenewal() {
		t.renewals[e.GetName()] = observedRenewal{e.GetRenewal(), t.now()}
		return 0
	}
	duration := time.Duration(e.GetDurationMs()) * time.Millisecond
	if t.now().Sub(observed.at) > duration+duration/driftDivisor {
		return e.GetRenewal()
	}
	return 0
}
