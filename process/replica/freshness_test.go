package replica

import (
	"testing"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// A process rejoins after a long partition and receives the log again in several messages.
// The leader's commit index must not count as fresh state until everything up to it is
// applied; otherwise entry processes would take the old state for current.
func TestFreshnessAdvancesOnlyOnceAllIsApplied(t *testing.T) {
	s := newTestCore(t)
	stamp := uint64(0)
	receiveAppend := func(index uint64, commit uint64, entries ...uint64) {
		m := &message{Kind: kindAppend, From: "b", FromAddress: "b", To: "a", Group: "g", Term: 2, Index: index, LogTerm: min(index, 2), Commit: commit, Stamp: stamp}
		stamp = s.core.stampBase + uint64(s.now-s.core.stampEpoch)
		for _, i := range entries {
			m.Entries = append(m.Entries, &lilacv1.RaftEntry{Index: i, Term: 2, Kind: lilacv1.RaftEntryKind_RAFT_ENTRY_KIND_COMMAND})
		}
		s.step(Received{Message: m})
	}
	receiveAppend(1, 1) // The reply carries the first stamp.
	start := s.now
	s.now = start + time.Second
	receiveAppend(1, 3, 2)
	s.is.True(s.core.freshAt() < 0) // One of two entries is still missing.
	s.now = start + 2*time.Second
	receiveAppend(2, 3, 3)
	s.is.Equal(s.core.freshAt(), start) // The first commit index is now applied.
	s.now = start + 3*time.Second
	receiveAppend(3, 3)
	s.is.Equal(s.core.freshAt(), start+2*time.Second)
}

// Guards against a process that resumes from a suspension, or whose partition heals, and
// takes delayed messages from the leader for current: entry processes that follow it
// would use outdated keys and routes.
func TestDelayedLeaderMessagesAreDatedByEchoedStamp(t *testing.T) {
	s := newTestCore(t)
	receiveAppend := func(stamp uint64) {
		s.step(Received{Message: &message{Kind: kindAppend, From: "b", FromAddress: "b", To: "a", Group: "g", Term: 2, Index: 1, LogTerm: 1, Commit: 1, Stamp: stamp}})
	}
	receiveAppend(0)
	before := s.core.stamp()
	start := s.now
	s.now += 10 * time.Second
	receiveAppend(before)
	s.is.Equal(s.core.freshAt(), start)
	receiveAppend(before + uint64(time.Minute)) // Issued by another run of the process.
	receiveAppend(1)
	s.is.Equal(s.core.freshAt(), start)
}

// Guards against a leader that takes replies for current which were sent before another leader was
// elected and are late: entry processes that follow it would use an outdated configuration.
func TestLeaderDatesRepliesByTheRoundTheyAnswer(t *testing.T) {
	s := newTestCore(t)
	s.becomeLeader()
	s.ack("b", s.core.log.last())
	const late = 3
	var rounds []sentRound
	for range 20 {
		s.advance(testHeartbeat)
		rounds = append(rounds, sentRound{s.core.leaderState.round, s.now})
		answered := rounds[max(0, len(rounds)-1-late)]
		s.receive(&message{Kind: kindAppendReply, From: "b", Term: s.core.term, Index: s.core.log.last(), Round: answered.round})
		s.step(Flush{})
		s.is.Equal(s.core.role, Leader)
		s.is.True(s.core.freshAt() <= answered.at)
	}
	s.is.True(s.core.freshAt() >= s.now-(late+2)*testHeartbeat)
}
