package stateclient

import (
	"errors"
	"fmt"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

const (
	// attemptTimeout bounds one call to one state process; a frozen leader must
	// not hold up the search for the next.
	attemptTimeout = time.Second
	// probeTimeout bounds a call to a process that is not known to lead. One that
	// does not answers at once; one that does is found again by its next answer.
	probeTimeout = 400 * time.Millisecond
	// searchTime is how long a call looks for a leader. It covers an election.
	searchTime = 3 * time.Second
	// roundTime bounds the last round: a leader that gives no answer, and two
	// others.
	roundTime = attemptTimeout + 2*probeTimeout
	// roundPause lies between two rounds over all state processes.
	roundPause = 100 * time.Millisecond
	// reserve is the time left to a call below which no further round is tried:
	// a call that ends in the middle of one can't say that nothing was changed.
	reserve = 100 * time.Millisecond
	// lostMemory is how long a failed search is remembered: calls within it try
	// one round only, so that a cut-off data centre refuses at once.
	lostMemory = 2 * time.Second
	// retryAfter is what callers are told while there is no leader.
	retryAfter = 2 * time.Second
)

// Event is something that happened to a call; see the types below.
type Event interface{ call() uint64 }

// CallStarted begins a call under a number that no open call has. The call is not
// tried again when End is near; zero means that it has no end of its own.
type CallStarted struct {
	Call     uint64
	Deadline time.Time
}

// AttemptDone tells how a Attempt ended.
type AttemptDone struct {
	Call uint64
	Err  error
	// ContextDone is true if the caller's own time has ended.
	ContextDone bool
	// FromAnyReplica is true for an answer that processes without a quorum give as well.
	FromAnyReplica bool
}

// PauseDone tells that a Pause has passed.
type PauseDone struct{ Call uint64 }

func (e CallStarted) call() uint64 { return e.Call }
func (e AttemptDone) call() uint64 { return e.Call }
func (e PauseDone) call() uint64   { return e.Call }

// Action is what the shell does next for the call: a Attempt, a Pause or the End.
type Action interface{ action() }

// Attempt sends the call to a state process and waits up to Timeout.
type Attempt struct {
	Address string
	Timeout time.Duration
}

// Pause waits.
type Pause struct{ For time.Duration }

// CallDone gives the call's outcome; without Err the last Attempt was answered.
type CallDone struct{ Err error }

func (Attempt) action()  {}
func (Pause) action()    {}
func (CallDone) action() {}

// Core finds the leader for the calls of one instance. Steps must not overlap.
type Core struct {
	dataCenter string
	peers      []settings.Peer
	health     health
	leader     string
	// lost is when the last search for a leader failed; zero after a success.
	lost  time.Time
	calls map[uint64]*search
}

// NewCore returns a core for an instance in the data centre.
func NewCore(dataCenter string, peers []settings.Peer) *Core {
	return &Core{dataCenter: dataCenter, peers: peers, health: newHealth(), calls: map[uint64]*search{}}
}

// search is one call's way to the leader.
type search struct {
	// until is when the search for a leader ends, over when its last round does,
	// end when the call's time does.
	until, over, end time.Time
	oneRound         bool
	queue            []string
	tried            map[string]bool
	// address is the process that is being tried.
	address string
	// maySent is true once any process may have received the call without
	// refusing it: the command may take effect.
	maySent bool
	last    error
}

// Step takes an event of one call and returns that call's next action.
func (c *Core) Step(now time.Time, event Event) Action {
	var action Action
	switch e := event.(type) {
	case CallStarted:
		s := c.newSearch(now, e.Deadline)
		c.calls[e.Call] = s
		action = c.beginRound(now, s)
	case AttemptDone:
		action = c.ended(now, c.calls[e.Call], e)
	case PauseDone:
		action = c.beginRound(now, c.calls[e.Call])
	}
	if _, over := action.(CallDone); over {
		delete(c.calls, event.call())
	}
	return action
}

// newSearch begins a search, which also gives its last round an end.
//
// It guards against a last round in which other calls hear of one leader after
// the other: each would be given the time of a leader. It shows as a claim that
// hangs for 6 s and more. It holds because no try outlasts over.
func (c *Core) newSearch(now, end time.Time) *search {
	s := &search{until: now.Add(searchTime), end: end, oneRound: c.recentlyLost(now)}
	s.over = s.until.Add(roundPause + roundTime)
	if s.oneRound {
		s.over = now.Add(roundTime)
	}
	return s
}

// beginRound tries each process once, and the leader that one of them names.
func (c *Core) beginRound(now time.Time, s *search) Action {
	s.queue, s.tried = c.order(), make(map[string]bool)
	return c.next(now, s)
}

// next tries the first process of the queue that was not tried in this round
// and is not passed over.
func (c *Core) next(now time.Time, s *search) Action {
	for len(s.queue) > 0 && now.Before(s.over) {
		address := s.queue[0]
		s.queue = s.queue[1:]
		if s.tried[address] {
			continue
		}
		s.tried[address] = true
		if !c.health.admit(now, address) {
			s.note(errPassedOver)
			continue
		}
		s.address = address
		return Attempt{Address: address, Timeout: min(c.timeout(address), s.over.Sub(now))}
	}
	return c.endRound(now, s)
}

// endRound gives a search up that took its time, and remembers it.
//
// It guards against a cut-off data centre in which every claim and statement
// hangs for the whole search before it is refused. It holds because the calls
// that begin shortly after a failed search try one round only.
func (c *Core) endRound(now time.Time, s *search) Action {
	if !s.oneRound && !now.After(s.until) && !s.nearlyOver(now) {
		return Pause{For: roundPause}
	}
	c.lost = now
	return CallDone{Err: s.failure()}
}

func (c *Core) ended(now time.Time, s *search, e AttemptDone) Action {
	c.health.settle(now, s.address, e.Err, e.ContextDone)
	if e.Err == nil {
		c.found(s.address, e)
		return CallDone{}
	}
	if final(e.Err) {
		return CallDone{Err: e.Err}
	}
	s.note(e.Err)
	if hint := fault.LeaderOf(e.Err); hint != "" {
		c.leader = hint
		s.queue = append([]string{hint}, s.queue...)
	}
	if e.ContextDone {
		return c.endRound(now, s)
	}
	return c.next(now, s)
}

// found notes who leads.
//
// It guards against a cut-off data centre in which a key that has ended is
// answered from its own state, and the next claims hang for a whole search again,
// at a process taken for the leader. It holds because only an answer that needs a
// quorum ends the memory of the failed search.
func (c *Core) found(address string, e AttemptDone) {
	if !e.FromAnyReplica {
		c.leader, c.lost = address, time.Time{}
	}
}

func (c *Core) recentlyLost(now time.Time) bool {
	return !c.lost.IsZero() && now.Sub(c.lost) < lostMemory
}

// order returns the presumed leader, then the state processes of the own data
// centre, then the others.
func (c *Core) order() []string {
	peers := slices.Clone(c.peers)
	weight := func(p settings.Peer) int {
		switch {
		case p.Address.Value == c.leader:
			return 0
		case p.DataCenter == c.dataCenter:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(peers, func(a, b settings.Peer) int { return weight(a) - weight(b) })
	var addresses []string
	for _, peer := range peers {
		addresses = append(addresses, peer.Address.Value)
	}
	return addresses
}

func (c *Core) timeout(address string) time.Duration {
	if address == c.leader {
		return attemptTimeout
	}
	return probeTimeout
}

// nearlyOver tells whether the call's time ends before another round could.
func (s *search) nearlyOver(now time.Time) bool {
	return !s.end.IsZero() && s.end.Sub(now) < roundPause+reserve
}

// errPassedOver stands for a call that was not made.
var errPassedOver = fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE,
	"gave no answer just now and is passed over for a moment", fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))

// final tells errors that the state machine itself gave from those of the way to it.
func final(err error) bool {
	switch fault.KindOf(err) {
	case lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER, lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM,
		lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, lilacv1.ErrorKind_ERROR_KIND_TIMEOUT,
		lilacv1.ErrorKind_ERROR_KIND_INTERNAL, lilacv1.ErrorKind_ERROR_KIND_DRAINING,
		lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN:
		return false
	}
	return true
}

func (s *search) note(err error) {
	s.last = err
	refused := errors.Is(err, link.ErrNotSent) || fault.NotRunOf(err) == lilacv1.NotRun_NOT_RUN_TRUE
	s.maySent = s.maySent || !refused
}

func (s *search) failure() error {
	notRun := lilacv1.NotRun_NOT_RUN_TRUE
	text := "no state process leads with a quorum within reach, nothing was changed; try again, or see the state processes' status"
	if s.maySent {
		notRun = lilacv1.NotRun_NOT_RUN_UNKNOWN
		text = "no answer from the state processes, the command may still take effect; send it again under the same id"
	}
	if s.last != nil {
		text = fmt.Sprintf("%s (last: %v)", text, s.last)
	}
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM, text, fault.WithNotRun(notRun), fault.WithRetryAfter(retryAfter))
}
