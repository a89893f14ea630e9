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

// testCore drives a single Core and simulates its disk.
type testCore struct {
	is   *is.I
	core *Core
	now  time.Duration
	// out holds the actions since the last call of takeActions.
	out []Action
}

func testMembers(ids ...string) *lilacv1.RaftMembers {
	members := &lilacv1.RaftMembers{}
	for _, id := range ids {
		members.Members = append(members.Members, &lilacv1.RaftMember{Id: id, Name: "name-" + id, Address: id, Voter: true})
	}
	return members
}

// newTestCore returns member a of the group a, b, c, whose log has entries of the given
// terms after a snapshot at index 1.
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

// step passes an event to the core and immediately completes any sync it requests.
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

// becomeLeader makes the core the leader with the vote of b.
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

// A voter rejoins over a slow link under load. If a newer snapshot is taken before each
// transfer completes, the transfer starts over and the voter never catches up. Each
// restart must delay the next snapshot further.
func TestTransferRestartsDelayNextSnapshot(t *testing.T) {
	s := newTestCore(t, 1)
	s.is.Equal(s.core.SnapshotDelayFactor(), 1)
	s.becomeLeader()
	lagging := s.core.leaderState.progress["c"]
	lagging.lastHeard = s.now
	s.core.startTransfer(lagging)
	for restarts := range maxDelayDoublings + 2 {
		s.is.Equal(s.core.SnapshotDelayFactor(), transferDelayFactor<<min(restarts, maxDelayDoublings))
		s.core.snapshot = &lilacv1.RaftSnapshotMeta{Index: s.core.snapshot.GetIndex() + 1, Term: 1, Members: s.core.snapshot.GetMembers()}
		s.core.sendChunk(lagging)
	}
	lagging.lastHeard = s.now - testElection - 1
	s.is.Equal(s.core.SnapshotDelayFactor(), 1)
}

// An entry of term 2 is stored on a quorum, but its leader failed before committing it.
// If the leader of term 3 committed it by count and failed too, a process with an entry
// of a later term could still be elected and overwrite it: a change would be applied on
// one process and lost on the others.
func TestOldTermEntryIsCommittedOnlyWithCurrentTermEntry(t *testing.T) {
	s := newTestCore(t, 2)
	s.becomeLeader()
	s.ack("b", 2)
	s.is.Equal(s.core.commit, uint64(1))
	s.ack("b", 3)
	s.is.Equal(s.core.commit, uint64(3))
}

// A read is sent to a leader that does not know yet that it was replaced. The reply must
// wait for a quorum that acknowledges the leader after the read arrived.
func TestReadWaitsForLaterHeartbeatRound(t *testing.T) {
	s := newTestCore(t)
	s.becomeLeader()
	s.ack("b", 2)
	s.step(Read{RequestID: 7})
	s.step(Flush{})
	s.is.Equal(len(takeActions[ReadReady](s)), 0)
	s.receive(&message{Kind: kindAppendReply, From: "b", Term: s.core.term, Index: 2, Round: s.core.leaderState.round - 1})
	s.step(Flush{})
	s.is.Equal(len(takeActions[ReadReady](s)), 0) // A reply to an earlier heartbeat is not sufficient.
	s.ack("c", 2)
	s.is.Equal(takeActions[ReadReady](s), []ReadReady{{RequestID: 7, Index: 2}})
}

// The leader is suspended for 20 s and resumes with a proposal and a read in its queue,
// while another process leads. It must refuse both, as not run, before it does anything
// else.
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

// The leader is partitioned. Within an election timeout plus a tick it must step down, so
// that it refuses what it could not commit.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	s := newTestCore(t)
	s.becomeLeader()
	s.ack("b", 2)
	s.advance(testElection - testHeartbeat)
	s.is.Equal(s.core.role, Leader)
	s.advance(2 * testHeartbeat)
	s.is.Equal(s.core.role, Follower)
}

// A voter returns from a partition and requests votes in a high term while the others
// hear the leader. None of them may adopt the term, or changes would be refused for an
// election.
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
	s.is.True(!takeActions[Send](s)[0].Message.GetReject()) // The leader itself requested the transfer.
}

