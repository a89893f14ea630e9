package policy

import (
	"container/heap"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/request/estimate"
	"github.com/lilacbridge/lilacbridge/request/limits"
	"github.com/lilacbridge/lilacbridge/request/queue"
)

// request is one request from its arrival to its final action.
type request struct {
	Arrival
	class *lilacv1.Class
	limit limits.Limit
	pool  *pool
	item  queue.Item
	// server is nil while the request waits.
	server  *server
	attempt int
	// sentNow: the present attempt may have written a byte; sentEver: any did
	// that ended without the server's word that it did not run.
	attemptSent bool
	everSent    bool
	// got counts the tokens that the caller holds, gotNow those of this attempt.
	tokens, attemptTokens int
	started               time.Time
	firstAt               time.Time
	lastAt                time.Time
	// estimated is the length predicted at the arrival, charged what the team paid.
	estimated float64
	charged   float64
	// uncached is the prompt work of this attempt, ahead what stood before it.
	uncached, workAhead float64
	// fetched is the part of the prompt that the server fetches from another one.
	fetched float64
	// behind is true where it starts although no engine is expected to be in time.
	expectedLate bool
	// displacing is true where it started in the place of bulk.
	displacing bool
	// level is its priority at the engine, as it started.
	level int
	// blocked is why it did not start when it was last looked at.
	blocked       BlockReason
	expectedFirst time.Duration
	// carried is the length of the KV cache that this attempt came with, at the
	// rate carriedAt; 0 and nil if it came without.
	kvTransferred  float64
	kvTransferRate *kvRate
	// sends counts the servers that were sent the request and failed or refused it.
	serversTried int
	// failedOn names the server of the last failed attempt.
	failedOn string
	// trial is true while it runs as a suspect; held is since when it waits as one.
	trial         bool
	quarantinedAt time.Time
	// reserved is the server that was announced for its trial.
	trialReservation *server
	trialReservedAt  time.Time
	// nextCopy is the next copy that runs here; see identical.
	nextCopy *request
	// claims is true while it waits and this instance tells that it will be
	// the one to try it.
	claimsTrial bool
	// idleSince is the arrival or the last token; rejections counts attempts that
	// no server took. suspect is true while it waits for a trial.
	idleSince  time.Time
	rejections int
	suspect    bool
	// ownAt and poolAt are its places in its server's and its pool's lists.
	serverIndex, poolIndex int
}

func (r *request) tier() int { return int(r.class.GetTier()) }

func (r *request) key() estimate.Key { return estimate.Key{Class: r.Class, Team: r.Team} }

func (r *request) firstTokenTarget() time.Duration {
	return time.Duration(r.class.GetFirstTokenMs()) * time.Millisecond
}

func (r *request) tokenGapTarget() time.Duration {
	return time.Duration(r.class.GetBetweenTokensMs()) * time.Millisecond
}

// firstBy is the time left for the first token; an answer that has begun has
// time as far as it is ahead of its class's pace.
func (r *request) slack(now time.Time) time.Duration {
	if r.tokens == 0 {
		return r.item.Arrived.Add(r.firstTokenTarget()).Sub(now)
	}
	return r.firstAt.Add(time.Duration(r.tokens) * r.tokenGapTarget()).Sub(now)
}

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
