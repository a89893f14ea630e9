package policy

import "time"

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

// AvailabilityChanged reports that this instance stopped or resumed sending requests to a
// server for another reason than a revision.
type AvailabilityChanged struct {
	Server    string
	Available bool
	Reason    AvailabilityReason
	// Reporter is the instance whose report is the reason; empty for an own observation.
	Reporter string
	// LastResponseAge is the time since the server's last response to this instance;
	// negative for none.
	LastResponseAge time.Duration
	// For is the length of the pause; 0 if the server is available.
	For time.Duration
}

func (AvailabilityChanged) action() {}

// eject stops new requests to the server after a failure.
func (c *core) eject(now time.Time, s *server, reason AvailabilityReason) {
	if s.eject(now) {
		c.emitUnavailable(now, s, reason, "", s.ejectFor)
	}
}

func (c *core) emitUnavailable(now time.Time, s *server, reason AvailabilityReason, reporter string, pause time.Duration) {
	c.emit(AvailabilityChanged{Server: s.name, Reason: reason, Reporter: reporter, LastResponseAge: s.lastResponseAge(now), For: pause})
}

// recordAnswer ends the pause and the probing that followed a failure of the server.
func (c *core) recordAnswer(now time.Time, s *server) {
	if s.probing {
		c.emit(AvailabilityChanged{Server: s.name, Available: true, Reason: Answered, LastResponseAge: s.lastResponseAge(now)})
	}
	s.endProbing()
}

// lastResponseAge returns the time since the server's last response to this instance, or
// a negative value if there was none.
func (s *server) lastResponseAge(now time.Time) time.Duration {
	if s.lastResponseAt.IsZero() {
		return -1
	}
	return now.Sub(s.lastResponseAt)
}
