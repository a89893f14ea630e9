package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	testHeartbeat = 100 * time.Millisecond
	testElection  = time.Second
)

// script drives one core by hand, and takes the place of its disk.
type testCore struct {
	is   *is.I
	core *Core
	now  time.Duration
	// out holds the actions since the last call of take.
	out []Action
}

func testMembers(ids ...string) *lilacv1.RaftMembers {
	members := &lilacv1.RaftMembers{}
	for _, id := range ids {
		members.Members = append(members.Members, &lilacv1.RaftMember{Id: id, Name: "name-" + id, Address: id, Voter: true})
	}
	return members
}

// newScript returns member a of the group a, b, c, with entries of these terms
// after a snapshot at index 1.
func newTestCore(t *testing.T, terms ...uint64) *testCore {
	restored := Restored{
		Hard:     &lilacv1.RaftHardState{Id: "a", Group: "g", Term: 1},
		Snapshot: &lilacv1.RaftSnapshotMeta{Index: 1, Term: 1, Members: testMembers("a", "b", "c")},
	}
	for i, term := range terms {
		restored.Hard.Term = term
		restored.Entries = append(restored.Entries, &lilacv1.RaftEntry{Index: uint64(i + 2), Term: term, Kind: lilacv1.RaftEntryKind_RAFT_ENTRY_KIND_COMMAND})
	}
	config := Config{Name: "name-a", Address: "a", Heartbeat: testHeartbeat, Election: testElection, Seed: 1}
	s := &testCore{is: is.New(t), core: NewCore(config, restored, 0)}
	return s
}

// step gives an event; what is to be synced is synced at once.
func (s *testCore) step(e Event) {
	actions := append([]Action(nil), s.core.Step(s.now, e)...)
	s.out = append(s.out, actions...)
	for _, action := range actions {
		persist, ok := action.(Persist)
		if !ok {
			continue
		}
		synced := Synced{HardTerm: persist.Hard.GetTerm()}
		if n := len(persist.Entries); n > 0 {
			synced.Index, synced.Term = persist.Entries[n-1].GetIndex(), persist.Entries[n-1].GetTerm()
		}
		s.step(synced)
	}
}

func (s *testCore) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += testHeartbeat / 2
		s.step(Tick{})
	}
}

func (s *testCore) receive(m *lilacv1.RaftMessage) {
	m.To, m.Group, m.FromAddress = s.core.cfg.ID, "g", m.GetFrom()
	s.step(Received{Message: m})
}

// lead makes the core the leader by the vote of b.
func (s *testCore) becomeLeader() {
	for s.core.role != PreCandidate {
		s.advance(testHeartbeat)
	}
	s.receive(&message{Kind: kindPreVoteReply, From: "b", Term: s.core.term + 1})
	s.receive(&message{Kind: kindVoteReply, From: "b", Term: s.core.term})
	s.is.Equal(s.core.role, Leader)
	s.out = nil
}

func (s *testCore) ack(from string, index uint64) {
	s.receive(&message{Kind: kindAppendReply, From: from, Term: s.core.term, Index: index, Round: s.core.leaderState.round})
	s.step(Flush{})
}

func takeActions[A Action](s *testCore) []A {
	var found []A
	for _, action := range s.out {
		if a, ok := action.(A); ok {
			found = append(found, a)
		}
	}
	s.out = nil
	return found
}

// A voter comes back after a cut, over a slow link and under load. Each time its
// snapshot is half over, the leader has a newer one and begins again with that:
// the voter never catches up. Each restart must put the next snapshot off longer.
func TestTransferRestartsDelayNextSnapshot(t *testing.T) {
	s := newTestCore(t, 1)
	s.is.Equal(s.core.SnapshotDelayFactor(), 1)
	s.becomeLeader()
	behind := s.core.leaderState.progress["c"]
	behind.lastHeard = s.now
	s.core.startTransfer(behind)
	for restarts := range maxDelayDoublings + 2 {
		s.is.Equal(s.core.SnapshotDelayFactor(), transferDelayFactor<<min(restarts, maxDelayDoublings))
		s.core.snapshot = &lilacv1.RaftSnapshotMeta{Index: s.core.snapshot.GetIndex() + 1, Term: 1, Members: s.core.snapshot.GetMembers()}
		s.core.sendChunk(behind)
	}
	behind.lastHeard = s.now - testElection - 1
	s.is.Equal(s.core.SnapshotDelayFactor(), 1)
}

