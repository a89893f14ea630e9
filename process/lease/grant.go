package lease

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// clockMarginDivisor shortens the holder's view of a lease by one part in this
// many, for clocks that run at different speeds. The leader lengthens its own view.
const clockMarginDivisor = 10

// Grant is the holder's view of its lease. Its times are readings of the holder's
// monotonic clock.
type Grant struct {
	fencing uint64
	until   time.Time
}

// Update applies the reply to a request that was sent at the given time.
//
// The lease counts from before the request was sent, while the leader counts from
// the later time at which it applied the request. The holder therefore never
// believes in its lease longer than the leader does, however long the reply took.
func (g *Grant) Update(sent time.Time, r *lilacv1.LeaseReply) {
	if !r.GetGranted() {
		*g = Grant{}
		return
	}
	length := time.Duration(r.GetDurationMs()) * time.Millisecond
	until := sent.Add(length - length/clockMarginDivisor)
	if r.GetFencing() == g.fencing && until.Before(g.until) {
		return
	}
	g.fencing, g.until = r.GetFencing(), until
}

// Fencing returns the fencing token; 0 without a lease.
func (g *Grant) Fencing() uint64 { return g.fencing }

// Valid reports whether the holder may act at now. It must be called right before
// each action, since a process may have been suspended in between and its lease may
// have expired.
func (g *Grant) Valid(now time.Time) bool { return g.fencing != 0 && now.Before(g.until) }
