package replica

import (
	"testing"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// newFounder returns process name-ID of the founders a to c, each at the address of its id.
func newFounder(t *testing.T, id string, bootstrap bool) *testCore {
	config := Config{Name: "name-" + id, Address: id, ID: id, NewGroupID: "group of " + id, Heartbeat: testHeartbeat, Election: testElection, Seed: 1, Bootstrap: bootstrap}
	for _, peer := range []string{"a", "b", "c"} {
		if peer != id {
			config.Peers = append(config.Peers, Peer{Name: "name-" + peer, Address: peer})
		}
	}
	return &testCore{is: is.New(t), core: NewCore(config, Restored{}, 0)}
}

var testFounders = []string{"name-a", "name-b", "name-c"}

// answerHello delivers the reply of process name to a hello of the current round.
func (s *testCore) answerHello(name, id, group string, founders ...string) {
	s.answerRound(s.core.join.round, &message{Member: &lilacv1.RaftMember{Id: id, Name: "name-" + name, Address: name}, Group: group, Founders: founders})
}

func (s *testCore) answerRound(round uint64, m *message) {
	m.Kind, m.Round, m.From, m.FromAddress, m.To = kindHelloReply, round, m.GetMember().GetId(), m.GetMember().GetAddress(), s.core.cfg.ID
	s.step(Received{Message: m})
}

// Guards against a group that is never founded since the founder with the first name has lost its
// disk: the next one founds it, with the process that is back.
func TestNextFounderFoundsWithAProcessThatLostItsDisk(t *testing.T) {
	s := newFounder(t, "b", true)
	s.advance(testHeartbeat)
	s.answerHello("a", "a", "", testFounders...)
	s.answerHello("c", "c", "", testFounders...)
	s.advance(testElection)
	s.is.Equal(s.core.group, "") // a is to found it
	s.answerHello("a", "a2", "")
	s.is.Equal(s.core.group, "") // the answers are confirmed first
	s.answerHello("a", "a2", "")
	s.answerHello("c", "c", "", testFounders...)
	s.is.Equal(s.core.group, "group of b")
	s.is.Equal(s.voterIDs(), []string{"a2", "b", "c"})
}

// Guards against a second group beside one that has committed: an answer from before another
// founder lost its disk says nothing of what that one had stored.
func TestAnswersFromBeforeALossFoundNoGroup(t *testing.T) {
	s := newFounder(t, "b", true)
	s.advance(testHeartbeat)
	first := s.core.join.round
	s.answerHello("c", "c", "", testFounders...)
	s.answerHello("a", "a2", "")
	s.answerHello("a", "a2", "")
	s.answerRound(first, &message{Member: &lilacv1.RaftMember{Id: "c", Name: "name-c", Address: "c"}, Founders: testFounders})
	s.answerRound(s.core.join.round+1, &message{Member: &lilacv1.RaftMember{Id: "c", Name: "name-c", Address: "c"}, Founders: testFounders})
	s.is.Equal(s.core.group, "")
	s.answerHello("c", "c", "group of a")
	s.advance(testElection)
	s.is.Equal(s.core.group, "")
}

// Guards against a group founded by processes that have lost their folders: most of the founders
// must have those of the first start.
func TestMinorityOfFoundersFoundsNoGroup(t *testing.T) {
	s := newFounder(t, "a", true)
	for range 8 {
		s.advance(testElection / 2)
		s.answerHello("b", "b2", "")
		s.answerHello("c", "c2", "")
	}
	s.is.Equal(s.core.group, "")
	delays := takeActions[FoundingDelayed](s)
	s.is.Equal(len(delays), 1)
	s.is.Equal(delays[0].Reason, "only name-a of 3 state processes still have the data folders of the first start; start all of them with empty data folders and bootstrap: true")
}

// Guards against a permission to found that a restart takes away: it belongs to the folder.
func TestRestartKeepsThePermissionToFound(t *testing.T) {
	s := newFounder(t, "a", true)
	s.step(Tick{})
	hard := takeActions[Persist](s)[0].Hard
	s.core.cfg.Bootstrap = false
	s.core = NewCore(s.core.cfg, Restored{Hard: hard}, 0)
	s.advance(testHeartbeat)
	for range 2 {
		s.answerHello("b", "b", "", testFounders...)
		s.answerHello("c", "c", "", testFounders...)
	}
	s.is.Equal(s.core.group, "group of a")
}

// boundToLostFounder returns founder c, bound by a campaign of a, which then lost its disk.
func boundToLostFounder(t *testing.T) *testCore {
	s := newFounder(t, "c", true)
	s.advance(testHeartbeat)
	meta := &lilacv1.RaftSnapshotMeta{Index: foundingIndex, Term: 1, Members: testMembers("a", "b", "c")}
	s.step(Received{Message: &message{Kind: kindPreVote, From: "a", FromAddress: "a", To: "c", Group: "group of a", Term: 2, Index: 1, LogTerm: 1, Snapshot: meta}})
	s.is.Equal(s.core.group, "group of a")
	s.advance((foundingElectionTimeouts + 1) * testElection)
	return s
}

// Guards against a group that is lost with its founder's disk: whoever has heard of it can elect a
// leader, and binds the rest.
func TestGroupOutlivesItsFounder(t *testing.T) {
	s := boundToLostFounder(t)
	s.answerHello("a", "a2", "")
	s.answerHello("b", "b", "")
	s.is.Equal(s.core.group, "group of a")
	asked := false
	for _, send := range takeActions[Send](s) {
		asked = asked || send.Message.GetKind() == kindPreVote && send.Message.GetTo() == "b" && len(send.Message.GetSnapshot().GetMembers().GetMembers()) == 3
	}
	s.is.True(asked)
}

// Guards against a process that is bound to a group without a quorum and never leaves it.
func TestDeadGroupIsLeft(t *testing.T) {
	for name, answer := range map[string]*message{
		"another group": {Member: &lilacv1.RaftMember{Id: "b", Name: "name-b", Address: "b"}, Group: "group of b"},
		"left before":   {Member: &lilacv1.RaftMember{Id: "b2", Name: "name-b", Address: "b"}, Discarded: []string{"b"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := boundToLostFounder(t)
			s.answerRound(s.core.join.round, answer)
			s.is.Equal(s.core.role, Waiting)
			s.is.Equal(s.core.group, "")
			s.is.True(s.core.cfg.ID != "c")
			s.is.Equal(s.core.discarded, []string{"c"})
			s.is.Equal(s.core.log.last(), uint64(0))
			s.is.Equal(s.core.InvariantsViolated, uint64(0))
		})
	}
}

// Guards against leaving a group that may have committed: a lost identity may have stored entries,
// and so has a process that holds one.
func TestGroupThatMayHaveCommittedIsNotLeft(t *testing.T) {
	s := boundToLostFounder(t)
	s.answerHello("a", "a2", "")
	s.answerHello("b", "b2", "")
	s.is.Equal(s.core.group, "group of a")
	s = boundToLostFounder(t)
	s.step(Received{Message: &message{Kind: kindAppend, From: "a", FromAddress: "a", To: "c", Group: "group of a", Term: 2, Index: 1, LogTerm: 1, Entries: []*lilacv1.RaftEntry{{Index: 2, Term: 2}}}})
	s.advance((rejoinElectionTimeouts + 1) * testElection)
	s.answerHello("b", "b", "group of b")
	s.is.Equal(s.core.group, "group of a")
}

// Guards against a refusal that does not say why there is no group.
func TestSilentFounderIsNamed(t *testing.T) {
	s := newFounder(t, "a", true)
	s.advance((foundingElectionTimeouts + 1) * testElection)
	s.is.Equal(takeActions[FoundingDelayed](s), []FoundingDelayed{{"no answer from name-b, name-c; all state processes must run for the first start"}})
	s.answerHello("b", "b", "", testFounders...)
	s.answerHello("c", "c", "", testFounders...)
	s.answerHello("b", "b", "", testFounders...)
	s.advance(testElection) // c has answered before, but does not confirm it
	s.is.Equal(takeActions[FoundingDelayed](s), []FoundingDelayed{{"no answer from name-c; all state processes must run for the first start"}})
}
