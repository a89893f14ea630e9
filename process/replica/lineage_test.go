package replica

import (
	"testing"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/wal"
)

// newRecoveredCore returns the only voter of group h, which was recovered from g.
func newRecoveredCore(t *testing.T) *testCore {
	restored := Restored{
		Hard:     &lilacv1.RaftHardState{Id: "a2", Group: "h", Term: 2, Former: []string{"g"}},
		Snapshot: &lilacv1.RaftSnapshotMeta{Index: 9, Term: 2, Members: testMembers("a2")},
	}
	config := Config{Name: "name-a", Address: "a", Peers: []Peer{{Name: "name-b", Address: "b"}}, Heartbeat: testHeartbeat, Election: testElection, Seed: 1}
	s := &testCore{is: is.New(t), core: NewCore(config, restored, 0)}
	s.advance(3 * testElection)
	s.is.Equal(s.core.role, Leader)
	s.out = nil
	return s
}

func takeMessages(s *testCore, kind kind) []*message {
	var found []*message
	for _, send := range takeActions[Send](s) {
		if send.Message.GetKind() == kind {
			found = append(found, send.Message)
		}
	}
	return found
}

// A data centre that was presumed lost returns with the old disks of two voters, a quorum
// of the old group. Two leaders would exist, and a key could be claimed on both sides. The
// recovered process must reach the old voters before their first candidacy, and they must
// stop permanently.
func TestReturningVoterStopsUsingOldDisk(t *testing.T) {
	recovered := newRecoveredCore(t)
	recovered.advance(testElection)
	hellos := takeMessages(recovered, kindHello)
	recovered.is.True(len(hellos) >= 2) // A voter waits at least one election timeout before it campaigns.

	old := newTestCore(t)
	old.advance(testElection - testHeartbeat)
	old.is.Equal(old.core.role, Follower)
	old.step(Received{Message: hellos[0]})
	persisted := false
	replaced := false
	for _, action := range old.out {
		switch a := action.(type) {
		case Persist:
			persisted = a.Hard.GetReplacedBy() == "h" && a.Hard.GetGroup() == "g"
		case Replaced:
			replaced = a.By == "h"
		}
	}
	old.is.True(persisted && replaced)
	old.out = nil
	old.advance(5 * testElection)
	old.receive(&message{Kind: kindVote, From: "b", Term: 7, Index: 100, LogTerm: 6})
	old.is.Equal(len(old.out), 0)
}

// The returning voter is not a peer in the settings of the recovered process. It must be
// informed of the recovery in reply to what it sends to its old group.
func TestMessageOfAFormerGroupIsAnswered(t *testing.T) {
	s := newRecoveredCore(t)
	s.step(Received{Message: &message{Kind: kindPreVote, From: "z", FromAddress: "z", To: "a", Group: "g", Term: 9}})
	answers := takeMessages(s, kindHello)
	s.is.Equal(len(answers), 1)
	s.is.Equal(answers[0].GetFormer(), []string{"g"})
	s.is.Equal(s.core.role, Leader)
	// An unrelated group is not answered.
	s.step(Received{Message: &message{Kind: kindPreVote, From: "z", FromAddress: "z", To: "a2", Group: "x", Term: 9}})
	s.is.Equal(len(takeMessages(s, kindHello)), 0)
}

// Two survivors of five voters are recovered separately, and each group would assign the
// same revision numbers to different changes. While they hear from each other, neither may
// accept changes; once one of them is gone, the other resumes.
func TestRivalGroupsRefuseChanges(t *testing.T) {
	s := newRecoveredCore(t)
	hello := func(group string, former ...string) {
		s.step(Received{Message: &message{Kind: kindHello, From: "r", FromAddress: "r", Group: group, Former: former, Member: &lilacv1.RaftMember{Name: "name-b"}}})
	}
	propose := func() []Refused {
		s.out = nil
		s.step(Propose{RequestID: 1, Command: []byte("x")})
		return takeActions[Refused](s)
	}
	hello("k", "f")
	s.is.Equal(len(propose()), 0)
	hello("i", "g")
	s.is.Equal(takeActions[RivalGroupDetected](s), []RivalGroupDetected{{Group: "i", Address: "r"}})
	s.is.Equal(propose()[0].Reason, RivalGroup)
	hello("i", "g")
	s.is.Equal(len(takeActions[RivalGroupDetected](s)), 0)
	s.advance((rivalExpiryElectionTimeouts + 1) * testElection)
	s.is.Equal(len(propose()), 0)
}

// A process that joins a recovered group must store the former groups, so that it can
// inform the old voters after the recovered process is gone.
func TestJoiningProcessLearnsTheFormerGroups(t *testing.T) {
	is := is.New(t)
	c := NewCore(Config{Name: "name-b", Address: "b", ID: "b2", Heartbeat: testHeartbeat, Election: testElection, Seed: 1}, Restored{}, 0)
	actions := c.Step(0, Received{Message: &message{Kind: kindAppend, From: "a2", FromAddress: "a", To: "b2", Group: "h", Former: []string{"g"}, Term: 2, Index: 9, LogTerm: 2}})
	for _, action := range actions {
		if p, ok := action.(Persist); ok {
			is.Equal(p.Hard.GetFormer(), []string{"g"})
			return
		}
	}
	t.Fatal("no Persist action: the former groups were not stored")
}

// A process starts on the data folder of a replaced group while the network is down. It
// must refuse to start and say what to do.
func TestReplacedFolderDoesNotStart(t *testing.T) {
	is := is.New(t)
	folder, err := wal.OSFolder(t.TempDir())
	is.NoErr(err)
	store, _, err := wal.Open(folder, wal.Options{})
	is.NoErr(err)
	is.NoErr(store.Save(wal.Batch{Hard: &lilacv1.RaftHardState{Id: "b", Group: "g", Term: 1, ReplacedBy: "h"}}))
	is.NoErr(store.Close())
	_, err = NewRunner(Options{Name: "b", Heartbeat: testHeartbeat, Election: testElection, Folder: folder, Machine: &commandCounter{}, Transport: discardTransport{}})
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_CONFLICT))
}
