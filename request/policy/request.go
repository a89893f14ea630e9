package policy

import (
	"container/heap"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// request is one request from its arrival to its final action.
type request struct {
	Arrival
	class   *lilacv1.Class
	pool    *pool
	arrived time.Time
	// server is nil while the request waits.
	server  *server
	attempt int
	// sentNow: the present attempt may have written a byte; sentEver: any did.
	sentNow  bool
	sentEver bool
	// got counts the tokens that the caller holds; lastAt is when the last came.
	got     int
	started time.Time
	lastAt  time.Time
	// failedOn names the server of the last failed attempt.
	failedOn string
}

func (r *request) tier() int { return int(r.class.GetTier()) }

// timer is the moment at which a request's deadline passes.
type timer struct {
	at time.Time
	id ID
}

// timers is a heap by time; entries of ended requests are skipped when due.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].id < t[j].id
	}
	return t[i].at.Before(t[j].at)
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

func (t *timers) add(at time.Time, id ID) { heap.Push(t, timer{at: at, id: id}) }

func (t *timers) due(now time.Time) (ID, bool) {
	if len(*t) == 0 || (*t)[0].at.After(now) {
		return 0, false
	}
	return heap.Pop(t).(timer).id, true
}