// An entry of term 2 stands on a quorum, but its leader died before it was
// committed. If the leader of term 3 committed it by count and died too, one
// with an entry of a later term could still be elected and replace it: a
// statement would be applied at one process and lost at the others.
func TestOldTermEntryIsCommittedOnlyWithCurrentTermEntry(t *testing.T) {
	s := newTestCore(t, 2)
	s.becomeLeader()
	s.ack("b", 2)
	s.is.Equal(s.core.commit, uint64(1))
	s.ack("b", 3)
	s.is.Equal(s.core.commit, uint64(3))
}

// An operator reads from a leader that does not know yet that it was replaced.
// The answer must wait for a quorum that still follows it, asked after the read.
func TestReadWaitsForLaterHeartbeatRound(t *testing.T) {
	s := newTestCore(t)
	s.becomeLeader()
	s.ack("b", 2)
	s.step(Read{RequestID: 7})
	s.step(Flush{})
	s.is.Equal(len(takeActions[ReadReady](s)), 0)
	s.receive(&message{Kind: kindAppendReply, From: "b", Term: s.core.term, Index: 2, Round: s.core.leaderState.round - 1})
	s.step(Flush{})
	s.is.Equal(len(takeActions[ReadReady](s)), 0) // An answer to an older heartbeat proves nothing.
	s.ack("c", 2)
	s.is.Equal(takeActions[ReadReady](s), []ReadReady{{RequestID: 7, Index: 2}})
}

// The leader is frozen for 20 s and wakes with a statement and a read in its
// queue, while another one leads. It must refuse both, as not run, before it
// acts on anything else.
func TestSuspendedLeaderRefusesOnResume(t *testing.T) {
	s := newTestCore(t)
	s.becomeLeader()
	s.ack("b", 2)
	s.now += 20 * time.Second
	s.step(Propose{RequestID: 1, Command: []byte("x")})
	s.step(Read{RequestID: 2})
	s.is.Equal(takeActions[Refused](s), []Refused{{RequestID: 1, Reason: NoQuorum}, {RequestID: 2, Reason: NoQuorum}})
	s.is.Equal(s.core.log.last(), uint64(2))
}

// The leader is cut off without a word. Within an election timeout and a tick
// it must refuse what it could not commit.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	s := newTestCore(t)
	s.becomeLeader()
	s.ack("b", 2)
	s.advance(testElection - testHeartbeat)
	s.is.Equal(s.core.role, Leader)
	s.advance(2 * testHeartbeat)
	s.is.Equal(s.core.role, Follower)
}

// A voter was cut off and comes back. It asks for votes in a high term, but the
// others hear the leader: no one may follow it there, or statements would be
// refused for an election.
func TestCandidateIsIgnoredWhileLeaderIsActive(t *testing.T) {
	s := newTestCore(t)
	s.receive(&message{Kind: kindAppend, From: "b", Term: 2, Index: 1, LogTerm: 1})
	s.now += testElection / 2
	takeActions[Send](s)
	s.receive(&message{Kind: kindPreVote, From: "c", Term: 9, Index: 9, LogTerm: 9})
	s.is.True(takeActions[Send](s)[0].Message.GetReject())
	s.receive(&message{Kind: kindVote, From: "c", Term: 9, Index: 9, LogTerm: 9})
	s.is.Equal(len(takeActions[Send](s)), 0)
	s.is.Equal(s.core.term, uint64(2))
	s.receive(&message{Kind: kindVote, From: "c", Term: 9, Index: 9, LogTerm: 9, Transfer: true})
	s.is.True(!takeActions[Send](s)[0].Message.GetReject()) // The leader itself handed over.
}

// A snapshot comes late, after entries past it were synced and counted here.
// To drop them for the snapshot would take back an acknowledgement.
func TestLateSnapshotKeepsTheLog(t *testing.T) {
	s := newTestCore(t, 1, 1, 1)
	meta := &lilacv1.RaftSnapshotMeta{Index: 3, Term: 1, Members: testMembers("a", "b", "c")}
	s.receive(&message{Kind: kindSnapshot, From: "b", Term: 2, Snapshot: meta})
	s.is.Equal(len(takeActions[Install](s)), 0)
	s.is.Equal(s.core.log.last(), uint64(4))
	s.is.Equal(s.core.commit, uint64(3))
}

// A message for the identity that this process had before it lost its disk must
// find nobody: an answer would be a second vote of one voter.
func TestOldIdentityIsNeverAnswered(t *testing.T) {
	s := newTestCore(t)
	s.core.receive(&message{Kind: kindVote, To: "the old identity", Group: "g", From: "b", FromAddress: "b", Term: 5, Index: 9, LogTerm: 9})
	s.is.Equal(s.core.IgnoredMessages, uint64(1))
	s.is.Equal(len(takeActions[Send](s)), 0)
	s.core.receive(&message{Kind: kindVote, To: "a", Group: "another group", From: "b", FromAddress: "b", Term: 5, Index: 9, LogTerm: 9})
	s.is.Equal(s.core.IgnoredMessages, uint64(2))
	s.is.Equal(s.core.term, uint64(1))
}

