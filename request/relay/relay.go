// Package relay does the I/O for the policy core: it sends requests to backend servers and
// returns their answers, as the core decides.
//
// One goroutine owns the core. Each request is handled in the goroutine of its HTTP handler,
// which posts events to the core's mailbox and receives actions on a channel of its own.
//
// Lock order: Relay.mu (the table of requests) before request.mu; the mailbox's lock is
// acquired last and held only to append to or swap its slices. The locks of package holding
// and slowCaller.mu are never held together with that of another request's.
package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/engine"
	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/holding"
	"github.com/lilacbridge/lilacbridge/connection/service"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/process/logs"
	"github.com/lilacbridge/lilacbridge/request/outcome"
	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// Counter records metrics of the relay; label values are bounded. Its methods are called
// concurrently.
type Counter interface {
	// Attempt counts an ended attempt by result, such as "finished" or "crashed".
	Attempt(end string)
	// Repeated counts attempts after the first one of a request, by what proves that the one
	// before did not run.
	Repeated(idempotent bool, evidence string)
	// FirstToken observes the time from arrival to the first token, by class.
	FirstToken(class string, wait time.Duration)
	// Tokens counts tokens forwarded to callers.
	Tokens(n int)
	// StreamResumed counts streams that callers resume, by where their origin was found; see
	// originlink.Source.
	// doubt is why it wasn't inferred; see admission.Doubt.
	StreamResumed(source, doubt string)
	// VersionsTooOld counts requests refused since the record of software versions is too old to
	// begin streams that callers may resume.
	VersionsTooOld()
	// Unprepared counts attempts that were not sent since other instances may hold another origin.
	Unprepared()
	// TokensSaved counts tokens of interrupted answers that were not generated again.
	TokensSaved(n int)
	// ServerAvailability counts changes of a server's availability by reason.
	ServerAvailability(reason string)
	// NoRoom counts requests refused for lack of room, by the check and by how most of the pool's
	// servers were used.
	NoRoom(check, use string)
	// GivenUp counts answers that ended although their servers had made them, by reason.
	GivenUp(reason string)
	// InvariantViolated counts a violated invariant by name.
	InvariantViolated(invariant string)
}

// Options are the dependencies and settings of a Relay.
type Options struct {
	Core     policy.Core
	Engines  *engine.Client
	Services *service.Client
	Claims   *outcome.Claims
	// Gateway and Protocol are used for the gateway's requests; nil without a gateway.
	Gateway  *gateway.Client
	Protocol gateway.Protocol
	Counter  Counter
	// Origins keeps resumed streams at their software version; nil lets them go on anywhere.
	Origins Origins
	// OnConvict is called for a request, or a part of prompts, that crashes servers, OnLift for a
	// conviction that has proved wrong, OnClaimTrial for a trial to claim; they must not block.
	OnConvict    func(policy.Convict)
	OnLift       func(policy.LiftConviction)
	OnClaimTrial func(policy.ClaimTrial)
	// OnAnnounce is called when the digest should be sent at once; it must not block.
	OnAnnounce func()
	// OnRun is called once for each request of a team that a server begins to run. It must not
	// block.
	OnRun func(team string)
	// OnBorrow is called to ask other instances for retries; each answer is posted as a
	// policy.RetriesBorrowed event. It must not block; nil asks nobody.
	OnBorrow func(policy.BorrowRetries)
	// Log receives one line per event of a request; nil disables it.
	Log *logs.Log
	// Holdings is the account of what the instance holds for others; nil if that isn't
	// bounded. UnreadTimeout is how long after its deadline a complete answer is still
	// delivered; it is required with Holdings.
	Holdings      *holding.Store
	UnreadTimeout time.Duration
	// StallTimeout is how long a started stream may stall. The default is 30 s.
	StallTimeout time.Duration
}

const (
	defaultStallTimeout = 30 * time.Second
	// drainRetryAfter is the Retry-After during a drain; by then the load balancer sends
	// the caller to another instance.
	drainRetryAfter = time.Second
)

// Relay handles requests. It is safe for concurrent use.
type Relay struct {
	Options
	mailbox *mailbox
	view    atomic.Pointer[model.View]
	nextID  atomic.Uint64

	// mu guards the fields below.
	mu       sync.Mutex
	requests map[policy.ID]*request
	limits   map[string]limitRow
	draining bool
	// idle is closed when the relay is draining and no request is left.
	idle chan struct{}
	// aborted is closed when the drain time has expired.
	aborted chan struct{}
}

