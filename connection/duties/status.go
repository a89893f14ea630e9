package duties

import (
	"maps"
	"time"

	"github.com/lilacbridge/lilacbridge/version/scaling"
)

// CallKind is a duty with the outcome of a call: accepted, refused, rate_limited or unknown.
type CallKind struct{ Duty, Outcome string }

// Status is the state of the duties as this process knows it, for metrics and operators.
type Status struct {
	// Holds is true while this process leads and so holds the duties, since Since.
	Holds bool
	Since time.Time
	// Fencing is the number for the next call; 0 if a new one is to be taken first.
	Fencing uint64
	// Calls counts calls since the start of the process.
	Calls map[CallKind]uint64
	// Groups are the replicas by service, data centre and kind; nil without Holds.
	Groups []scaling.GroupStatus
	// Unacknowledged is the number of closed usage windows that the platform has not
	// acknowledged, OldestWindow the first of them and OldestAge the time since its end.
	Unacknowledged int
	OldestWindow   int64
	OldestAge      time.Duration
	// Dropped is the number of windows given up since too many waited.
	Dropped uint64
}

// Status returns the current state.
func (h *Holder) Status() Status {
	state := h.options.Log.Usage()
	h.mu.Lock()
	defer h.mu.Unlock()
	s := Status{
		Holds: h.term != 0, Since: h.since, Fencing: h.grant.Fencing(), Calls: maps.Clone(h.calls),
		Unacknowledged: len(state.Unacknowledged), Dropped: state.Dropped,
	}
	if len(state.Unacknowledged) > 0 {
		s.OldestWindow = state.Unacknowledged[0].GetWindow()
		end := time.UnixMicro((s.OldestWindow + 1) * h.options.Timing.Window.Microseconds())
		s.OldestAge = h.options.Now().Sub(end)
	}
	if s.Holds {
		s.Groups = h.scaling.Status()
	}
	return s
}