// Voter c lost its disk and comes back as d. It counts only once it has synced
// the log, c goes before it comes, one at a time, and the repair is reported
// only when d itself has synced its promotion.
func TestReplacementCountsOnlyOnceSynced(t *testing.T) {
	s := newTestCore(t, 1, 1)
	s.becomeLeader()
	s.ack("b", 4)
	join := &message{Kind: kindJoin, From: "d", Member: &lilacv1.RaftMember{Id: "d", Name: "name-c", Address: "d"}}
	s.receive(join)
	s.is.Equal(len(s.core.Members()), 3) // c was heard of a moment ago.
	for range 30 {
		s.now += testHeartbeat
		s.step(Tick{})
		s.ack("b", s.core.log.last())
	}
	s.receive(join)
	s.is.Equal(len(s.core.Members()), 4)
	s.is.Equal(voters(s.core.members.latest()), []string{"a", "b", "c"})
	for range 10 {
		s.now += testHeartbeat
		s.step(Tick{})
		s.ack("b", s.core.log.last())
	}
	s.is.Equal(voters(s.core.members.latest()), []string{"a", "b", "c"}) // d has synced nothing yet.
	for findMember(s.core.members.latest(), "c") != nil || !s.core.isVoter("d") {
		// d is one entry behind each time.
		s.now += testHeartbeat
		s.ack("d", s.core.log.last())
		s.step(Tick{})
		s.ack("b", s.core.log.last())
	}
	s.is.Equal(voters(s.core.members.latest()), []string{"a", "b", "d"})
	s.now += testHeartbeat
	s.step(Tick{})
	s.is.Equal(s.core.commit, s.core.log.last())
	s.is.Equal(len(takeActions[Repaired](s)), 0) // Committed, but d has not synced it.
	s.ack("d", s.core.log.last())
	s.now += testHeartbeat
	s.step(Tick{})
	s.is.Equal(len(takeActions[Repaired](s)), 1)
}

// A candidate lacks an entry that this voter has synced. A vote for it could
// make a leader of one that never saw a committed entry.
func TestNoVoteForOutdatedLog(t *testing.T) {
	s := newTestCore(t, 1, 1)
	s.receive(&message{Kind: kindVote, From: "b", Term: 2, Index: 2, LogTerm: 1})
	s.is.True(takeActions[Send](s)[0].Message.GetReject())
	s.receive(&message{Kind: kindVote, From: "c", Term: 2, Index: 3, LogTerm: 1})
	s.is.True(!takeActions[Send](s)[0].Message.GetReject())
}

// Two changes of members at once, or one before the new leader knows all that
// its forerunners committed, could leave two quorums without a common voter.
func TestOneMembershipChangeAtATime(t *testing.T) {
	s := newTestCore(t)
	s.becomeLeader()
	learner := func(id string) ChangeMembers {
		return ChangeMembers{RequestID: 1, Kind: AddLearner, Member: &lilacv1.RaftMember{Id: id, Name: id, Address: id}}
	}
	s.step(learner("d")) // Nothing of the own term is committed yet.
	s.is.Equal(takeActions[Refused](s)[0].Reason, InvalidChange)
	s.ack("b", 2)
	s.step(learner("d"))
	s.is.Equal(len(takeActions[Refused](s)), 0)
	s.step(learner("e")) // The first one is not committed yet.
	s.is.Equal(takeActions[Refused](s)[0].Reason, InvalidChange)
	s.ack("b", 3)
	s.step(learner("e"))
	s.is.Equal(len(takeActions[Refused](s)), 0)
}

// An operator's change is accepted, and its own entry, which takes revisions from
// a follower, shows the old ones for a heartbeat longer: 600 changes one after
// the other took over 90 s. The leader must tell a commit at once.
func TestCommitIsSentWithoutWaitingForHeartbeat(t *testing.T) {
	s := newTestCore(t)
	s.becomeLeader()
	s.ack("b", s.core.log.last())
	s.ack("c", s.core.log.last())
	s.step(Propose{RequestID: 1, Command: []byte("change")})
	s.step(Flush{})
	s.out = nil
	s.ack("b", s.core.log.last())
	s.is.Equal(s.core.commit, s.core.log.last())
	told := make(map[string]uint64)
	for _, sent := range takeActions[Send](s) {
		told[sent.Message.GetTo()] = sent.Message.GetCommit()
	}
	s.is.Equal(told, map[string]uint64{"b": s.core.commit, "c": s.core.commit})
}
