package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilacbridge/lilacbridge/connection/caller"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/request/outcome"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

// actionSlots exceeds the number of actions that the core ever has pending for one request.
const actionSlots = 8

// claimedLimit bounds each attempt of a claimed request, which may outlive its caller.
const claimedLimit = 10 * time.Minute

var (
	errStopped      = errors.New("stopped by the policy")
	errDrainExpired = errors.New("drain time expired")
	errStalled      = errors.New("engine stalled in the middle of an answer")
	errGivenUp      = errors.New("answer given up, since its caller does not read and its room is needed")
)

// heldAnswer identifies an unfinished answer that an engine may still hold.
type heldAnswer struct {
	server  string
	address string
	// id identifies the answer at the engine: the id of the attempt that started it.
	id string
}

// request is one request in progress.
type request struct {
	id        policy.ID
	requestID string
	class     string
	team      string
	target    string
	arrived   time.Time
	// deadline is set by the caller; zero means none.
	deadline time.Time
	// claimed is set for requests under a claim. Their attempts run to completion even if
	// the caller disconnects, so that a repeated request gets the answer.
	claimed bool
	// idempotent is set for requests that may run more than once.
	idempotent bool
	// The fields from record to named are used only by the request's goroutine.
	record outcome.Record
	held   heldAnswer
	// parts are the prompt's parts that other requests may share; its last part is its own.
	parts []uint64
	// lastEvent is the id of the last event that the caller has, by its own word or from this
	// instance; resumes names the attempt that brought the first one to it.
	lastEvent, resumes string
	// framing is that of the attempt's response; empty before its header.
	framing upstream.Framing
	// stated is the length of the response's body by its header, -1 if that states none; read is
	// how much of the body of a response that isn't a stream has come.
	stated, read int64
	// status is that of the response; named is set if the response carries the request's id.
	status  int
	named   bool
	actions chan policy.Action
	// slow is the way to the caller that may be slow; nil without a gateway.
	slow *slowCaller
	// finished is set once the core was told that the server has done its part, which may be
	// before the caller has read the answer.
	finished atomic.Bool

	// unreported counts tokens not yet reported to the core.
	unreported atomic.Int64
	tokens     atomic.Int64
	// lastProgress is when the attempt's last token arrived, in Unix nanoseconds; 0 before
	// the first.
	lastProgress atomic.Int64
	// maxPause is the longest time between two pieces of the answer, in nanoseconds.
	maxPause atomic.Int64
	attempt  atomic.Int64
	// firstToken is the time from arrival to the first token, in nanoseconds.
	firstToken atomic.Int64

	// mu guards the fields below.
	mu      sync.Mutex
	server  string
	running int
	// stopped is the highest number of an attempt that the core stopped.
	stopped int
	// moving is set if the stopped attempt continues on another engine.
	moving bool
	cancel context.CancelCauseFunc
}

func newRequest(meta *caller.Meta) *request {
	return &request{
		requestID: meta.RequestID, class: meta.Class, team: meta.Team, target: meta.Target,
		arrived: time.Now(), deadline: meta.Deadline, claimed: meta.Key != "",
		actions: make(chan policy.Action, actionSlots),
	}
}

// pastDeadline reports whether the caller's deadline has passed.
//
// It guards against a process that was frozen and resumed: the context's timer fires only
// some time after the resume, and until then part of an answer could be written, or an
// attempt started, past the deadline. The clock is therefore read before each of these
// steps.
func (req *request) pastDeadline() bool {
	return !req.deadline.IsZero() && !req.claimed && !time.Now().Before(req.deadline)
}

// baseContext returns the parent context of an attempt: the caller's, or for a claimed
// request one that outlives the caller.
func (req *request) baseContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if req.claimed {
		return context.WithTimeout(context.WithoutCancel(ctx), claimedLimit)
	}
	return ctx, func() {}
}

