package policy

import (
	"container/heap"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/request/estimate"
	"github.com/lilacbridge/lilacbridge/request/limits"
	"github.com/lilacbridge/lilacbridge/request/parts"
	"github.com/lilacbridge/lilacbridge/request/queue"
	"github.com/lilacbridge/lilacbridge/request/retry"
)

// request is the state of a request from its arrival to its final action.
type request struct {
	Arrival
	class *lilacv1.Class
	limit limits.Limit
	pool  *pool
	item  queue.Item
	// server is nil while the request waits.
	server  *server
	attempt int
	// attemptSent is true if the current attempt may have written a byte. everSent is
	// true if any attempt may have been run: it returned tokens, or it ended after it
	// was sent without the server stating that it did not run it.
	attemptSent bool
	everSent    bool
	// unsettled is the number of a stopped attempt whose outcome decides whether the request may
	// start again; 0 for none.
	unsettled int
	// reached is true if any attempt may have reached a server. retryCause is why the request
	// starts again, grant is the retry that its next start uses, from the
	// decision to retry until the retry reaches a server.
	reached    bool
	retryCause RetryCause
	grant      *retry.Grant
	// retryDenied is why the request is not retried.
	retryDenied RetryDenial
	// tokens counts the tokens that the caller holds, attemptTokens those of the
	// current attempt.
	tokens, attemptTokens int
	started               time.Time
	firstAt               time.Time
	lastAt                time.Time
	// estimated is the answer length predicted on arrival, charged the tokens taken
	// from the team's limit.
	estimated float64
	charged   float64
	// uncached is the prompt work of the current attempt, workAhead the work before it.
	uncached, workAhead float64
	// fetched is the part of the prompt that the server fetches from another one.
	fetched float64
	// expectedLate is true if the request starts although no engine is expected to
	// meet its target.
	expectedLate bool
	memory       requestMemory
	// displacing is true if the request started in place of bulk requests.
	displacing bool
	// level is the engine priority with which the current attempt started.
	level int
	// blocked is why the request could not start at the last attempt.
	blocked       BlockReason
	expectedFirst time.Duration
	// expectedEnd is the expected time until the answer ends and workTimeAhead that of the prompt work
	// before it, from the start of the attempt or, while the request waits, from the last check.
	expectedEnd, workTimeAhead time.Duration
	// returned is true if the caller was refused before and returned when it was told to.
	returned bool
	// counted is true once the decision on the request is among those of its class, reason is why it
	// was refused.
	counted bool
	reason  RefusalReason
	// shortage tells why there was no room for it; nil unless it was refused for that.
	shortage *Shortage
	// kvTransferred is the length of the KV cache that this attempt received, at the
	// rate kvTransferRate; 0 and nil for none.
	kvTransferred  float64
	kvTransferRate *kvRate
	// returnAt is when the caller may return, if it returned earlier. asked is true once the
	// request counts as work that its team asks for, servedAt is when it was counted as service.
	returnAt, servedAt time.Time
	asked              bool
	// versionBound is set once only servers of the software version may go on with the answer.
	// attemptVersion is that of the current attempt's server when it started.
	versionBound            bool
	version, attemptVersion string
	// serversTried counts the servers that got the request and failed or refused it.
	serversTried int
	// failedOn names the server of the last failed attempt.
	failedOn string
	// trial is true while the request runs as a suspect. quarantinedAt is when it
	// started to wait as one.
	trial         bool
	quarantinedAt time.Time
	// partTrial is the block of a prompt's part that this request may try; nil for none.
	partTrial *parts.Block
	// pastStart is true once the current attempt's answer is past its start.
	pastStart bool
	// trialReservation is the server announced for the request's trial.
	trialReservation *server
	trialReservedAt  time.Time
	// nextCopy is the next running copy of the same request; see identical.go.
	nextCopy *request
	// claimsTrial is true while the request waits and this instance announces that it
	// will run the trial.
	claimsTrial bool
	// idleSince is the time of the arrival or of the last token. rejections counts the
	// attempts that no server accepted. suspect is true while the request waits for a
	// trial.
	idleSince  time.Time
	rejections int
	suspect    bool
	// serverIndex and poolIndex are the request's indexes in the lists of running requests of
	// its server and its pool.
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

// slack returns the time left for the first token. Once an answer has begun, it is
// the time by which the answer is ahead of its class's rate.
func (r *request) slack(now time.Time) time.Duration {
	if r.tokens == 0 {
		return r.item.Arrived.Add(r.firstTokenTarget()).Sub(now)
	}
	return r.firstAt.Add(time.Duration(r.tokens) * r.tokenGapTarget()).Sub(now)
}

// timer is the deadline of a request.
type timer struct {
	at time.Time
	id ID
}

// timers is a heap by time; entries of finished requests are skipped when due.
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