// New returns a Relay. Requests are processed only while Run is running.
func New(options Options) *Relay {
	if options.StallTimeout == 0 {
		options.StallTimeout = defaultStallTimeout
	}
	if options.OnConvict == nil {
		options.OnConvict = func(policy.Convict) {}
	}
	if options.OnLift == nil {
		options.OnLift = func(policy.LiftConviction) {}
	}
	if options.OnClaimTrial == nil {
		options.OnClaimTrial = func(policy.ClaimTrial) {}
	}
	if options.OnAnnounce == nil {
		options.OnAnnounce = func() {}
	}
	if options.OnBorrow == nil {
		options.OnBorrow = func(policy.BorrowRetries) {}
	}
	if options.OnRun == nil {
		options.OnRun = func(string) {}
	}
	return &Relay{Options: options, mailbox: newMailbox(), requests: make(map[policy.ID]*request), idle: make(chan struct{}), aborted: make(chan struct{})}
}

// View returns the current configuration, or nil before the first Configure.
func (r *Relay) View() *model.View { return r.view.Load() }

// Configure applies a configuration. A revision older than the current one is ignored and
// counted as a violated invariant.
func (r *Relay) Configure(view *model.View) {
	if old := r.view.Load(); old != nil && old.Revision > view.Revision {
		r.Counter.InvariantViolated("revision_went_back")
		return
	}
	r.view.Store(view)
	r.pruneLimits(view)
	r.Post(policy.Configured{View: view})
}

// Post queues an event for the core. It does not block.
func (r *Relay) Post(event policy.Event) { r.mailbox.post(event) }

// register adds a request to the table, or refuses it while the instance drains. Both happen
// under one lock, so that a drain misses no request.
func (r *Relay) register(req *request) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return req.record.Error(lilacv1.ErrorKind_ERROR_KIND_DRAINING, "this instance is shutting down; send the request to another one", fault.WithRetryAfter(drainRetryAfter))
	}
	req.id = policy.ID(r.nextID.Add(1))
	r.requests[req.id] = req
	return nil
}

func (r *Relay) unregister(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, req.id)
	r.closeIdle()
}

func (r *Relay) closeIdle() {
	if !r.draining || len(r.requests) > 0 {
		return
	}
	select {
	case <-r.idle:
	default:
		close(r.idle)
	}
}

// Drain refuses new requests from now on. Idle is closed when the last request in progress
// has ended.
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
	case <-r.aborted:
		return
	default:
	}
	close(r.aborted)
	for _, req := range r.requests {
		req.abort(errDrainExpired)
	}
}

// Idle returns a channel that is closed once the relay is draining and no request is in
// progress.
func (r *Relay) Idle() <-chan struct{} { return r.idle }

// InFlight returns the number of requests in progress.
func (r *Relay) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests)
}

// Digest returns the core's digest for other instances. It waits for Run.
func (r *Relay) Digest(ctx context.Context) (*lilacv1.Digest, error) {
	return queryCore(ctx, r.mailbox, func(core policy.Core, now time.Time) *lilacv1.Digest { return core.Digest(now) })
}

// Loads returns what this instance runs on each server and has sent to it. It waits for Run.
func (r *Relay) Loads(ctx context.Context) (loadboard.Report, error) {
	return queryCore(ctx, r.mailbox, func(core policy.Core, now time.Time) loadboard.Report { return core.Loads(now) })
}

// LendRetries lends retries to another instance and returns how many. It waits for Run.
func (r *Relay) LendRetries(ctx context.Context, pool string, wanted int) (int, error) {
	return queryCore(ctx, r.mailbox, func(core policy.Core, now time.Time) int { return core.LendRetries(now, pool, wanted) })
}

// Stats returns the core's counters. It waits for Run.
func (r *Relay) Stats(ctx context.Context) (policy.Stats, error) {
	return queryCore(ctx, r.mailbox, func(core policy.Core, _ time.Time) policy.Stats { return core.Stats() })
}

// queryCore runs ask on the goroutine that owns the core and returns its result.
func queryCore[T any](ctx context.Context, mb *mailbox, ask func(policy.Core, time.Time) T) (T, error) {
	reply := make(chan T, 1)
	mb.ask(func(core policy.Core, now time.Time) { reply <- ask(core, now) })
	select {
	case value := <-reply:
		return value, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}
