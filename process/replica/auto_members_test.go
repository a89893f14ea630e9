package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// newAutoMembersCore is newTestCore with AutoMembers, as the leader.
func newAutoMembersCore(t *testing.T) *testCore {
	s := newTestCore(t)
	s.core.cfg.AutoMembers = true
	s.core.resetElectionTimer()
	s.now = testElection
	s.becomeLeader()
	return s
}

// runWithReplies advances time while the given members reply to heartbeats.
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

// Machines are replaced one after another, each at a new address. The lost ones must not
// end up holding the majority.
func TestLearnersReplaceLostVoters(t *testing.T) {
	s := newAutoMembersCore(t)
	s.runWithReplies(testElection, "b", "c")
	s.requestJoin("d")
	s.runWithReplies(testElection, "b", "c", "d")
	s.is.Equal(s.voterIDs(), []string{"a", "b", "c", "d"})
	s.runWithReplies(2*lostVoterElectionTimeouts*testElection, "b", "d") // c is lost
	s.is.Equal(s.voterIDs(), []string{"a", "b", "d"})
	s.requestJoin("e")
	s.runWithReplies(testElection, "b", "d", "e")
	s.runWithReplies(2*lostVoterElectionTimeouts*testElection, "d", "e") // b is lost
	s.is.Equal(s.voterIDs(), []string{"a", "d", "e"})
	s.is.Equal(s.core.InvariantsViolated, uint64(0))
}

// One of three voters is lost and there is no replacement. If it were removed, the next
// loss would stop the group.
func TestThirdVoterIsKeptWithoutReplacement(t *testing.T) {
	s := newAutoMembersCore(t)
	s.runWithReplies(4*lostVoterElectionTimeouts*testElection, "b")
	s.is.Equal(s.voterIDs(), []string{"a", "b", "c"})
}

// A learner that has not caught up must not be promoted: a quorum that includes it could
// lack committed entries.
func TestLearnerIsPromotedOnlyOnceCaughtUp(t *testing.T) {
	s := newAutoMembersCore(t)
	s.runWithReplies(testElection, "b", "c")
	s.requestJoin("d")
	s.runWithReplies(2*testElection, "b", "c")
	s.is.Equal(s.voterIDs(), []string{"a", "b", "c"})
}

// Three voters start at the same moment, with a one-way network delay of 60 ms. If two of
// them campaign within that delay, the vote is split, so their delays must not overlap.
func TestVotersStartedTogetherCampaignInPriorityOrder(t *testing.T) {
	const networkDelay = 60 * time.Millisecond
	latestBefore := -networkDelay
	for _, id := range []string{"a", "b", "c"} {
		earliest, latest := firstCampaignWindow(id)
		if earliest < latestBefore+networkDelay {
			t.Fatalf("%s may campaign after %v, less than the network delay after the previous voter at %v", id, earliest, latestBefore)
		}
		latestBefore = latest
	}
}

// After a power failure of the whole group, the voters start some tenths of a second
// apart, so their ranked delays overlap, and their first pre-vote requests arrive together
// once the connections are set up. Three pre-candidates then won their pre-votes, each
// voted for itself, and the group had no leader for another 0.7 s, in which returning
// callers were refused again.
func TestPreCandidateYieldsToHigherPriority(t *testing.T) {
	is := is.New(t)
	for _, requester := range []struct {
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
		s.receive(&message{Kind: kindPreVote, From: requester.id, FromAddress: requester.id, Term: 2, Index: 1, LogTerm: 1})
		is.Equal(s.core.role, requester.role)
		var granted bool
		for _, action := range s.out {
			if send, ok := action.(Send); ok && send.Message.GetKind() == kindPreVoteReply {
				granted = !send.Message.GetReject()
			}
		}
		is.Equal(granted, requester.role == Follower)
	}
}

// firstCampaignWindow returns the earliest and latest time at which a voter that starts
// at 0 may campaign.
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

// A voter was removed while it was unreachable. Its own log still names it a voter, and no
// member informs it, so it must ask to rejoin.
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

// The first requests of a pre-candidate reach voters that are still starting. Without
// retries it would wait a whole election timeout for the next ones.
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
