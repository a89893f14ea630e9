// Package relay is the shell around the policy core: it carries requests to
// backend servers and their answers back, as the core decides.
//
// One goroutine owns the core. A request lives in the goroutine of its HTTP
// handler; it posts events to the core's mailbox and gets actions by a channel
// of its own.
//
// Locks: Relay.mu (the table of requests) before flight.mu; the mailbox's lock
// is taken last and held for an append only.
package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/engine"
	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/service"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/process/logs"
	"github.com/lilacbridge/lilacbridge/request/outcome"
	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// Counter counts what the relay does; labels are bounded.
type Counter interface {
	// Attempt counts an attempt's end, such as "finished" or "crashed".
	Attempt(end string)
	// FirstToken observes the time from arrival to the first token, by class.
	FirstToken(class string, wait time.Duration)
	// Tokens counts tokens passed on.
	Tokens(n int)
	// Saved counts tokens of broken answers that were not made again.
	Saved(n int)
	// Broken counts a broken invariant, by its name.
	Broken(invariant string)
}

// Options are the parts that a Relay works with.
type Options struct {
	Core     policy.Core
	Engines  *engine.Client
	Services *service.Client
	Claims   *outcome.Claims
	// Gateway and Protocol carry the gateway's requests; nil without one.
	Gateway  *gateway.Client
	Protocol gateway.Protocol
	Counter  Counter
	// OnConvict is told of a request that crashes servers; it must not block.
	OnConvict func(policy.Convict)
	// OnAnnounce is told that the digest should go out at once; it must not block.
	OnAnnounce func()
	// Log tells what becomes of requests; nil writes nothing.
	Log *logs.Log
	// StallTimeout is how long a stream that began may stay silent. Default 30s.
	StallTimeout time.Duration
}

const (
	defaultStall = 30 * time.Second
	// drainRetry tells refused callers to come back, which the balancer then
	// sends elsewhere.
	drainRetry = time.Second
)

// Relay carries requests; see the package.
type Relay struct {
	Options
	box  *mailbox
	view atomic.Pointer[model.View]
	next atomic.Uint64

	mu       sync.Mutex
	flights  map[policy.ID]*flight
	limits   map[string]limitRow
	draining bool
	// idle is closed when draining and no request is left.
	idle chan struct{}
	// cut is closed when the time for draining is over.
	cut chan struct{}
}

// New returns a Relay; Run must be called for it to work.
func New(options Options) *Relay {
	if options.StallTimeout == 0 {
		options.StallTimeout = defaultStall
	}
	if options.OnConvict == nil {
		options.OnConvict = func(policy.Convict) {}
	}
	if options.OnAnnounce == nil {
		options.OnAnnounce = func() {}
	}
	return &Relay{Options: options, box: newMailbox(), flights: make(map[policy.ID]*flight), idle: make(chan struct{}), cut: make(chan struct{})}
}

// View returns the configuration in force; nil while none is known.
func (r *Relay) View() *model.View { return r.view.Load() }

// Configure brings a newer configuration into force.
func (r *Relay) Configure(view *model.View) {
	if old := r.view.Load(); old != nil && old.Revision > view.Revision {
		r.Counter.Broken("revision_went_back")
		return
	}
	r.view.Store(view)
	r.forgetLimits(view)
	r.Post(policy.Configured{View: view})
}

// Post hands an event from outside of requests to the core.
func (r *Relay) Post(event policy.Event) { r.box.post(event) }

// enter lets a new request in, or refuses it while the instance drains. The
// test and the entry in the table are one step, so that a drain misses none.
func (r *Relay) enter(f *flight) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return f.record.Error(lilacv1.ErrorKind_ERROR_KIND_DRAINING, "this instance is shutting down; send the request to another one", fault.WithRetryAfter(drainRetry))
	}
	f.id = policy.ID(r.next.Add(1))
	r.flights[f.id] = f
	return nil
}

func (r *Relay) leave(f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.flights, f.id)
	r.closeIdle()
}

func (r *Relay) closeIdle() {
	if !r.draining || len(r.flights) > 0 {
		return
	}
	select {
	case <-r.idle:
	default:
		close(r.idle)
	}
}

// Drain refuses new requests from now on; Idle is closed when the last one in
// progress has ended.
func (r *Relay) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return
	}
	r.draining = true
	r.Post(policy.Draining{})
	r.closeIdle()
}

// Abort ends the requests that are still in progress, each with a typed error.
func (r *Relay) Abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.cut:
		return
	default:
	}
	close(r.cut)
	for _, f := range r.flights {
		f.abort(errCut)
	}
}

// Idle is closed once the relay drains and no request is in progress.
func (r *Relay) Idle() <-chan struct{} { return r.idle }

// InFlight returns the number of requests in progress.
func (r *Relay) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.flights)
}

// Digest asks the core what other instances must know.
func (r *Relay) Digest(ctx context.Context) (*lilacv1.Digest, error) {
	return askCore(ctx, r.box, func(core policy.Core, now time.Time) *lilacv1.Digest { return core.Digest(now) })
}

// Loads asks the core for what this instance runs on each server and sent there.
func (r *Relay) Loads(ctx context.Context) (loadboard.Report, error) {
	return askCore(ctx, r.box, func(core policy.Core, now time.Time) loadboard.Report { return core.Loads(now) })
}

// Stats asks the core for its counters.
func (r *Relay) Stats(ctx context.Context) (policy.Stats, error) {
	return askCore(ctx, r.box, func(core policy.Core, _ time.Time) policy.Stats { return core.Stats() })
}

func askCore[T any](ctx context.Context, box *mailbox, ask func(policy.Core, time.Time) T) (T, error) {
	reply := make(chan T, 1)
	box.ask(func(core policy.Core, now time.Time) { reply <- ask(core, now) })
	select {
	case value := <-reply:
		return value, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}
