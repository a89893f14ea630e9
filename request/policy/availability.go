package policy

import "time"

const (
	// minOverloadBackoff is the least time for which a server that refused a request for load
	// gets no new ones.
	minOverloadBackoff = 100 * time.Millisecond
	// initialEjection is how long a failed server gets no new requests; the time doubles with
	// each failure up to maxEjection.
	initialEjection = time.Second
	maxEjection     = 8 * time.Second
)

// Availability is how an instance uses a server.
type Availability string

// The states of a server.
const (
	// Available servers get requests as usual.
	Available Availability = "available"
	// Probed servers get one request at a time until one is answered.
	Probed Availability = "probed"
	// Paused servers get no requests.
	Paused Availability = "paused"
)

// AvailabilityReason is why this instance stops or resumes sending requests to a server.
type AvailabilityReason string

// The reasons for a change of availability.
const (
	// CrashObserved: a connection of this instance to the server was refused or reset.
	CrashObserved AvailabilityReason = "crash"
	// NoResponse: requests of this instance got no answer.
	NoResponse AvailabilityReason = "no response"
	// CrashReported: another instance reported a crash.
	CrashReported AvailabilityReason = "crash reported"
	// LeavingReported: another instance reported that the server is leaving.
	LeavingReported AvailabilityReason = "leaving reported"
	// DataCenterSilent: no instance of the server's data centre is heard from; DataCenterHeard:
	// one is again.
	DataCenterSilent AvailabilityReason = "data centre silent"
	DataCenterHeard  AvailabilityReason = "data centre heard"
	// AnswersStopped: all answers from the server's data centre stopped at once.
	AnswersStopped AvailabilityReason = "answers stopped"
	// Answered: the server answered a request of this instance.
	Answered AvailabilityReason = "answer"
)

// AvailabilityChanged reports that this instance changed how it uses a server, for another
// reason than a revision.
type AvailabilityChanged struct {
	Server string
	State  Availability
	Reason AvailabilityReason
	// Reporter is the instance whose report is the reason; empty for an own observation.
	Reporter string
	// LastResponseAge is the time since the server's last response to this instance;
	// negative for none.
	LastResponseAge time.Duration
	// For is the length of the pause; 0 if it is not known, or unless the state is Paused.
	For time.Duration
}

func (AvailabilityChanged) action() {}

// eject stops new requests to the server after a failure, for longer with each failure in a row.
// A server that is ejected already stays so for as long as before.
func (c *core) eject(now time.Time, s *server, reason AvailabilityReason) {
	if now.Before(s.ejectedUntil) {
		return
	}
	s.ejectedFor = reason
	s.ejectFor = min(max(2*s.ejectFor, initialEjection), maxEjection)
	s.ejectedUntil = now.Add(s.ejectFor)
	s.probing = true
	c.emit(AvailabilityChanged{Server: s.name, State: Paused, Reason: reason, LastResponseAge: s.lastResponseAge(now), For: s.ejectFor})
}

// lastResponseAge returns the time since the server's last response to this instance, or
// a negative value if there was none.
func (s *server) lastResponseAge(now time.Time) time.Duration {
	if s.lastResponseAt.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(s.lastResponseAt)
}

func (s *server) closed() bool { return s.configLeaving || s.leaving || s.gone }

func (s *server) unavailable(now time.Time) bool {
	if s.closed() || s.unreachable || now.Before(s.leavingUntil) || now.Before(s.ejectedUntil) || now.Before(s.busyUntil) || now.Before(s.fullUntil) || s.limitReached(now) || s.mayReject() {
		return true
	}
	return s.probing && len(s.running) > 0
}

// endProbing ends probing and resets the ejection time.
func (s *server) endProbing() {
	s.probing = false
	s.ejectFor = 0
}
