package replica

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// forgottenElections is the silence, in election timeouts, after which a
// learner asks to be taken in again.
const rejoinElectionTimeouts = 4

// joining is the state of a process that belongs to no group.
type joinState struct {
	nextHelloAt time.Duration
	// round numbers the asking since this process was bound to a group, so that
	// older answers are told; 0 until it is forgotten.
	round uint64
	// empty is when each peer, by name, last said that it holds no log of the
	// group that this process is bound to.
	emptyPeers map[string]time.Duration
	// founders are the answers of peers without a group, by name.
	founders map[string]founder
}

type founder struct {
	member  *lilacv1.RaftMember
	heardAt time.Duration
}

// founderNames are the sorted names of the group that the settings found; none
// without Bootstrap.
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

// seekGroup asks all peers what they belong to.
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

// forgotten tells whether this process belongs to a group of which no leader
// has sent it anything for long, although it is no voter: the entry that took
// it in was lost with the leader that wrote it.
func (c *Core) shouldRejoin() bool {
	silent := c.now - max(c.leaderHeardAt, c.groupBoundAt)
	if c.isVoter(c.cfg.ID) {
		return c.mayHaveBeenRemoved(silent)
	}
	return c.role == Follower && silent > rejoinElectionTimeouts*c.cfg.Election
}

// takenOut tells whether this voter may have been taken out while it was lost:
// its own log can't say so, and nobody sends it anything any more.
func (c *Core) mayHaveBeenRemoved(silent time.Duration) bool {
	return c.cfg.AutoMembers && (c.role == Follower || c.role == PreCandidate) && silent > rejoinElectionTimeouts*c.cfg.Election
}

// seekAgain asks to be taken in once more.
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

// askMembers asks those that the own log names: the settings may be older.
func (c *Core) sendHelloToMembers() {
	for _, member := range c.members.latest().GetMembers() {
		if member.GetId() != c.cfg.ID {
			c.sendHello(member.GetAddress())
		}
	}
}

// noteAnswer remembers which peers hold no log of the own group. An answer from before this
// process was bound to its group, which comes late, proves nothing.
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

// orphaned tells whether the group died before anything was accepted: neither
// this process nor any of its peers, who all answered just now, holds its log.
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

// renounce gives up the own identity and takes a fresh one without a group.
//
// It guards against a founder that loses its disk right after the founding: the
// others are bound to a group that nobody can lead, and would wait for ever. It
// is as safe as the loss of an empty disk: this identity has synced no entry
// for anyone, and its one vote is never given again, since it is never used again.
func (c *Core) resetIdentity() {
	c.cfg.ID, c.cfg.SpareID = c.cfg.SpareID, ""
	c.group, c.term, c.vote, c.hardDirty = "", 0, "", true
	c.lineage = lineage{}
	c.join = joinState{}
	c.setRole(Waiting, "", "")
}

// hello tells a process without a group what this one belongs to.
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
	// There is a group already: a process that still says it may found one has
	// lost its disk.
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

// found founds the group, if this process bears the first name and all others
// have answered just now that they belong to none.
//
// It guards against a voter that lost its disk while its settings still say
// bootstrap: it would found a second group under the names of the first, and
// with another such process overrule what was committed. It holds because any
// process that has a group says so, and one that does not answer stops the
// founding. If a founder loses its disk at once, its second group and the first
// one can't both have a quorum: each of the others binds its identity to one
// group for ever.
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
	if !c.check(c.group == "", "group_set_once", "a process with a group was to found another") {
		return
	}
	c.group, c.hardDirty = c.cfg.NewGroupID, true
	c.setTerm(1, "")
	c.install(&lilacv1.RaftSnapshotMeta{Index: 1, Term: 1, Members: members}, nil)
	c.join = joinState{}
	c.setRole(Follower, "", "")
	c.resetElectionTimer()
}
