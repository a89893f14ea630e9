package replica

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// rejoinElectionTimeouts is the silence, in election timeouts, after which a process
// asks to be added to its group again.
const rejoinElectionTimeouts = 4

// joinState is the state of a process that is looking for a group, or asks to be added
// to its own again.
type joinState struct {
	nextHelloAt time.Duration
	// round is echoed in replies, so that those to hellos from before this process was
	// bound to its group are recognised. It is 0 until the process first tries to rejoin.
	round uint64
	// emptyPeers records, by peer name, when the peer last replied that it holds no log of
	// this process's group.
	emptyPeers map[string]time.Duration
	// founders holds the replies of peers without a group, by name.
	founders map[string]founder
}

type founder struct {
	member  *lilacv1.RaftMember
	heardAt time.Duration
}

// founderNames returns the sorted names of the founding members, including this process;
// nil without Bootstrap.
func (c *Core) founderNames() []string {
	if !c.cfg.Bootstrap {
		return nil
	}
	names := []string{c.cfg.Name}
	for _, peer := range c.cfg.Peers {
		names = append(names, peer.Name)
	}
	slices.Sort(names)
	return names
}

// discoverGroup asks all peers which group they belong to.
func (c *Core) discoverGroup() {
	if c.now < c.join.nextHelloAt {
		return
	}
	c.join.nextHelloAt = c.now + c.cfg.Election/2
	for _, peer := range c.cfg.Peers {
		c.sendHello(peer.Address)
	}
	c.tryBootstrap()
}

func (c *Core) sendHello(address string) {
	c.send(address, &message{Kind: kindHello, Member: c.self(), Founders: c.founderNames(), Round: c.join.round}, true)
}

// shouldRejoin reports whether this process has not heard from the leader of its group
// for long and should ask to be added again: either it is no voter, and the entry that
// added it was lost with the leader that wrote it, or it may have been removed.
func (c *Core) shouldRejoin() bool {
	silence := c.now - max(c.leaderHeardAt, c.groupBoundAt)
	if c.isVoter(c.cfg.ID) {
		return c.mayHaveBeenRemoved(silence)
	}
	return c.role == Follower && silence > rejoinElectionTimeouts*c.cfg.Election
}

// mayHaveBeenRemoved reports whether this voter may have been removed while it was
// unreachable: its own log does not show it, and no member sends to it any more.
func (c *Core) mayHaveBeenRemoved(silence time.Duration) bool {
	return c.cfg.AutoMembers && (c.role == Follower || c.role == PreCandidate) && silence > rejoinElectionTimeouts*c.cfg.Election
}

// rejoin asks the peers, periodically, to be added to the group again.
func (c *Core) rejoin() {
	if !c.shouldRejoin() || c.now < c.join.nextHelloAt {
		return
	}
	if c.orphaned() {
		c.resetIdentity()
		return
	}
	c.join.nextHelloAt = c.now + c.cfg.Election
	if c.join.round == 0 {
		c.join.round, c.join.emptyPeers = 1, nil
	}
	for _, peer := range c.cfg.Peers {
		c.sendHello(peer.Address)
	}
	if c.isVoter(c.cfg.ID) {
		c.sendHelloToMembers()
	}
}

// sendHelloToMembers asks the members known from the local log, since the peers in the
// settings may be outdated.
func (c *Core) sendHelloToMembers() {
	for _, member := range c.members.latest().GetMembers() {
		if member.GetId() != c.cfg.ID {
			c.sendHello(member.GetAddress())
		}
	}
}

// recordHelloReply records whether a peer holds a log of this process's group. Delayed
// replies from before this process was bound to its group are ignored.
func (c *Core) recordHelloReply(m *message) {
	if c.join.round == 0 || m.GetRound() != c.join.round {
		return
	}
	if c.join.emptyPeers == nil {
		c.join.emptyPeers = map[string]time.Duration{}
	}
	delete(c.join.emptyPeers, m.GetMember().GetName())
	if m.GetIndex() == 0 || m.GetGroup() != c.group {
		c.join.emptyPeers[m.GetMember().GetName()] = c.now
	}
}

