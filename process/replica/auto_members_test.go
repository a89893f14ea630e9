package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// autoScript is newScript with members that come and go by themselves.
func newAutoMembersCore(t *testing.T) *testCore {
	s := newTestCore(t)
	s.core.cfg.AutoMembers = true
	s.core.resetElectionTimer()
	s.now = testElection
	s.becomeLeader()
	return s
}

// alive lets time pass while these members answer the leader's heartbeats.
func (s *testCore) runWithReplies(d time.Duration, ids ...string) {
	for end := s.now + d; s.now < end; {
		s.now += testHeartbeat / 2
		s.step(Tick{})
		for _, id := range ids {
			s.receive(&lilacv1.RaftMessage{Kind: kindAppendReply, From: id, Term: s.core.term, Index: s.core.log.last()})
		}
	}
}

func (s *testCore) requestJoin(id string) {
	s.receive(&lilacv1.RaftMessage{Kind: kindJoin, From: id, Member: &lilacv1.RaftMember{Id: id, Name: "name-" + id, Address: id}})
}

func (s *testCore) voterIDs() []string { return voters(s.core.members.latest()) }

// Machines are replaced one after the other, each newcomer at another address.
// The gone ones must not hold the majority in the end.
func TestLearnersReplaceLostVoters(t *testing.T) {
	s := newAutoMembersCore(t)
	s.runWithReplies(testElection, "b", "c")
	s.requestJoin("d")
	s.runWithReplies(testElection, "b", "c", "d")
	s.is.Equal(s.voterIDs(), []string{"a", "b", "c", "d"})
	s.runWithReplies(2*lostVoterElectionTimeouts*testElection, "b", "d") // c is gone
	s.is.Equal(s.voterIDs(), []string{"a", "b", "d"})
	s.requestJoin("e")
	s.runWithReplies(testElection, "b", "d", "e")
	s.runWithReplies(2*lostVoterElectionTimeouts*testElection, "d", "e") // b is gone
	s.is.Equal(s.voterIDs(), []string{"a", "d", "e"})
	s.is.Equal(s.core.InvariantsViolated, uint64(0))
}

// One of three is lost and nobody stands in its place. Taking it out would make
// the next loss stop the group.
func TestThirdVoterIsKeptWithoutReplacement(t *testing.T) {
	s := newAutoMembersCore(t)
	s.runWithReplies(4*lostVoterElectionTimeouts*testElection, "b")
	s.is.Equal(s.voterIDs(), []string{"a", "b", "c"})
}

// A newcomer that has not caught up counts for nothing: a quorum with it could
// lack what was committed.
func TestLearnerIsPromotedOnlyOnceCaughtUp(t *testing.T) {
	s := newAutoMembersCore(t)
	s.runWithReplies(testElection, "b", "c")
	s.requestJoin("d")
	s.runWithReplies(2*testElection, "b", "c")
	s.is.Equal(s.voterIDs(), []string{"a", "b", "c"})
}

// Three voters start in the same moment, one way between them takes 60 ms. If two
// campaign within that time the votes split. Each must have its turn.
func TestVotersStartedTogetherCampaignInPriorityOrder(t *testing.T) {
	const way = 60 * time.Millisecond
	latestBefore := -way
	for _, id := range []string{"a", "b", "c"} {
		earliest, latest := firstCampaignWindow(id)
		if earliest < latestBefore+way {
			t.Fatalf("%s may campaign after %v, the one before it after %v", id, earliest, latestBefore)
		}
		latestBefore = latest
	}
}

