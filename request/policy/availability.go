package policy

import "time"

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
	// For is the length of the pause; 0 unless the state is Paused.
	For time.Duration
}

func (AvailabilityChanged) action() {}

// eject stops new requests to the server after a failure.
func (c *core) eject(now time.Time, s *server, reason AvailabilityReason) {
	if s.eject(now, reason) {
		c.emit(AvailabilityChanged{Server: s.name, State: Paused, Reason: reason, LastResponseAge: s.lastResponseAge(now), For: s.ejectFor})
	}
}

// lastResponseAge returns the time since the server's last response to this instance, or
// a negative value if there was none.
func (s *server) lastResponseAge(now time.Time) time.Duration {
	if s.lastResponseAt.IsZero() {
		return -1
	}
	return now.Sub(s.lastResponseAt)
}