// A delayed snapshot arrives after later entries were synced and acknowledged here.
// Dropping them for the snapshot would revoke an acknowledgement.
func TestLateSnapshotKeepsTheLog(t *testing.T) {
	s := newTestCore(t, 1, 1, 1)
	meta := &lilacv1.RaftSnapshotMeta{Index: 3, Term: 1, Members: testMembers("a", "b", "c")}
	s.receive(&message{Kind: kindSnapshot, From: "b", Term: 2, Snapshot: meta})
	s.is.Equal(len(takeActions[Install](s)), 0)
	s.is.Equal(s.core.log.last(), uint64(4))
	s.is.Equal(s.core.commit, uint64(3))
}

// A message for the identity that this process had before it lost its disk must not be
// answered: the answer could be a second vote by the same voter.
func TestOldIdentityIsNeverAnswered(t *testing.T) {
	s := newTestCore(t)
	s.core.receive(&message{Kind: kindVote, To: "the old identity", Group: "g", From: "b", FromAddress: "b", Term: 5, Index: 9, LogTerm: 9})
	s.is.Equal(s.core.IgnoredMessages, uint64(1))
	s.is.Equal(len(takeActions[Send](s)), 0)
	s.core.receive(&message{Kind: kindVote, To: "a", Group: "another group", From: "b", FromAddress: "b", Term: 5, Index: 9, LogTerm: 9})
	s.is.Equal(s.core.IgnoredMessages, uint64(2))
	s.is.Equal(s.core.term, uint64(1))
}

// Voter c lost its disk and returns as d. c must be removed before d is promoted, one
// change at a time; d must count only once it has synced the log, and the repair must be
// reported only once d itself has synced its promotion.
func TestReplacementCountsOnlyOnceSynced(t *testing.T) {
	s := newTestCore(t, 1, 1)
	s.becomeLeader()
	s.ack("b", 4)
	join := &message{Kind: kindJoin, From: "d", Member: &lilacv1.RaftMember{Id: "d", Name: "name-c", Address: "d"}}
	s.receive(join)
	s.is.Equal(len(s.core.Members()), 3) // c replied recently.
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

// A candidate lacks an entry that this voter has synced. Voting for it could elect a
// leader that lacks a committed entry.
func TestNoVoteForOutdatedLog(t *testing.T) {
	s := newTestCore(t, 1, 1)
	s.receive(&message{Kind: kindVote, From: "b", Term: 2, Index: 2, LogTerm: 1})
	s.is.True(takeActions[Send](s)[0].Message.GetReject())
	s.receive(&message{Kind: kindVote, From: "c", Term: 2, Index: 3, LogTerm: 1})
	s.is.True(!takeActions[Send](s)[0].Message.GetReject())
}

// Two concurrent membership changes, or one made before a new leader knows everything
// committed before its term, could result in two quorums without a common voter.
func TestOneMembershipChangeAtATime(t *testing.T) {
	s := newTestCore(t)
	s.becomeLeader()
	learner := func(id string) ChangeMembers {
		return ChangeMembers{RequestID: 1, Kind: AddLearner, Member: &lilacv1.RaftMember{Id: id, Name: id, Address: id}}
	}
	s.step(learner("d")) // No entry of the current term is committed yet.
	s.is.Equal(takeActions[Refused](s)[0].Reason, InvalidChange)
	s.ack("b", 2)
	s.step(learner("d"))
	s.is.Equal(len(takeActions[Refused](s)), 0)
	s.step(learner("e")) // The first change is not committed yet.
	s.is.Equal(takeActions[Refused](s)[0].Reason, InvalidChange)
	s.ack("b", 3)
	s.step(learner("e"))
	s.is.Equal(len(takeActions[Refused](s)), 0)
}

// Guards against followers that learn of a commit only with the next heartbeat: an entry
// process that reads revisions from a follower then lags behind each accepted change, and
// 600 changes in sequence took over 90 s. The leader must send a new commit index at once.
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
	commits := make(map[string]uint64)
	for _, sent := range takeActions[Send](s) {
		commits[sent.Message.GetTo()] = sent.Message.GetCommit()
	}
	s.is.Equal(commits, map[string]uint64{"b": s.core.commit, "c": s.core.commit})
}
