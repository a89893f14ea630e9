package lease

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// margin shortens a lease as its holder counts it: one part in this many, for
// clocks that run at different speeds. The leader lengthens it on its side.
const clockMarginDivisor = 10

// Holding is what a holder knows of its own lease. Its times are readings of
// the holder's monotonic clock.
type Grant struct {
	fencing uint64
	until   time.Time
}

// Granted notes an answer to a request that was sent at the time sent.
//
// It guards against a holder that believes in its lease longer than the leader
// does, as when the answer was long on the way: the lease counts from before
// the request was sent, and the leader counts from when it was applied, later.
func (h *Grant) Update(sent time.Time, r *lilacv1.LeaseReply) {
	if !r.GetGranted() {
		*h = Grant{}
		return
	}
	length := time.Duration(r.GetDurationMs()) * time.Millisecond
	until := sent.Add(length - length/clockMarginDivisor)
	if r.GetFencing() == h.fencing && until.Before(h.until) {
		return
	}
	h.fencing, h.until = r.GetFencing(), until
}

// Fencing returns the number of the holding; 0 for none.
func (h *Grant) Fencing() uint64 { return h.fencing }

// Valid tells whether the holder may act at the time now. It is asked right
// before each act: a process that was frozen in between wakes with a lease that
// has run out.
func (h *Grant) Valid(now time.Time) bool { return h.fencing != 0 && now.Before(h.until) }