// orphaned reports whether the group was lost before it committed anything: neither
// this process nor any of its peers, all of which replied recently, holds its log.
func (c *Core) orphaned() bool {
	if c.log.last() != 0 || c.cfg.SpareID == "" || len(c.cfg.Peers) == 0 {
		return false
	}
	for _, peer := range c.cfg.Peers {
		at, ok := c.join.emptyPeers[peer.Name]
		if !ok || c.now-at > 2*c.cfg.Election {
			return false
		}
	}
	return true
}

// resetIdentity discards this process's identity and group, and continues with the spare
// identity.
//
// If a founder loses its disk right after the bootstrap, the others are bound to a group
// that no process can lead and would wait forever. Discarding the identity is as safe as
// losing an empty disk: it has acknowledged no entry, and since it is never used again,
// it cannot vote twice.
func (c *Core) resetIdentity() {
	c.cfg.ID, c.cfg.SpareID = c.cfg.SpareID, ""
	c.group, c.term, c.vote, c.hardDirty = "", 0, "", true
	c.lineage = lineage{}
	c.join = joinState{}
	c.setRole(Waiting, "", "")
}

// handleHello replies with the group that this process belongs to.
func (c *Core) handleHello(m *message) {
	answer := &message{Kind: kindHelloReply, Member: c.self(), Leader: c.leaderAddress, Index: c.log.last(), Round: m.GetRound()}
	if c.role == Waiting {
		answer.Founders = c.founderNames()
	}
	c.reply(m, answer)
}

func (c *Core) handleHelloReply(m *message) {
	if m.GetTo() != c.cfg.ID || (c.role != Waiting && !c.shouldRejoin()) {
		return
	}
	c.recordHelloReply(m)
	if c.group != "" && m.GetGroup() != c.group {
		return
	}
	if m.GetGroup() == "" {
		c.recordFounder(m)
		c.tryBootstrap()
		return
	}
	// A group exists already, so any process that still offers to found one has lost its disk.
	c.join.founders = nil
	switch m.GetLeader() {
	case "":
	case m.GetFromAddress():
		c.send(m.GetFromAddress(), &message{Kind: kindJoin, To: m.GetFrom(), Member: c.self()}, true)
	default:
		c.sendHello(m.GetLeader())
	}
}

func (c *Core) recordFounder(m *message) {
	if c.join.founders == nil {
		c.join.founders = map[string]founder{}
	}
	delete(c.join.founders, m.GetMember().GetName())
	if slices.Equal(m.GetFounders(), c.founderNames()) {
		c.join.founders[m.GetMember().GetName()] = founder{member: m.GetMember(), heardAt: c.now}
	}
}

// tryBootstrap creates the group if this process has the first name of the founders and
// all others have replied within an election timeout that they belong to no group.
//
// A voter that lost its disk while bootstrap is still set must not create a
// second group under the same names: with another such process it could override what
// was committed. Any process with a group reports it, and one that does not reply prevents
// the bootstrap. If a founder loses its disk immediately, its second group and the first
// one cannot both have a quorum, because each of the others binds its identity to one
// group permanently.
func (c *Core) tryBootstrap() {
	names := c.founderNames()
	if len(names) == 0 || names[0] != c.cfg.Name {
		return
	}
	members := &lilacv1.RaftMembers{}
	for _, name := range names {
		if name == c.cfg.Name {
			self := c.self()
			self.Voter = true
			members.Members = append(members.Members, self)
			continue
		}
		f, ok := c.join.founders[name]
		if !ok || c.now-f.heardAt > c.cfg.Election {
			return
		}
		member := f.member
		member.Voter = true
		members.Members = append(members.Members, member)
	}
	if !c.check(c.group == "", "group_set_once", "process already belongs to a group") {
		return
	}
	c.group, c.hardDirty = c.cfg.NewGroupID, true
	c.setTerm(1, "")
	c.install(&lilacv1.RaftSnapshotMeta{Index: 1, Term: 1, Members: members}, nil)
	c.join = joinState{}
	c.setRole(Follower, "", "")
	c.resetElectionTimer()
}
