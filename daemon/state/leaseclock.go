package state

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// LeaseClock determines the expiry of leases on a Machine as a Service does. It is for
// simulations, which have their own clock and no Service.
type LeaseClock struct {
	machine *Machine
	timer   *leaseTimer
}

// NewLeaseClock returns a LeaseClock for a Machine that no Service uses: it replaces the
// machine's callback for renewals.
func NewLeaseClock(machine *Machine, now func() time.Time) *LeaseClock {
	timer := newLeaseTimer(now)
	machine.onLease = timer.recordRenewal
	return &LeaseClock{machine: machine, timer: timer}
}

// SetExpiredRenewal sets the request's ExpiredRenewal to the last renewal of the
// requested lease if that lease has expired, otherwise to 0.
func (c *LeaseClock) SetExpiredRenewal(r *lilacv1.LeaseRequest) {
	r.ExpiredRenewal = c.timer.expiredRenewal(c.machine.Lease(r.GetName()))
}
