package relay

import (
	"context"
	"sync"
	"time"

	"github.com/lilacbridge/lilacbridge/request/policy"
)

type question func(policy.Core, time.Time)

// mailbox keeps events until the goroutine that owns the core takes them.
type mailbox struct {
	mu     sync.Mutex
	events []policy.Event
	// grown are flights with new tokens, told to the core at the next tick.
	grown     []*flight
	questions []question
	wake      chan struct{}
	// lastScan is the second of the last look for stalled streams; only the
	// core's goroutine uses it.
	lastScan int64
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

func (b *mailbox) post(event policy.Event) {
	b.mu.Lock()
	b.events = append(b.events, event)
	b.mu.Unlock()
	b.ring()
}

func (b *mailbox) ask(q question) {
	b.mu.Lock()
	b.questions = append(b.questions, q)
	b.mu.Unlock()
	b.ring()
}

// postLater lets the flight's tokens wait for the next tick.
func (b *mailbox) postLater(f *flight) {
	b.mu.Lock()
	b.grown = append(b.grown, f)
	b.mu.Unlock()
}

func (b *mailbox) ring() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *mailbox) take(events []policy.Event, questions []question) ([]policy.Event, []question) {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken, asked := b.events, b.questions
	b.events, b.questions = events[:0], questions[:0]
	return taken, asked
}

func (b *mailbox) takeGrown(spare []*flight) []*flight {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.grown
	b.grown = spare[:0]
	return taken
}

// idleInterval is the time between two ticks while no request is here. It
// spares an idle instance nine of ten wake-ups.
const idleInterval = 100 * time.Millisecond

// Run owns the core until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	timer := time.NewTimer(policy.TickInterval)
	defer timer.Stop()
	idle := false
	var events []policy.Event
	var questions []question
	var grown []*flight
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.box.wake:
			events, questions = r.box.take(events, questions)
			for i, event := range events {
				r.step(event)
				events[i] = nil
			}
			for i, q := range questions {
				q(r.Core, time.Now())
				questions[i] = nil
			}
			if idle && !r.empty() {
				idle = false
				timer.Reset(policy.TickInterval)
			}
		case now := <-timer.C:
			grown = r.box.takeGrown(grown)
			for i, f := range grown {
				if event, ok := f.takeTokens(); ok {
					r.step(event)
				}
				grown[i] = nil
			}
			r.step(policy.Tick{})
			r.stopStalled(now)
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

// empty tells whether no request is here.
func (r *Relay) empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.flights) == 0
}

func (r *Relay) step(event policy.Event) {
	actions := r.Core.Step(time.Now(), event)
	for i, action := range actions {
		r.dispatch(action, actions[i+1:])
	}
}

// dispatch hands one action to its request; rest are those that follow it.
func (r *Relay) dispatch(action policy.Action, rest []policy.Action) {
	switch a := action.(type) {
	case policy.Start:
		r.deliver(a.ID, a)
	case policy.Refuse:
		r.deliver(a.ID, a)
	case policy.Broken:
		r.deliver(a.ID, a)
	case policy.Stop:
		if f := r.flight(a.ID); f != nil {
			f.stop(a.Attempt, movesOn(a, rest))
		}
	case policy.Convict:
		r.OnConvict(a)
	case policy.LimitChanged:
		r.logLimit(a)
		r.noteLimit(time.Now(), a)
	case policy.Announce:
		r.OnAnnounce()
	}
}

// movesOn tells whether the stopped attempt is taken over elsewhere at once, so
// that its engine must keep it for the export.
func movesOn(stop policy.Stop, rest []policy.Action) bool {
	for _, action := range rest {
		if start, ok := action.(policy.Start); ok && start.ID == stop.ID {
			return start.ResumeFrom != ""
		}
	}
	return false
}

func (r *Relay) flight(id policy.ID) *flight {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flights[id]
}

func (r *Relay) deliver(id policy.ID, action policy.Action) {
	f := r.flight(id)
	if f == nil {
		// The caller left while the core decided; the core hears of it next.
		return
	}
	select {
	case f.actions <- action:
	default:
		r.Counter.Broken("actions_pile_up")
	}
}

// stopStalled ends attempts whose stream began and then fell silent.
//
// It guards against an engine that hangs while its connection stays open. It
// shows as a stream that never ends. It holds because the silence is measured
// here, with the local clock, whatever the engine reports.
func (r *Relay) stopStalled(now time.Time) {
	if now.UnixMilli()/time.Second.Milliseconds() == r.box.lastScan {
		return
	}
	r.box.lastScan = now.UnixMilli() / time.Second.Milliseconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flights {
		f.stopIfStalled(now.Add(-r.StallTimeout))
	}
}
