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
	// attemptTimeout bounds one call to the presumed leader; a frozen leader must not block
	// the search for the next.
	attemptTimeout = time.Second
	// probeTimeout bounds a call to a process that is not the presumed leader. Followers
	// answer immediately; a leader that was too slow is found by a later attempt.
	probeTimeout = 400 * time.Millisecond
	// searchTimeout is how long a call searches for a leader. It covers an election.
	searchTimeout = 3 * time.Second
	// roundTimeout bounds the last round: a leader that does not answer, and two other
	// processes.
	roundTimeout = attemptTimeout + 2*probeTimeout
	// roundDelay is the pause between two rounds over all state processes.
	roundDelay = 100 * time.Millisecond
	// minTimeLeft is the time that must remain to a call for another round: a call that
	// ends within a round can't report that nothing was changed.
	minTimeLeft = 100 * time.Millisecond
	// noLeaderPeriod is how long after a failed search calls try a single round, so that a
	// disconnected data centre fails calls quickly.
	noLeaderPeriod = 2 * time.Second
	// retryAfter is the retry delay given to callers while there is no leader.
	retryAfter = 2 * time.Second
)

// Event is an input of Core.Step; the event types below implement it.
type Event interface{ call() uint64 }

// CallStarted starts a call with a number that no other open call uses. No further round is
// tried shortly before Deadline; zero means no deadline.
type CallStarted struct {
	Call     uint64
	Deadline time.Time
}

// AttemptDone reports the result of an Attempt.
type AttemptDone struct {
	Call uint64
	Err  error
	// ContextDone is true if the caller's context has ended.
	ContextDone bool
	// FromAnyReplica is true for an answer that a process without a quorum may also give.
	FromAnyReplica bool
}

// PauseDone reports that a Pause has elapsed.
type PauseDone struct{ Call uint64 }

func (e CallStarted) call() uint64 { return e.Call }
func (e AttemptDone) call() uint64 { return e.Call }
func (e PauseDone) call() uint64   { return e.Call }

// Action is the next step of a call: an Attempt, a Pause or CallDone.
type Action interface{ action() }

// Attempt sends the call to the state process at Address and waits up to Timeout.
type Attempt struct {
	Address string
	Timeout time.Duration
}

// Pause waits before the next round.
type Pause struct{ For time.Duration }

// CallDone ends the call. If Err is nil, the last Attempt was answered.
type CallDone struct{ Err error }

func (Attempt) action()  {}
func (Pause) action()    {}
func (CallDone) action() {}

// Core finds the leader for the calls of one instance. It is not safe for concurrent use.
type Core struct {
	dataCenter string
	peers      []settings.Peer
	health     health
	leader     string
	// lostAt is the time at which the last search failed; zero if it succeeded.
	lostAt time.Time
	calls  map[uint64]*search
}

// NewCore returns a Core that prefers peers in dataCenter.
func NewCore(dataCenter string, peers []settings.Peer) *Core {
	return &Core{dataCenter: dataCenter, peers: peers, health: newHealth(), calls: map[uint64]*search{}}
}

// search is the state of one call.
type search struct {
	// searchDeadline is the time after which no further round starts, roundDeadline the
	// end of the last round, and callDeadline the deadline of the call.
	searchDeadline, roundDeadline, callDeadline time.Time
	oneRound                                    bool
	queue                                       []string
	tried                                       map[string]bool
	// address is the target of the current attempt.
	address string
	// maybeSent is true once a process may have received the call without refusing it, so
	// that the command may take effect.
	maybeSent bool
	lastErr   error
}

// Step handles an event of a call and returns the next action of that call.
func (c *Core) Step(now time.Time, event Event) Action {
	var action Action
	switch e := event.(type) {
	case CallStarted:
		s := c.newSearch(now, e.Deadline)
		c.calls[e.Call] = s
		action = c.beginRound(now, s)
	case AttemptDone:
		action = c.attemptDone(now, c.calls[e.Call], e)
	case PauseDone:
		action = c.beginRound(now, c.calls[e.Call])
	}
	if _, done := action.(CallDone); done {
		delete(c.calls, event.call())
	}
	return action
}

// newSearch starts a search and sets its deadlines.
//
// roundDeadline bounds every attempt. Without it, a last round during which other calls
// learn of one leader after another would grant each of them the leader's timeout, and a
// claim could take 6 s and more.
func (c *Core) newSearch(now, callDeadline time.Time) *search {
	s := &search{searchDeadline: now.Add(searchTimeout), callDeadline: callDeadline, oneRound: c.recentlyLost(now)}
	s.roundDeadline = s.searchDeadline.Add(roundDelay + roundTimeout)
	if s.oneRound {
		s.roundDeadline = now.Add(roundTimeout)
	}
	return s
}