// mayStart reports whether another attempt may start. A request that is not idempotent needs proof
// that none of its attempts ran; from then on they can't write.
func (req *request) mayStart() bool {
	if req.idempotent {
		return true
	}
	_, proved := req.record.Proof()
	return proved
}

// begin records that an attempt runs; it returns false if the core already stopped it.
func (req *request) begin(start policy.Start, cancel context.CancelCauseFunc) bool {
	req.mu.Lock()
	defer req.mu.Unlock()
	if req.stopped >= start.Attempt {
		return false
	}
	req.running, req.server, req.cancel = start.Attempt, start.Server, cancel
	req.attempt.Store(int64(start.Attempt))
	req.lastProgress.Store(0)
	return true
}

// end records that the attempt ended. It reports whether the core stopped it, and whether
// its engine must keep the answer for a move.
func (req *request) end() (stopped, moving bool) {
	req.mu.Lock()
	defer req.mu.Unlock()
	stopped = req.stopped == req.running
	moving = req.moving
	req.running, req.server, req.cancel, req.moving = 0, "", nil, false
	return stopped, moving
}

// stop cancels an attempt. It is called by the core's goroutine, possibly before begin.
func (req *request) stop(attempt int, moving bool) {
	req.mu.Lock()
	defer req.mu.Unlock()
	req.stopped = max(req.stopped, attempt)
	if req.running == attempt && req.cancel != nil {
		req.moving = moving
		req.cancel(errStopped)
	}
}

// stopIfStalled aborts the attempt if its last token arrived at or before the given time.
func (req *request) stopIfStalled(before time.Time) {
	last := req.lastProgress.Load()
	if !req.finished.Load() && last != 0 && last <= before.UnixNano() {
		req.abort(errStalled)
	}
}

// abort cancels the running attempt, if any.
func (req *request) abort(cause error) {
	req.mu.Lock()
	defer req.mu.Unlock()
	if req.cancel != nil {
		req.cancel(cause)
	}
	if req.slow != nil && !errors.Is(cause, errStalled) {
		req.slow.end(cause)
	}
}

// addToken counts one token and reports whether it is the attempt's first.
func (req *request) addToken(mb *mailbox) (firstToken bool) { return req.addTokens(mb, 1) }

// addTokens counts tokens that arrived together and reports whether they are the attempt's
// first. The first tokens are posted to the core at once, later ones with the next tick.
func (req *request) addTokens(mb *mailbox, count int) (firstToken bool) {
	if req.tokens.Add(int64(count)) == int64(count) {
		req.firstToken.Store(int64(time.Since(req.arrived)))
	}
	now := time.Now().UnixNano()
	last := req.lastProgress.Swap(now)
	firstToken = last == 0
	if !firstToken && now-last > req.maxPause.Load() {
		req.maxPause.Store(now - last)
	}
	if firstToken {
		mb.post(policy.Tokens{ID: req.id, Attempt: int(req.attempt.Load()), Count: count})
		return true
	}
	if req.unreported.Add(int64(count)) == int64(count) {
		mb.deferTokens(req)
	}
	return false
}

// firstTokenAfter returns the time from arrival to the first token; 0 before it.
func (req *request) firstTokenAfter() time.Duration { return time.Duration(req.firstToken.Load()) }

// longestPause returns the longest time between two pieces of the answer.
func (req *request) longestPause() time.Duration { return time.Duration(req.maxPause.Load()) }

// takeTokens returns and resets the tokens not yet reported to the core.
func (req *request) takeTokens() (policy.Tokens, bool) {
	count := req.unreported.Swap(0)
	return policy.Tokens{ID: req.id, Attempt: int(req.attempt.Load()), Count: int(count)}, count > 0
}

// row is the state of a request that is shown to operators.
type row struct {
	server string
	state  string
	tokens int64
}

func (req *request) row() row {
	req.mu.Lock()
	defer req.mu.Unlock()
	state := "waiting"
	if req.running > 0 {
		state = "running"
	}
	return row{server: req.server, state: state, tokens: req.tokens.Load()}
}
