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
	// round is echoed in replies. Its numbers differ for each run of the process.
	round uint64
	// answers holds the last reply of each peer to a hello, by name.
	answers map[string]helloAnswer
	// confirmRound is the round that confirms the answers of all founders, 0 if none was begun.
	confirmRound uint64
	// delay is why the group can't be founded or joined yet; see FoundingDelayed.
	delay string
}

// helloAnswer is what a peer replied to a hello.
type helloAnswer struct {
	member    *lilacv1.RaftMember
	group     string
	founders  []string
	discarded []string
	round     uint64
}

// settingsFounders returns the sorted names of the founding members by the settings,
// including this process; nil without Bootstrap.
func (cfg *Config) settingsFounders() []string {
	if !cfg.Bootstrap {
		return nil
	}
	names := []string{cfg.Name}
	for _, peer := range cfg.Peers {
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
	c.sendHellos()
	c.tryFound()
	c.reportDelay()
}

func (c *Core) sendHellos() {
	for _, peer := range c.cfg.Peers {
		c.sendHello(peer.Address)
	}
}

func (c *Core) sendHello(address string) {
	c.send(address, &message{Kind: kindHello, Member: c.self(), Round: c.join.round}, true)
}

// shouldRejoin reports whether this process has not heard from the leader of its group
// for long and should ask its peers: it is no voter, and the entry that added it was lost
// with the leader that wrote it, or it may have been removed, or its group may have died
// while it was founded.
func (c *Core) shouldRejoin() bool {
	silence := c.now - max(c.leaderHeardAt, c.groupBoundAt)
	if c.isFounding() {
		return c.role != Leader && silence > foundingElectionTimeouts*c.cfg.Election
	}
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
	c.join.nextHelloAt = c.now + c.cfg.Election
	c.sendHellos()
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

// handleHello replies with the group that this process belongs to.
func (c *Core) handleHello(m *message) {
	answer := &message{Kind: kindHelloReply, Member: c.self(), Leader: c.leaderAddress, Index: c.log.last(), Round: m.GetRound(), Discarded: c.discarded}
	if c.role == Waiting {
		answer.Founders = c.founders
	}
	c.reply(m, answer)
}

func (c *Core) handleHelloReply(m *message) {
	if m.GetTo() != c.cfg.ID || (c.role != Waiting && !c.shouldRejoin()) {
		return
	}
	c.recordAnswer(m)
	if c.abandonDeadGroup() || c.group != "" && m.GetGroup() != c.group {
		return
	}
	if m.GetGroup() == "" {
		c.tryFound()
		return
	}
	switch m.GetLeader() {
	case "":
	case m.GetFromAddress():
		c.send(m.GetFromAddress(), &message{Kind: kindJoin, To: m.GetFrom(), Member: c.self()}, true)
	default:
		c.sendHello(m.GetLeader())
	}
}

// recordAnswer records a peer's reply to a hello of this run, unless a later one is known. A new
// identity or group of a peer voids a confirmation that was begun.
func (c *Core) recordAnswer(m *message) {
	name := m.GetMember().GetName()
	before := c.join.answers[name]
	if m.GetRound() < max(c.stampBase, before.round) || m.GetRound() > c.join.round {
		return
	}
	if c.join.answers == nil {
		c.join.answers = map[string]helloAnswer{}
	}
	if before.member.GetId() != m.GetMember().GetId() || before.group != m.GetGroup() {
		c.join.confirmRound = 0
	}
	c.join.answers[name] = helloAnswer{member: m.GetMember(), group: m.GetGroup(), founders: m.GetFounders(), discarded: m.GetDiscarded(), round: m.GetRound()}
}
