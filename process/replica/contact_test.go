package replica

import (
	"testing"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// A process comes back from a long cut and gets the log anew, part by part. The
// entries that follow it must not take its old state for the newest: the contact
// counts from the leader's word only once all of that word is applied.
func TestContactCountsOnceAllIsApplied(t *testing.T) {
	s := newScript(t)
	word := func(index uint64, commit uint64, entries ...uint64) {
		m := &message{Kind: kindAppend, From: "b", FromAddress: "b", To: "a", Group: "g", Term: 2, Index: index, LogTerm: min(index, 2), Commit: commit}
		for _, i := range entries {
			m.Entries = append(m.Entries, &lilacv1.RaftEntry{Index: i, Term: 2, Kind: lilacv1.RaftEntryKind_RAFT_ENTRY_KIND_COMMAND})
		}
		s.step(Received{Message: m})
	}
	s.now = time.Second
	word(1, 3, 2)
	s.is.True(s.core.contactAt() < 0) // One entry of two is still missing.
	s.now = 2 * time.Second
	word(2, 3, 3)
	s.is.Equal(s.core.contactAt(), time.Second) // The first word is done now.
	s.now = 3 * time.Second
	word(3, 3)
	s.is.Equal(s.core.contactAt(), 3*time.Second)
}
