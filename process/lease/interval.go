package lease

import "time"

// candidates is how many instances of a data centre ask for a lease at the full pace.
const fullRateInstances = 3

// AskInterval returns how long an instance that does not hold a lease of the
// length waits between two requests for it. Position counts the live instances
// of its data centre that rank above it, and part in [0, 1) is drawn anew for
// each wait, so that not all ask at once.
//
// It guards against a leader that answers every instance of a large fleet in
// vain. The first three ask at the full pace, the next three half as often, and
// so on: the requests grow with the logarithm of the fleet. Nobody stays silent
// for good, so a lease is also taken over where all the first are taken for
// alive but can't reach the leader.
func RequestInterval(length time.Duration, position int, jitter float64) time.Duration {
	interval := RenewInterval(length) + time.Duration(jitter*float64(length))
	return interval * time.Duration(1+position/fullRateInstances)
}

// RenewInterval returns how long a holder waits between two renewals.
func RenewInterval(length time.Duration) time.Duration { return length / 4 }
