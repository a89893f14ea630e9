package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Guards against a member that takes its state for current although its leader can't: the replies of
// the quorum are late, and another leader may have been elected since.
func TestMemberIsNoFresherThanItsLeader(t *testing.T) {
	// Five members; the replies of three are late and a fourth one, e, is near.
	restored := Restored{
		Hard:     &lilacv1.RaftHardState{Id: "a", Group: "g", Term: 1},
		Snapshot: &lilacv1.RaftSnapshotMeta{Index: 1, Term: 1, Members: testMembers("a", "b", "c", "d", "e")},
	}
	s := &testCore{is: is.New(t), core: NewCore(Config{Name: "name-a", Address: "a", Heartbeat: testHeartbeat, Election: testElection, Seed: 1}, restored, 0)}
	for s.core.role != PreCandidate {
		s.advance(testHeartbeat)
	}
	for _, from := range []string{"b", "c"} {
		s.receive(&message{Kind: kindPreVoteReply, From: from, Term: s.core.term + 1})
	}
	for _, from := range []string{"b", "c"} {
		s.receive(&message{Kind: kindVoteReply, From: from, Term: s.core.term})
	}
	s.is.Equal(s.core.role, Leader)
	for _, from := range []string{"b", "c", "d", "e"} {
		s.ack(from, s.core.log.last())
	}
	const late = 60
	var rounds []sentRound
	var worst time.Duration
	for range 120 {
		s.advance(testHeartbeat)
		rounds = append(rounds, sentRound{s.core.leaderState.round, s.now})
		answered := rounds[max(0, len(rounds)-1-late)]
		for _, from := range []string{"b", "c", "d"} {
			s.receive(&message{Kind: kindAppendReply, From: from, Term: s.core.term, Index: s.core.log.last(), Round: answered.round})
		}
		// The stamp of e stands for the present.
		s.receive(&message{Kind: kindAppendReply, From: "e", Term: s.core.term, Index: s.core.log.last(), Round: s.core.leaderState.round, Stamp: uint64(s.now)})
		s.step(Flush{})
		s.is.Equal(s.core.role, Leader)
		s.out = nil
		s.advance(testHeartbeat)
		for _, send := range takeActions[Send](s) {
			if m := send.Message; m.GetTo() == "e" && m.GetStamp() != 0 {
				// e takes this moment for that of the commit index; see observeCommit.
				at := time.Duration(m.GetStamp()) - time.Duration(m.GetAgeMs())*time.Millisecond
				worst = max(worst, at-s.core.freshAt())
			}
		}
	}
	s.is.True(worst <= 0)
}