// beginRound starts a round that tries each process once, and each leader that they name.
func (c *Core) beginRound(now time.Time, s *search) Action {
	s.queue, s.tried = c.addressesByPriority(), make(map[string]bool)
	return c.next(now, s)
}

// next tries the first process in the queue that was not tried in this round and is not
// skipped because of its health.
func (c *Core) next(now time.Time, s *search) Action {
	for len(s.queue) > 0 && now.Before(s.roundDeadline) {
		address := s.queue[0]
		s.queue = s.queue[1:]
		if s.tried[address] {
			continue
		}
		s.tried[address] = true
		if !c.health.allow(now, address) {
			s.recordError(errSkipped)
			continue
		}
		s.address = address
		return Attempt{Address: address, Timeout: min(c.timeout(address), s.roundDeadline.Sub(now))}
	}
	return c.endRound(now, s)
}

// endRound schedules another round, or fails the call if its time is used up. It records
// the failure, so that calls started shortly after try one round only: in a disconnected
// data centre every claim and statement would otherwise take the full search time.
func (c *Core) endRound(now time.Time, s *search) Action {
	if !s.oneRound && !now.After(s.searchDeadline) && !s.deadlineNear(now) {
		return Pause{For: roundDelay}
	}
	c.lostAt = now
	return CallDone{Err: s.finalError()}
}

func (c *Core) attemptDone(now time.Time, s *search, e AttemptDone) Action {
	c.health.recordResult(now, s.address, e.Err, e.ContextDone)
	if e.Err == nil {
		c.leaderFound(s.address, e)
		return CallDone{}
	}
	if isFinal(e.Err) {
		return CallDone{Err: e.Err}
	}
	s.recordError(e.Err)
	if hint := fault.LeaderOf(e.Err); hint != "" {
		c.leader = hint
		s.queue = append([]string{hint}, s.queue...)
	}
	if e.ContextDone {
		return c.endRound(now, s)
	}
	return c.next(now, s)
}

// leaderFound records the leader after a successful attempt, unless the answer did not
// require a quorum. A disconnected process answers claims on ended keys from its own state.
// If it were taken for the leader, the following claims would take the full search time.
func (c *Core) leaderFound(address string, e AttemptDone) {
	if !e.FromAnyReplica {
		c.leader, c.lostAt = address, time.Time{}
	}
}

func (c *Core) recentlyLost(now time.Time) bool {
	return !c.lostAt.IsZero() && now.Sub(c.lostAt) < noLeaderPeriod
}

// addressesByPriority returns the presumed leader, then the state processes of the same data
// centre, then the others.
func (c *Core) addressesByPriority() []string {
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

// deadlineNear reports whether too little time remains for another round.
func (s *search) deadlineNear(now time.Time) bool {
	return !s.callDeadline.IsZero() && s.callDeadline.Sub(now) < roundDelay+minTimeLeft
}

// errSkipped is the error of a call that was not sent because its target is skipped.
var errSkipped = fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE,
	"state process did not answer recently and is skipped temporarily", fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))

// isFinal reports whether err was returned by the state machine rather than caused by the
// search for the leader or the transport, so that the call must not be retried.
func isFinal(err error) bool {
	switch fault.KindOf(err) {
	case lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER, lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM,
		lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, lilacv1.ErrorKind_ERROR_KIND_TIMEOUT,
		lilacv1.ErrorKind_ERROR_KIND_INTERNAL, lilacv1.ErrorKind_ERROR_KIND_DRAINING,
		lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN:
		return false
	}
	return true
}

func (s *search) recordError(err error) {
	s.lastErr = err
	refused := errors.Is(err, link.ErrNotSent) || fault.NotRunOf(err) == lilacv1.NotRun_NOT_RUN_TRUE
	s.maybeSent = s.maybeSent || !refused
}

func (s *search) finalError() error {
	notRun := lilacv1.NotRun_NOT_RUN_TRUE
	text := "no leader with a quorum is reachable, nothing was changed; try again, or check the status of the state processes"
	if s.maybeSent {
		notRun = lilacv1.NotRun_NOT_RUN_UNKNOWN
		text = "no answer from the state processes, the command may still take effect; send it again with the same id"
	}
	if s.lastErr != nil {
		text = fmt.Sprintf("%s (last error: %v)", text, s.lastErr)
	}
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM, text, fault.WithNotRun(notRun), fault.WithRetryAfter(retryAfter))
}
