package policy

import "time"

const (
	// peerSilenceTimeout is how long no instance of a data centre is heard from until
	// the data centre counts as unreachable.
	peerSilenceTimeout = 1300 * time.Millisecond
	// answerSilenceTimeout is the same for running answers, if all those from the data
	// centre stop at once. At least minSilentAnswers must be running: two engines do not
	// stall at the same moment.
	answerSilenceTimeout = 350 * time.Millisecond
	minSilentAnswers     = 2
	// partitionMoveDelay is how long an answer from an unreachable data centre may be
	// silent before it is moved to another server.
	partitionMoveDelay = time.Second
)

// detectPartitions marks the servers of unreachable data centres. A silent network
// partition breaks no connection: all answers stop at once and digests no longer
// arrive. Once it heals, digests arrive again, so no probe request is needed. Servers that
// answer while digests don't arrive show that only the instances there are silent.
func (c *core) detectPartitions(now time.Time) {
	for dataCenter, heard := range c.dataCenterHeard {
		if dataCenter == c.options.DataCenter {
			continue
		}
		reason := DataCenterHeard
		switch {
		case now.Sub(later(heard, c.lastResponseFrom(dataCenter))) > peerSilenceTimeout:
			reason = DataCenterSilent
		case c.answersStopped(now, dataCenter):
			reason = AnswersStopped
		}
		for _, s := range c.ordered {
			if s.dataCenter == dataCenter {
				c.setUnreachable(now, s, reason)
			}
		}
	}
}

// lastResponseFrom returns when a server of the data centre last answered a request of this instance;
// zero for never.
func (c *core) lastResponseFrom(dataCenter string) time.Time {
	var last time.Time
	for _, s := range c.ordered {
		if s.dataCenter == dataCenter {
			last = later(last, s.lastResponseAt)
		}
	}
	return last
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// setUnreachable records whether the server is cut off, and reports a change.
func (c *core) setUnreachable(now time.Time, s *server, reason AvailabilityReason) {
	unreachable := reason != DataCenterHeard
	if unreachable == s.unreachable {
		return
	}
	s.unreachable = unreachable
	state := Available
	if unreachable {
		state = Paused
	}
	c.emit(AvailabilityChanged{Server: s.name, State: state, Reason: reason, LastResponseAge: s.lastResponseAge(now)})
}

// answersStopped reports whether several answers are running in the data centre and
// all of them have stopped.
func (c *core) answersStopped(now time.Time, dataCenter string) bool {
	expected := 0
	for _, s := range c.ordered {
		if s.dataCenter != dataCenter || s.decoding == 0 {
			continue
		}
		expected += s.decoding
		if now.Sub(s.lastTokenAt) < answerSilenceTimeout {
			return false
		}
	}
	return expected >= minSilentAnswers
}
