package replica

import (
	"testing"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// A process comes back from a long cut and gets the log anew, part by part. The
// entries that follow it must not take its old state for the newest: the contact
// counts from the leader's word only once all of that word is applied.
func TestFreshnessAdvancesOnlyOnceAllIsApplied(t *testing.T) {
	s := newTestCore(t)
	stamp := uint64(0)
	word := func(index uint64, commit uint64, entries ...uint64) {
		m := &message{Kind: kindAppend, From: "b", FromAddress: "b", To: "a", Group: "g", Term: 2, Index: index, LogTerm: min(index, 2), Commit: commit, Stamp: stamp}
		stamp = s.core.stampBase + uint64(s.now-s.core.stampEpoch)
		for _, i := range entries {
			m.Entries = append(m.Entries, &lilacv1.RaftEntry{Index: i, Term: 2, Kind: lilacv1.RaftEntryKind_RAFT_ENTRY_KIND_COMMAND})
		}
		s.step(Received{Message: m})
	}
	word(1, 1) // The answer to this one bears the first stamp.
	begun := s.now
	s.now = begun + time.Second
	word(1, 3, 2)
	s.is.True(s.core.freshAt() < 0) // One entry of two is still missing.
	s.now = begun + 2*time.Second
	word(2, 3, 3)
	s.is.Equal(s.core.freshAt(), begun) // The first word is done now.
	s.now = begun + 3*time.Second
	word(3, 3)
	s.is.Equal(s.core.freshAt(), begun+2*time.Second)
}

// Guards against a process that wakes from a suspension, or whose cut heals, and
// takes the leader's words of before for fresh: the entries that follow it would
// go by keys and routes that are long gone.
func TestDelayedLeaderMessagesAreDatedByEchoedStamp(t *testing.T) {
	s := newTestCore(t)
	word := func(stamp uint64) {
		s.step(Received{Message: &message{Kind: kindAppend, From: "b", FromAddress: "b", To: "a", Group: "g", Term: 2, Index: 1, LogTerm: 1, Commit: 1, Stamp: stamp}})
	}
	word(0)
	before := s.core.stamp()
	begun := s.now
	s.now += 10 * time.Second
	word(before)
	s.is.Equal(s.core.freshAt(), begun)
	word(before + uint64(time.Minute)) // Of another start of the process.
	word(1)
	s.is.Equal(s.core.freshAt(), begun)
}
