package replica

import (
	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

type (
	message = lilacv1.RaftMessage
	kind    = lilacv1.RaftMessageKind
)

const (
	kindPreVote       = lilacv1.RaftMessageKind_RAFT_MESSAGE_KIND_PRE_VOTE
	kindPreVoteReply  = lilacv1.RaftMessageKind_RAFT_MESSAGE_KIND_PRE_VOTE_REPLY
	kindVote          = lilacv1.RaftMessageKind_RAFT_MESSAGE_KIND_VOTE
	kindVoteReply     = lilacv1.RaftMessageKind_RAFT_MESSAGE_KIND_VOTE_REPLY
	kindAppend        = lilacv1.RaftMessageKind_RAFT_MESSAGE_KIND_APPEND
	kindAppendReply   = lilacv1.RaftMessageKind_RAFT_MESSAGE_KIND_APPEND_REPLY
	kindSnapshot      = lilacv1.RaftMessageKind_RAFT_MESSAGE_KIND_SNAPSHOT
	kindSnapshotReply = lilacv1.RaftMessageKind_RAFT_MESSAGE_KIND_SNAPSHOT_REPLY
	kindTimeoutNow    = lilacv1.RaftMessageKind_RAFT_MESSAGE_KIND_TIMEOUT_NOW
	kindHello         = lilacv1.RaftMessageKind_RAFT_MESSAGE_KIND_HELLO
	kindHelloReply    = lilacv1.RaftMessageKind_RAFT_MESSAGE_KIND_HELLO_REPLY
	kindJoin          = lilacv1.RaftMessageKind_RAFT_MESSAGE_KIND_JOIN
)

// send fills in who sends and hands the message over.
func (c *Core) send(address string, m *message, afterSync bool) {
	m.From, m.FromAddress, m.Group = c.cfg.ID, c.cfg.Address, c.group
	m.Former = c.lineage.former
	c.emit(Send{Address: address, Message: m, AfterSync: afterSync})
}

// reply answers m; it goes out after the sync of all that the core holds.
func (c *Core) reply(m *message, answer *message) {
	answer.To = m.GetFrom()
	if answer.Kind == kindAppendReply || answer.Kind == kindSnapshotReply {
		answer.Stamp = c.stamp()
	}
	c.send(m.GetFromAddress(), answer, true)
}

// receive checks for whom the message is, and follows a higher term.
//
// It guards against a voter that lost its disk and answers for the identity it
// had before: it would vote a second time in one term, or let a leader be
// elected that lacks committed entries. It holds because an identity is random,
// lives on that disk alone, and messages for another one are dropped.
func (c *Core) receive(m *message) {
	if c.handleOtherGroup(m) {
		return
	}
	switch m.GetKind() {
	case kindHello:
		c.handleHello(m)
		return
	case kindHelloReply:
		c.handleHelloReply(m)
		return
	}
	// Who asks to join may have no group yet; the identity alone must be right.
	joins := m.GetKind() == kindJoin
	if m.GetTo() != c.cfg.ID || (!joins && !c.bindGroup(m)) {
		c.IgnoredMessages++
		return
	}
	if joins {
		c.handleJoin(m)
		return
	}
	if m.GetTerm() > c.term && !c.adoptHigherTerm(m) {
		return
	}
	switch m.GetKind() {
	case kindPreVote:
		c.handlePreVote(m)
	case kindPreVoteReply:
		c.handlePreVoteReply(m)
	case kindVote:
		c.handleVote(m)
	case kindVoteReply:
		c.handleVoteReply(m)
	case kindAppend:
		c.handleAppend(m)
	case kindAppendReply:
		c.handleAppendReply(m)
	case kindSnapshot:
		c.handleSnapshot(m)
	case kindSnapshotReply:
		c.handleSnapshotReply(m)
	case kindTimeoutNow:
		c.handleTimeoutNow(m)
	}
}

// sameGroup binds a process without a group to the first one that addresses
// its identity; the binding is synced before any answer and never changes.
func (c *Core) bindGroup(m *message) bool {
	if c.group == "" && m.GetGroup() != "" {
		switch m.GetKind() {
		case kindPreVote, kindVote, kindAppend, kindSnapshot:
			c.group, c.lineage.former, c.hardDirty = m.GetGroup(), m.GetFormer(), true
			c.groupBoundAt, c.join = c.now, joinState{}
			c.setRole(Follower, "", "")
			c.resetElectionTimer()
		}
	}
	return m.GetGroup() != "" && m.GetGroup() == c.group
}

// higherTerm follows a higher term; false if the message is to be ignored.
func (c *Core) adoptHigherTerm(m *message) bool {
	switch m.GetKind() {
	case kindPreVote:
		return true // It asks about a term that nobody has taken yet.
	case kindPreVoteReply:
		if !m.GetReject() {
			return true
		}
	case kindVote:
		// A candidate that can't hear the leader, or was taken out, must not
		// unseat a leader that the others hear.
		if c.hasRecentLeader() && !m.GetTransfer() {
			c.IgnoredMessages++
			return false
		}
	}
	c.becomeFollower(m.GetTerm(), "", "")
	return true
}

// hearsLeader tells whether a leader was heard within the shortest election timeout.
func (c *Core) hasRecentLeader() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != "" && c.now-c.leaderHeardAt < c.cfg.Election
}

// follow takes the term and becomes a follower in it.
func (c *Core) becomeFollower(term uint64, leader, address string) {
	wasLeader := c.role == Leader
	if term > c.term {
		c.setTerm(term, "")
	}
	if wasLeader {
		c.stepDown()
	}
	c.votes = nil
	c.setRole(Follower, leader, address)
	if wasLeader || leader == "" {
		c.resetElectionTimer()
	}
}