// Power comes back everywhere. The voters start some tenths of a second apart, so
// their turns overlap, and the first questions of three of them arrive together once
// the connections stand. All three won their pre-votes, each voted for itself, and
// there was no leader for another 0.7 s: callers that came back then were refused
// a second time.
func TestPreCandidateYieldsToHigherPriority(t *testing.T) {
	is := is.New(t)
	for _, asker := range []struct {
		id   string
		role Role
	}{{"a", Follower}, {"c", PreCandidate}} {
		restored := Restored{
			Hard:     &lilacv1.RaftHardState{Id: "b", Group: "g", Term: 1},
			Snapshot: &lilacv1.RaftSnapshotMeta{Index: 1, Term: 1, Members: testMembers("a", "b", "c")},
		}
		config := Config{Name: "name-b", Address: "b", Heartbeat: testHeartbeat, Election: testElection, Seed: 1, AutoMembers: true}
		s := &testCore{is: is, core: NewCore(config, restored, 0)}
		for s.core.role != PreCandidate {
			s.advance(testHeartbeat)
		}
		s.receive(&message{Kind: kindPreVote, From: asker.id, FromAddress: asker.id, Term: 2, Index: 1, LogTerm: 1})
		is.Equal(s.core.role, asker.role)
		var granted bool
		for _, action := range s.out {
			if send, ok := action.(Send); ok && send.Message.GetKind() == kindPreVoteReply {
				granted = !send.Message.GetReject()
			}
		}
		is.Equal(granted, asker.role == Follower)
	}
}

// campaigns returns when a voter that starts now may campaign first.
func firstCampaignWindow(id string) (earliest, latest time.Duration) {
	restored := Restored{
		Hard:     &lilacv1.RaftHardState{Id: id, Group: "g", Term: 1},
		Snapshot: &lilacv1.RaftSnapshotMeta{Index: 1, Term: 1, Members: testMembers("a", "b", "c")},
	}
	earliest = time.Hour
	for seed := range uint64(50) {
		config := Config{Name: "name-" + id, Address: id, Heartbeat: testHeartbeat, Election: testElection, Seed: seed, AutoMembers: true}
		at := NewCore(config, restored, 0).electionAt
		earliest, latest = min(earliest, at), max(latest, at)
	}
	return earliest, latest
}

// A voter was taken out while it was lost. Its own log still names it a voter, so
// nobody tells it anything: it must ask to be taken in again.
func TestRemovedVoterAsksToRejoin(t *testing.T) {
	s := newTestCore(t)
	s.core.cfg.AutoMembers = true
	s.core.cfg.Peers = []Peer{{Name: "name-b", Address: "b"}}
	s.advance(2 * rejoinElectionTimeouts * testElection)
	asked := make(map[string]bool)
	for _, action := range s.out {
		if send, ok := action.(Send); ok && send.Message.GetKind() == kindHello {
			asked[send.Address] = true
		}
	}
	s.is.True(asked["b"] && asked["c"])
	s.receive(&lilacv1.RaftMessage{Kind: kindHelloReply, From: "b", Member: &lilacv1.RaftMember{Id: "b", Name: "name-b"}, Leader: "b", Index: 9})
	joins := 0
	for _, action := range s.out {
		if send, ok := action.(Send); ok && send.Message.GetKind() == kindJoin {
			joins++
		}
	}
	s.is.Equal(joins, 1)
}

// A pre-candidate's first questions come to voters that are still starting. Without
// others it would wait a whole election for the next ones.
func TestPreCandidateRetriesPreVote(t *testing.T) {
	is := is.New(t)
	restored := Restored{
		Hard:     &lilacv1.RaftHardState{Id: "a", Group: "g", Term: 1},
		Snapshot: &lilacv1.RaftSnapshotMeta{Index: 1, Term: 1, Members: testMembers("a", "b", "c")},
	}
	config := Config{Name: "name-a", Address: "a", Heartbeat: testHeartbeat, Election: testElection, Seed: 1, AutoMembers: true}
	s := &testCore{is: is, core: NewCore(config, restored, 0)}
	for s.core.role != PreCandidate {
		s.advance(testHeartbeat)
	}
	asked := 0
	for range 4 {
		s.out = nil
		s.advance(testHeartbeat)
		for _, action := range s.out {
			if send, ok := action.(Send); ok && send.Message.GetKind() == kindPreVote && send.Message.GetTo() == "b" {
				asked++
			}
		}
	}
	is.True(asked >= 3)
}
