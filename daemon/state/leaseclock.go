package state

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// LeaseClock judges leases on a Machine as a Service does, for runs that have
// a clock of their own and no Service.
type LeaseClock struct {
	machine *Machine
	timer   *leaseTimer
}

// NewLeaseClock returns the LeaseClock of a Machine that no Service uses.
func NewLeaseClock(machine *Machine, now func() time.Time) *LeaseClock {
	timer := newLeaseTimer(now)
	machine.onLease = timer.recordRenewal
	return &LeaseClock{machine: machine, timer: timer}
}

// SetExpiredRenewal says in the request whether the lease that it asks for has run out.
func (c *LeaseClock) SetExpiredRenewal(r *lilacv1.LeaseRequest) {
	r.ExpiredRenewal = c.timer.expiredRenewal(c.machine.Lease(r.GetName()))
}
