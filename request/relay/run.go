package relay

import (
	"context"
	"errors"
	"strconv"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

// errCallerGone is the error of a write that the caller did not take.
var errCallerGone = errors.New("caller has gone")

// job is what a kind of request does with one attempt.
type job interface {
	// try runs an attempt; nil once the whole answer was passed on.
	try(ctx context.Context, t *try) error
	// begun tells whether the caller holds a part of the answer.
	begun() bool
	// continuable tells whether an answer that has begun can be carried on.
	continuable() bool
}

// try is one attempt of a request.
type try struct {
	start   policy.Start
	server  *lilacv1.Server
	attempt *upstream.Attempt
	// upstreamID is the request's id and the attempt's number.
	upstreamID string
}

// run carries the request until its answer, its refusal or its caller's end.
func (r *Relay) run(ctx context.Context, f *flight, arrival policy.Arrival, j job) error {
	defer func() { r.release(f.held) }()
	arrival.ID = f.id
	r.Post(arrival)
	for {
		action, err := r.wait(ctx, f)
		if err != nil {
			return err
		}
		switch a := action.(type) {
		case policy.Refuse:
			return r.refuse(f, a)
		case policy.Broken:
			return f.record.Error(a.Kind, a.Message, fault.WithRetryAfter(a.RetryAfter))
		case policy.Start:
			done, err := r.attempt(ctx, f, a, j)
			if done || err != nil {
				return err
			}
		}
	}
}

// wait returns the core's next action. The end of the context goes first: an
// entry that was frozen past a deadline must not act on what was decided before.
func (r *Relay) wait(ctx context.Context, f *flight) (policy.Action, error) {
	select {
	case action := <-f.actions:
		if ctx.Err() != nil || f.late() {
			return nil, r.gone(ctx, f)
		}
		return action, nil
	case <-ctx.Done():
		return nil, r.gone(ctx, f)
	case <-r.cut:
		return nil, r.cutOff(f)
	}
}

// cutOff ends a request that outlasted the time for draining.
func (r *Relay) cutOff(f *flight) error {
	r.Post(policy.Canceled{ID: f.id})
	return f.record.Error(lilacv1.ErrorKind_ERROR_KIND_DRAINING, "this instance had to end before the answer did; send the request again", fault.WithRetryAfter(drainRetry))
}

// gone tells the core that nobody waits for the answer any more.
func (r *Relay) gone(ctx context.Context, f *flight) error {
	r.Post(policy.Canceled{ID: f.id})
	if f.late() || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return f.record.Error(lilacv1.ErrorKind_ERROR_KIND_TIMEOUT, "the caller's deadline has passed; state a later one or a more urgent class")
	}
	return f.record.Error(lilacv1.ErrorKind_ERROR_KIND_TIMEOUT, "the caller closed its connection")
}

func (r *Relay) refuse(f *flight, a policy.Refuse) error {
	r.logRefused(f, a)
	err := f.record.Error(a.Kind, a.Message, fault.WithRetryAfter(a.RetryAfter))
	if a.NotRun == lilacv1.NotRun_NOT_RUN_TRUE && fault.NotRunOf(err) != a.NotRun {
		r.Counter.Broken("refused_as_not_run_without_proof")
	}
	return err
}

// attempt runs one attempt. done means that the request has ended.
func (r *Relay) attempt(ctx context.Context, f *flight, start policy.Start, j job) (done bool, err error) {
	server := r.server(start.Server)
	if server == nil {
		r.Post(policy.Failed{ID: f.id, Attempt: start.Attempt})
		return false, nil
	}
	life, endLife := f.lifeOf(ctx)
	defer endLife()
	attemptCtx, cancel := context.WithCancelCause(life)
	defer cancel(nil)
	if !f.begin(start, cancel) {
		return false, nil
	}
	t := &try{start: start, server: server, upstreamID: f.requestID + "-" + strconv.Itoa(start.Attempt)}
	r.logSent(f, start)
	t.attempt = f.record.Add(func() { r.Post(policy.Sent{ID: f.id, Attempt: start.Attempt}) })
	err = j.try(attemptCtx, t)
	cause := context.Cause(attemptCtx)
	stopped, keep := f.end()
	if tokens, ok := f.takeTokens(); ok {
		r.Post(tokens)
	}
	if err == nil {
		r.Counter.Attempt("finished")
		r.Post(policy.Finished{ID: f.id, Attempt: start.Attempt})
		r.logFinished(f, start)
		f.held = held{}
		return true, nil
	}
	unsent := t.attempt.Abandon()
	r.logFailed(f, start, err, unsent)
	switch {
	case !f.claimed && (ctx.Err() != nil || f.late() || errors.Is(err, errCallerGone)):
		r.Counter.Attempt("canceled")
		return true, r.gone(ctx, f)
	case errors.Is(cause, errCut):
		r.Counter.Attempt("cut")
		return true, r.cutOff(f)
	case stopped:
		r.Counter.Attempt("stopped")
		if !keep {
			r.release(f.held)
			f.held = held{}
		}
		return false, nil
	}
	if errors.Is(cause, errStalled) {
		err = errStalled
	}
	return r.failed(f, t, j, err, unsent)
}

// failed tells the core how an attempt ended. Ends that no other server can
// mend are answered at once.
func (r *Relay) failed(f *flight, t *try, j job, err error, unsent bool) (done bool, answer error) {
	failed, end := classify(err, unsent)
	failed.ID, failed.Attempt = f.id, t.start.Attempt
	if failed.Refused {
		f.record.Refused()
	}
	if errors.Is(err, upstream.ErrIDMismatch) {
		r.Counter.Broken("answer_of_another_request")
	}
	if j.begun() && !j.continuable() {
		failed.Permanent = true
	}
	r.Counter.Attempt(end)
	r.Post(failed)
	if !failed.Permanent {
		return false, nil
	}
	return true, r.finalError(f, j, err)
}

func (r *Relay) finalError(f *flight, j job, err error) error {
	if j.begun() {
		return f.record.Error(lilacv1.ErrorKind_ERROR_KIND_BROKEN_STREAM, "the answer broke off and can't be continued; what came is not the whole")
	}
	var status *upstream.StatusError
	if errors.As(err, &status) && status.Status < 500 {
		return f.record.Error(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "backend server refuses the request: "+status.Message())
	}
	return f.record.Error(lilacv1.ErrorKind_ERROR_KIND_BACKEND_FAILED, "backend server failed: "+err.Error())
}

func (r *Relay) server(name string) *lilacv1.Server {
	if view := r.view.Load(); view != nil {
		return view.Servers[name]
	}
	return nil
}

// releaseTimeout bounds the call that frees an engine's slot.
const releaseTimeout = 2 * time.Second

// release frees what an engine still holds of an answer that nobody wants.
func (r *Relay) release(h held) {
	if h.id == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		_ = r.Engines.Cancel(ctx, h.address, h.id)
	}()
}
