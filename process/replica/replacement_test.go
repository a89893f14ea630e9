package replica

import (
	"slices"
	"testing"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// joinAs sends a join request of a process with member c's name under identity id.
func (s *testCore) joinAs(id, address string) {
	s.receive(&message{Kind: kindJoin, From: id, Member: &lilacv1.RaftMember{Id: id, Name: "name-c", Address: address}})
}

func (s *testCore) hasMember(id string) bool {
	return slices.ContainsFunc(s.core.Members(), func(m *lilacv1.RaftMember) bool { return m.GetId() == id })
}

// Guards against a second loss of a disk that finds the first one not yet replaced: a process that
// is back at its address replaces its lost identity without waiting for an election timeout.
func TestLostDiskIsReplacedWithinHeartbeats(t *testing.T) {
	s := newAutoMembersCore(t)
	s.runWithReplies(testElection, "b", "c")
	s.runWithReplies((goneHeartbeats+1)*testHeartbeat, "b")
	s.joinAs("d", "c")
	s.runWithReplies(4*testHeartbeat, "b", "d")
	s.is.Equal(s.voterIDs(), []string{"a", "b", "d"})
	s.is.Equal(s.core.InvariantsViolated, uint64(0))
}

// Guards against the removal of a member that runs, for a second process of its name: at another
// address, or by a request that was late.
func TestRunningMemberIsNotReplaced(t *testing.T) {
	s := newAutoMembersCore(t)
	s.runWithReplies(testElection, "b", "c")
	s.joinAs("d", "c")
	s.runWithReplies(testHeartbeat, "b", "c", "d")
	s.is.True(!s.hasMember("d"))
	s.runWithReplies((goneHeartbeats+1)*testHeartbeat, "b")
	s.joinAs("d", "another")
	s.runWithReplies(testHeartbeat, "b")
	s.is.True(!s.hasMember("d"))
	s.joinAs("d", "c")
	s.runWithReplies(testHeartbeat, "b")
	s.is.True(s.hasMember("d"))
	// The member answers again before the other process has caught up.
	s.runWithReplies(testElection, "b", "c")
	s.is.Equal(s.voterIDs(), []string{"a", "b", "c"})
}
