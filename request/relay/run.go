package relay

import (
	"context"
	"errors"
	"strconv"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/logs"
	"github.com/lilacbridge/lilacbridge/request/outcome"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

const interruptedMessage = "the answer was interrupted and can't be continued; it is incomplete"

// errCallerGone is returned for a failed write to the caller.
var errCallerGone = errors.New("caller disconnected")

// job implements the attempts of one kind of request.
type job interface {
	// prepare is called before an attempt is sent; its error ends the request.
	prepare(ctx context.Context, start policy.Start) error
	// attempt runs an attempt; it returns nil once the complete answer was forwarded.
	attempt(ctx context.Context, att *upstreamAttempt) error
	// begun reports whether part of the answer was sent to the caller.
	begun() bool
	// continuable reports whether an answer that has begun can be continued by another
	// attempt.
	continuable() bool
}

// upstreamAttempt is one attempt of a request at one server.
type upstreamAttempt struct {
	start  policy.Start
	server *lilacv1.Server
	state  *upstream.Attempt
	// upstreamID is the request id with the attempt number appended.
	upstreamID string
}

// run executes the core's actions for the request until it is answered or refused, or its
// caller disconnects.
func (r *Relay) run(ctx context.Context, req *request, arrival policy.Arrival, j job) error {
	panicking := true
	defer func() {
		r.release(req.held)
		if panicking {
			// The core would keep the request's slot.
			r.Post(policy.Canceled{ID: req.id})
		}
	}()
	err := r.runActions(ctx, req, arrival, j)
	panicking = false
	return err
}

func (r *Relay) runActions(ctx context.Context, req *request, arrival policy.Arrival, j job) error {
	arrival.ID = req.id
	req.idempotent = arrival.Idempotent
	r.Post(arrival)
	for {
		action, err := r.wait(ctx, req)
		if err != nil {
			return err
		}
		switch a := action.(type) {
		case policy.Refuse:
			return r.refuse(req, a)
		case policy.Broken:
			return req.record.Error(a.Kind, a.Message, fault.WithRetryAfter(a.RetryAfter))
		case policy.Start:
			if !req.mayStart() {
				return r.endWithoutProof(req, a, j)
			}
			if err := j.prepare(ctx, a); err != nil {
				return r.endUnprepared(req, a, j, err)
			}
			done, err := r.runAttempt(ctx, req, a, j)
			if done || err != nil {
				return err
			}
		}
	}
}

// wait returns the core's next action. An ended context or a passed deadline takes
// precedence: a process that was frozen past a deadline must not act on earlier decisions.
func (r *Relay) wait(ctx context.Context, req *request) (policy.Action, error) {
	select {
	case action := <-req.actions:
		if ctx.Err() != nil || req.pastDeadline() {
			return nil, r.abandon(ctx, req)
		}
		return action, nil
	case <-ctx.Done():
		return nil, r.abandon(ctx, req)
	case <-r.aborted:
		return nil, r.drainExpired(req)
	}
}

// drainExpired ends a request that did not finish within the drain time.
func (r *Relay) drainExpired(req *request) error {
	r.Post(policy.Canceled{ID: req.id})
	return req.record.Error(lilacv1.ErrorKind_ERROR_KIND_DRAINING, "this instance shut down before the answer was complete; send the request again", fault.WithRetryAfter(drainRetryAfter))
}

// postFinished tells the core, once, that the server has done its part of the attempt.
func (r *Relay) postFinished(req *request, start policy.Start) {
	if !req.finished.CompareAndSwap(false, true) {
		return
	}
	if tokens, ok := req.takeTokens(); ok {
		r.Post(tokens)
	}
	r.Post(policy.Finished{ID: req.id, Attempt: start.Attempt})
}

// givenUp ends a request whose answer was given up for lack of room.
func (r *Relay) givenUp(req *request) error {
	r.Post(policy.Canceled{ID: req.id})
	return req.record.Error(lilacv1.ErrorKind_ERROR_KIND_BROKEN_STREAM, "the answer was given up, since the caller did not read it and others need the room; read answers as they come")
}

// abandon informs the core that the caller no longer waits for the answer.
func (r *Relay) abandon(ctx context.Context, req *request) error {
	r.Post(policy.Canceled{ID: req.id})
	if req.pastDeadline() || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return req.record.Error(lilacv1.ErrorKind_ERROR_KIND_TIMEOUT, "the caller's deadline has passed; set a later deadline or a more urgent class")
	}
	return req.record.Error(lilacv1.ErrorKind_ERROR_KIND_TIMEOUT, "the caller closed its connection")
}

func (r *Relay) refuse(req *request, a policy.Refuse) error {
	r.logRefused(req, a)
	err := req.record.Error(a.Kind, a.Message, fault.WithRetryAfter(a.RetryAfter))
	if a.NotRun == lilacv1.NotRun_NOT_RUN_TRUE && fault.NotRunOf(err) != a.NotRun {
		r.Counter.InvariantViolated("refused_as_not_run_without_proof")
	}
	return err
}

