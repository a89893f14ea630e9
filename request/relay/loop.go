package relay

import (
	"context"
	"sync"
	"time"

	"github.com/lilacbridge/lilacbridge/request/policy"
)

// query runs on the goroutine that owns the core.
type query func(policy.Core, time.Time)

// mailbox queues events and queries for the goroutine that owns the core.
type mailbox struct {
	mu     sync.Mutex
	events []policy.Event
	// progressed are requests whose new tokens are reported to the core at the next tick.
	progressed []*request
	queries    []query
	wake       chan struct{}
	// lastStallScan is the second of the last scan for stalled streams; used only by the
	// core's goroutine.
	lastStallScan int64
	// lastSlowScan is the time of the last scan for callers that don't read; used only by the
	// core's goroutine.
	lastSlowScan time.Time
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

func (b *mailbox) post(event policy.Event) {
	b.mu.Lock()
	b.events = append(b.events, event)
	b.mu.Unlock()
	b.signal()
}

func (b *mailbox) ask(q query) {
	b.mu.Lock()
	b.queries = append(b.queries, q)
	b.mu.Unlock()
	b.signal()
}

// deferTokens schedules the request's unreported tokens for the next tick.
func (b *mailbox) deferTokens(req *request) {
	b.mu.Lock()
	b.progressed = append(b.progressed, req)
	b.mu.Unlock()
}

func (b *mailbox) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// take returns the queued events and queries and queues new ones in the given slices, which
// are reused.
func (b *mailbox) take(events []policy.Event, queries []query) ([]policy.Event, []query) {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken, queued := b.events, b.queries
	b.events, b.queries = events[:0], queries[:0]
	return taken, queued
}

func (b *mailbox) takeProgressed(spare []*request) []*request {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.progressed
	b.progressed = spare[:0]
	return taken
}

// idleInterval is the tick interval without requests in progress. It saves an idle instance
// nine out of ten wake-ups.
const idleInterval = 100 * time.Millisecond

// Run processes events with exclusive access to the core until ctx ends. It must be called
// once.
func (r *Relay) Run(ctx context.Context) {
	timer := time.NewTimer(policy.TickInterval)
	defer timer.Stop()
	idle := false
	var events []policy.Event
	var queries []query
	var progressed []*request
	receive := func() {
		events, queries = r.mailbox.take(events, queries)
		for i, event := range events {
			r.step(event)
			events[i] = nil
		}
		for i, q := range queries {
			q(r.Core, time.Now())
			queries[i] = nil
		}
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.mailbox.wake:
			receive()
			if idle && !r.empty() {
				idle = false
				timer.Reset(policy.TickInterval)
			}
		case now := <-timer.C:
			// A tick judges silence, so all that was heard comes first.
			receive()
			progressed = r.mailbox.takeProgressed(progressed)
			for i, req := range progressed {
				if event, ok := req.takeTokens(); ok {
					r.step(event)
				}
				progressed[i] = nil
			}
			r.step(policy.Tick{})
			r.stopStalled(now)
			r.readOnForSlow(now)
			idle = r.empty()
			timer.Reset(tickAfter(idle))
		}
	}
}

func tickAfter(idle bool) time.Duration {
	if idle {
		return idleInterval
	}
	return policy.TickInterval
}

// empty reports whether no request is in progress.
func (r *Relay) empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests) == 0
}

func (r *Relay) step(event policy.Event) {
	actions := r.Core.Step(time.Now(), event)
	for i, action := range actions {
		r.dispatch(action, actions[i+1:])
	}
}

// dispatch delivers one action to its request; rest are the actions after it.
func (r *Relay) dispatch(action policy.Action, rest []policy.Action) {
	switch a := action.(type) {
	case policy.Start:
		r.deliver(a.ID, a)
	case policy.Refuse:
		r.deliver(a.ID, a)
	case policy.Broken:
		r.deliver(a.ID, a)
	case policy.Stop:
		if req := r.request(a.ID); req != nil {
			req.stop(a.Attempt, movesElsewhere(a, rest))
		}
	case policy.Convict:
		r.OnConvict(a)
	case policy.LiftConviction:
		r.OnLift(a)
	case policy.ClaimTrial:
		r.OnClaimTrial(a)
	case policy.PartBlocked:
		r.logPartBlocked(a)
	case policy.PartLifted:
		r.logPartLifted(a)
	case policy.PartTried:
		r.logPartTried(a)
	case policy.LimitChanged:
		r.logLimit(a)
		r.recordLimit(time.Now(), a)
	case policy.RoomReserved:
		r.logRoomReserved(a)
	case policy.RejectionLimitChanged:
		r.logRejectionLimit(a)
	case policy.BorrowRetries:
		r.OnBorrow(a)
	case policy.RetryPartChanged:
		r.logRetryPart(a)
	case policy.AvailabilityChanged:
		r.logAvailability(a)
	case policy.Announce:
		r.OnAnnounce()
	}
}

// movesElsewhere reports whether the stopped attempt is resumed elsewhere at once, so that
// its engine must keep the answer for the export.
func movesElsewhere(stop policy.Stop, rest []policy.Action) bool {
	for _, action := range rest {
		if start, ok := action.(policy.Start); ok && start.ID == stop.ID {
			return start.ResumeFrom != ""
		}
	}
	return false
}

func (r *Relay) request(id policy.ID) *request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[id]
}

func (r *Relay) deliver(id policy.ID, action policy.Action) {
	req := r.request(id)
	if req == nil {
		// The caller disconnected while the core decided; the core is informed next.
		return
	}
	select {
	case req.actions <- action:
	default:
		r.Counter.InvariantViolated("actions_pile_up")
	}
}

// stopStalled aborts attempts whose stream has started and then stalled.
//
// It guards against an engine that hangs while its connection stays open, which would leave
// the caller with a stream that never ends. The stall is measured here with the local clock,
// whatever the engine reports.
func (r *Relay) stopStalled(now time.Time) {
	if now.UnixMilli()/time.Second.Milliseconds() == r.mailbox.lastStallScan {
		return
	}
	r.mailbox.lastStallScan = now.UnixMilli() / time.Second.Milliseconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, req := range r.requests {
		req.stopIfStalled(now.Add(-r.StallTimeout))
	}
}
