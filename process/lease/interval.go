package lease

import (
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
)

// fullRateInstances is the number of instances per data centre that request a lease
// at the full rate.
const fullRateInstances = 3

// RequestInterval returns how long an instance without the lease waits between two
// requests for it. position is the number of live instances of its data centre that
// rank above it; jitter in [0, 1) is drawn for each wait, so that requests spread
// out.
//
// The rate falls with the position so that a leader does not have to answer every
// instance of a large fleet: the first three request at the full rate, the next
// three at half of it, and so on, so the total grows with the logarithm of the
// fleet size. No instance stops requesting, so the lease is taken over even if the
// first ones seem alive but cannot reach the leader.
func RequestInterval(length time.Duration, position int, jitter float64) time.Duration {
	interval := RenewInterval(length) + number.Duration(jitter*float64(length))
	return interval * time.Duration(1+position/fullRateInstances)
}

// RenewInterval returns the time between two renewals by the holder.
func RenewInterval(length time.Duration) time.Duration { return length / 4 }