// runAttempt runs one attempt; done reports whether the request has ended.
func (r *Relay) runAttempt(ctx context.Context, req *request, start policy.Start, j job) (done bool, err error) {
	server := r.server(start.Server)
	if server == nil {
		r.Post(policy.Failed{ID: req.id, Attempt: start.Attempt})
		return false, nil
	}
	base, cancelBase := req.baseContext(ctx)
	defer cancelBase()
	attemptCtx, cancel := context.WithCancelCause(base)
	defer cancel(nil)
	if !req.begin(start, cancel) {
		r.Post(policy.Stopped{ID: req.id, Attempt: start.Attempt})
		return false, nil
	}
	att := &upstreamAttempt{start: start, server: server, upstreamID: req.requestID + "-" + strconv.Itoa(start.Attempt)}
	req.framing, req.stated, req.read, req.status, req.named = "", -1, 0, 0, false
	before := req.record.LastEvidence()
	if before != "" {
		r.Counter.Repeated(req.idempotent, string(before))
	}
	r.logSent(req, start, before)
	att.state = req.record.Add(func() { r.Post(policy.Sent{ID: req.id, Attempt: start.Attempt}) })
	err = j.attempt(attemptCtx, att)
	cause := context.Cause(attemptCtx)
	stopped, moving := req.end()
	if tokens, ok := req.takeTokens(); ok {
		r.Post(tokens)
	}
	if err == nil {
		r.Counter.Attempt("finished")
		r.postFinished(req, start)
		r.logFinished(req, att)
		req.held = heldAnswer{}
		return true, nil
	}
	unsent := att.state.Abandon()
	failure, end := classify(err, unsent)
	if failure.Refused {
		req.record.Refused()
	}
	if stopped {
		end = "stopped"
	}
	r.logFailed(req, att, err, unsent, end)
	switch {
	case errors.Is(cause, errGivenUp):
		r.Counter.Attempt("given_up")
		return true, r.givenUp(req)
	case errors.Is(cause, errDrainExpired):
		r.Counter.Attempt("cut")
		return true, r.drainExpired(req)
	case !req.claimed && (ctx.Err() != nil || req.pastDeadline() || errors.Is(err, errCallerGone)):
		r.Counter.Attempt("canceled")
		return true, r.abandon(ctx, req)
	case stopped:
		r.Counter.Attempt("stopped")
		if !moving {
			r.release(req.held)
			req.held = heldAnswer{}
		}
		r.Post(policy.Stopped{ID: req.id, Attempt: start.Attempt, MayHaveRun: req.record.LastEvidence() == outcome.NoEvidence})
		return false, nil
	}
	if errors.Is(cause, errStalled) {
		err = errStalled
	}
	return r.failed(req, att, j, err, unsent)
}

// endWithoutProof ends a request that the core would start again although an earlier attempt may
// have run.
func (r *Relay) endWithoutProof(req *request, start policy.Start, j job) error {
	r.logWithoutProof(req, start)
	r.Counter.InvariantViolated("repeated_without_proof")
	r.Post(policy.Canceled{ID: req.id})
	if j.begun() {
		return req.record.Error(lilacv1.ErrorKind_ERROR_KIND_BROKEN_STREAM, interruptedMessage)
	}
	return req.record.Error(lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "the request was sent to a backend server and may have run; check its outcome at the service before sending it again")
}

// endUnprepared ends a request whose next attempt must not be sent.
func (r *Relay) endUnprepared(req *request, start policy.Start, j job, err error) error {
	r.Log.Line(logs.Failure, "attempt not prepared", "request", req.requestID, "class", req.class, "server", start.Server, "attempt", start.Attempt, "version", start.Version, "error", err)
	r.Counter.Unprepared()
	r.Post(policy.Canceled{ID: req.id})
	if j.begun() {
		return req.record.Error(lilacv1.ErrorKind_ERROR_KIND_BROKEN_STREAM, interruptedMessage)
	}
	return req.record.Error(fault.KindOf(err), err.Error(), fault.WithRetryAfter(unknownOriginRetryAfter))
}

// failed reports a failed attempt to the core. Failures that a retry on another server
// can't resolve end the request at once.
func (r *Relay) failed(req *request, att *upstreamAttempt, j job, err error, unsent bool) (done bool, answer error) {
	failed, end := classify(err, unsent)
	failed.ID, failed.Attempt = req.id, att.start.Attempt
	if errors.Is(err, upstream.ErrIDMismatch) {
		r.Counter.InvariantViolated("answer_of_another_request")
	}
	if j.begun() && !j.continuable() {
		failed.Permanent = true
	}
	r.Counter.Attempt(end)
	r.Post(failed)
	if !failed.Permanent {
		return false, nil
	}
	return true, r.finalError(req, j, err)
}

func (r *Relay) finalError(req *request, j job, err error) error {
	if j.begun() {
		return req.record.Error(lilacv1.ErrorKind_ERROR_KIND_BROKEN_STREAM, interruptedMessage)
	}
	var status *upstream.StatusError
	if errors.As(err, &status) && status.Status < 500 {
		return req.record.Error(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "backend server rejected the request: "+status.Message())
	}
	return req.record.Error(lilacv1.ErrorKind_ERROR_KIND_BACKEND_FAILED, "backend server failed: "+err.Error())
}

// server returns the named server of the current configuration, or nil.
func (r *Relay) server(name string) *lilacv1.Server {
	if view := r.view.Load(); view != nil {
		return view.Servers[name]
	}
	return nil
}

// releaseTimeout bounds the call that releases an answer held by an engine.
const releaseTimeout = 2 * time.Second

// release asks the engine, in the background, to free an answer that is no longer needed. An
// error is ignored.
func (r *Relay) release(h heldAnswer) {
	if h.id == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		_ = r.Engines.Cancel(ctx, h.address, h.id)
	}()
}
