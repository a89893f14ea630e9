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

// send fills in the sender fields and emits the message.
func (c *Core) send(address string, m *message, afterSync bool) {
	m.From, m.FromAddress, m.Group = c.cfg.ID, c.cfg.Address, c.group
	m.Former = c.lineage.former
	c.emit(Send{Address: address, Message: m, AfterSync: afterSync})
}

// reply answers m once everything emitted so far has been synced.
func (c *Core) reply(m *message, answer *message) {
	answer.To = m.GetFrom()
	if answer.Kind == kindAppendReply || answer.Kind == kindSnapshotReply {
		answer.Stamp = c.stamp()
	}
	c.send(m.GetFromAddress(), answer, true)
}

// receive drops messages for other identities and groups, adopts higher terms, and
// dispatches the rest.
//
// A voter that lost its disk must not answer for its previous identity: it could vote
// twice in one term, or help elect a leader that lacks committed entries. Identities
// are random and stored only on that disk, and messages addressed to another
// identity are dropped.
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
	// A joining process may not have a group yet; only the identity is checked.
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

// bindGroup reports whether the message belongs to this process's group. A process
// without a group is bound to the first one that addresses its identity. The binding
// is synced before any answer and never changes for this identity.
func (c *Core) bindGroup(m *message) bool {
	if c.group == "" && m.GetGroup() != "" {
		switch m.GetKind() {
		case kindPreVote, kindVote, kindAppend, kindSnapshot:
			c.group, c.lineage.former, c.hardDirty = m.GetGroup(), m.GetFormer(), true
			c.groupBoundAt, c.join = c.now, joinState{round: c.join.round}
			if meta := m.GetSnapshot(); m.GetKind() != kindSnapshot && findMember(meta.GetMembers(), c.cfg.ID) != nil {
				c.install(meta, nil)
			}
			c.setRole(Follower, "", "")
			c.resetElectionTimer()
		}
	}
	return m.GetGroup() != "" && m.GetGroup() == c.group
}

// adoptHigherTerm becomes a follower in the message's higher term where appropriate.
// It returns false if the message is to be ignored.
func (c *Core) adoptHigherTerm(m *message) bool {
	switch m.GetKind() {
	case kindPreVote:
		return true // The term is only prospective.
	case kindPreVoteReply:
		if !m.GetReject() {
			return true
		}
	case kindVote:
		// A candidate that cannot reach the leader, or was removed, must not disrupt a
		// leader that the other voters still hear from.
		if c.hasRecentLeader() && !m.GetTransfer() {
			c.IgnoredMessages++
			return false
		}
	}
	c.becomeFollower(m.GetTerm(), "", "")
	return true
}

// hasRecentLeader reports whether this process leads, or heard from a leader within
// the minimum election timeout.
func (c *Core) hasRecentLeader() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != "" && c.now-c.leaderHeardAt < c.cfg.Election
}

// becomeFollower adopts the term, if it is higher, and becomes a follower in it.
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
