package replica

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// memberHistory tracks the membership in force at each index of the log.
type memberHistory struct{ versions []memberVersion }

type memberVersion struct {
	index   uint64
	members *lilacv1.RaftMembers
}

func (l *memberHistory) latest() *lilacv1.RaftMembers {
	if len(l.versions) == 0 {
		return nil
	}
	return l.versions[len(l.versions)-1].members
}

func (l *memberHistory) latestIndex() uint64 {
	if len(l.versions) == 0 {
		return 0
	}
	return l.versions[len(l.versions)-1].index
}

func (l *memberHistory) at(index uint64) *lilacv1.RaftMembers {
	var members *lilacv1.RaftMembers
	for _, h := range l.versions {
		if h.index <= index {
			members = h.members
		}
	}
	return members
}

// add records the membership if entry is a membership entry.
func (l *memberHistory) add(entry *lilacv1.RaftEntry) {
	if entry.GetKind() != lilacv1.RaftEntryKind_RAFT_ENTRY_KIND_MEMBERS {
		return
	}
	members := &lilacv1.RaftMembers{}
	if err := proto.Unmarshal(entry.GetData(), members); err == nil {
		l.versions = append(l.versions, memberVersion{index: entry.GetIndex(), members: members})
	}
}

func (l *memberHistory) truncate(index uint64) {
	l.versions = slices.DeleteFunc(l.versions, func(h memberVersion) bool { return h.index >= index })
}

func (l *memberHistory) reset(index uint64, members *lilacv1.RaftMembers) {
	l.versions = []memberVersion{{index: index, members: members}}
}

// compact drops memberships older than the one in force at index.
func (l *memberHistory) compact(index uint64) {
	for len(l.versions) > 1 && l.versions[1].index <= index {
		l.versions = l.versions[1:]
	}
}

func findMember(members *lilacv1.RaftMembers, id string) *lilacv1.RaftMember {
	for _, member := range members.GetMembers() {
		if member.GetId() == id {
			return member
		}
	}
	return nil
}

// Members returns the members in force: those of the latest membership entry in the
// log, committed or not.
func (c *Core) Members() []*lilacv1.RaftMember { return c.members.latest().GetMembers() }

// canChangeMembers reports whether a membership change may start.
//
// After two concurrent changes, two quorums might not share a voter, and both could
// elect a leader. A change therefore adds or removes at most one voter, and starts only
// after the previous change and an entry of the current term have been committed.
func (c *Core) canChangeMembers() bool {
	return c.role == Leader && !c.diskFull && c.rivalGroup() == "" && c.leaderState.transferee == "" && c.commit >= c.leaderState.firstIndex && c.members.latestIndex() <= c.commit
}

func voters(members *lilacv1.RaftMembers) []string {
	var ids []string
	for _, member := range members.GetMembers() {
		if member.GetVoter() {
			ids = append(ids, member.GetId())
		}
	}
	slices.Sort(ids)
	return ids
}

// appendMembers appends a membership entry. The caller has checked canChangeMembers.
func (c *Core) appendMembers(members *lilacv1.RaftMembers) (uint64, bool) {
	before, after := voters(c.members.latest()), voters(members)
	changed := 0
	for _, id := range before {
		if !slices.Contains(after, id) {
			changed++
		}
	}
	changed += len(after) + changed - len(before)
	if !c.check(changed <= 1 && len(after) > 0, "one_voter_changes_at_a_time", "change affects more than one voter or removes the last one") {
		return 0, false
	}
	index := c.appendEntry(lilacv1.RaftEntryKind_RAFT_ENTRY_KIND_MEMBERS, mustMarshal(members))
	c.updateProgress()
	c.emit(MembersChanged{Members: members.GetMembers()})
	return index, true
}

func mustMarshal(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // Cannot fail for the module's own message types.
	}
	return b
}

func (c *Core) cloneMembers() *lilacv1.RaftMembers {
	return proto.Clone(c.members.latest()).(*lilacv1.RaftMembers)
}

func withoutMember(members *lilacv1.RaftMembers, id string) *lilacv1.RaftMembers {
	members.Members = slices.DeleteFunc(members.Members, func(m *lilacv1.RaftMember) bool { return m.GetId() == id })
	return members
}

// handleJoin adds a process as a learner. If it has the name of a voter but another
// identity, it has lost its disk and will replace that voter.
func (c *Core) handleJoin(m *message) {
	joiner := m.GetMember()
	if !c.canChangeMembers() || findMember(c.members.latest(), joiner.GetId()) != nil {
		return
	}
	members := c.cloneMembers()
	learner := &lilacv1.RaftMember{Id: joiner.GetId(), Name: joiner.GetName(), Address: joiner.GetAddress(), DataCenter: joiner.GetDataCenter()}
	for _, member := range members.GetMembers() {
		if member.GetName() != joiner.GetName() {
			continue
		}
		if member.GetId() == c.cfg.ID || !c.isGone(member, joiner) {
			return // Two processes run under one name; the existing member is kept.
		}
		learner.Replaces = member.GetId()
		if !member.GetVoter() {
			learner.Replaces = member.GetReplaces()
		}
	}
	members.Members = slices.DeleteFunc(members.Members, func(m *lilacv1.RaftMember) bool {
		return !m.GetVoter() && m.GetName() == learner.GetName()
	})
	members.Members = append(members.Members, learner)
	c.appendMembers(members)
}

const (
	// goneElectionTimeouts is the silence, in election timeouts, after which another process may
	// replace a member.
	goneElectionTimeouts = 2
	// goneHeartbeats is the same, in heartbeats, for a process at the member's own address: only
	// one can listen there.
	goneHeartbeats = 2
)

const (
	// replacementElections and replacementHeartbeats are the waits of a replacement.
	replacementElections  = 3
	replacementHeartbeats = goneHeartbeats + 4
)

// ReplacementTime returns the longest time from the start of a process with an empty folder until
// it is a voter again, besides round trips and the transfer of the state: up to two election
// timeouts until there is a leader, half of one for its question to be repeated, half of one for
// connections that went silent; then the silence of the lost member, and a heartbeat each to add
// the process, to find that it has caught up, to remove the lost member and to promote the process.
func ReplacementTime(heartbeat, election time.Duration) time.Duration {
	return replacementElections*election + replacementHeartbeats*heartbeat
}

// isGone reports whether the member has been silent for so long that the successor, a process
// of the same name under another identity, may replace it.
func (c *Core) isGone(member, successor *lilacv1.RaftMember) bool {
	p := c.leaderState.progress[member.GetId()]
	limit := goneElectionTimeouts * c.cfg.Election
	if successor.GetAddress() == member.GetAddress() {
		limit = goneHeartbeats * c.cfg.Heartbeat
	}
	return p == nil || c.now-p.lastHeard > limit
}

// repair advances the replacement of a lost voter by one step: first the lost identity
// is removed, then the learner is promoted once it has caught up.
//
// A second failure right after a repair must not lose data. If the empty process
// counted at once, a quorum could consist of it and a lagging voter, and committed
// entries would be lost. A learner does not count until it has synced the log, and the
// repair is reported only once the promotion is committed and synced by the new voter.
func (c *Core) repair() {
	c.reportRepair()
	if !c.canChangeMembers() {
		return
	}
	if c.cfg.AutoMembers && c.adjustVoters() {
		return
	}
	for _, member := range c.members.latest().GetMembers() {
		if member.GetVoter() || member.GetReplaces() == "" || !c.caughtUp(member.GetId()) {
			continue
		}
		if replaced := findMember(c.members.latest(), member.GetReplaces()); replaced != nil {
			if c.isGone(replaced, member) {
				c.appendMembers(withoutMember(c.cloneMembers(), member.GetReplaces()))
			}
			return
		}
		c.promote(member.GetId())
		return
	}
}

func (c *Core) promote(id string) (uint64, bool) {
	members := c.cloneMembers()
	member := findMember(members, id)
	member.Voter, member.Replaces = true, ""
	index, ok := c.appendMembers(members)
	if ok {
		c.leaderState.repairID, c.leaderState.repairIndex = id, index
	}
	return index, ok
}

func (c *Core) reportRepair() {
	p := c.leaderState.progress[c.leaderState.repairID]
	if p != nil && c.commit >= c.leaderState.repairIndex && p.match >= c.leaderState.repairIndex {
		c.leaderState.repairID = ""
		c.emit(Repaired{Member: p.member})
	}
}

// caughtUp reports whether the member replied recently and has synced all but the last
// promoteLag entries of the log, including the first entry of the current term.
func (c *Core) caughtUp(id string) bool {
	p := c.leaderState.progress[id]
	return p != nil && p.snapshotTransfer == nil && c.now-p.lastHeard <= c.cfg.Election && p.match+promoteLag >= c.log.last() && p.match >= c.leaderState.firstIndex
}

// changeMembers applies one membership change requested by an operator.
func (c *Core) changeMembers(e ChangeMembers) {
	if c.role != Leader {
		c.refuse(e.RequestID)
		return
	}
	if !c.canChangeMembers() {
		c.emit(Refused{RequestID: e.RequestID, Reason: InvalidChange, Detail: "membership can't be changed now: another change or a leadership transfer is in progress, no entry of this term is committed yet, the disk is full, or a rival group is active; retry shortly"})
		return
	}
	index, detail := c.applyMemberChange(e)
	if detail != "" {
		c.emit(Refused{RequestID: e.RequestID, Reason: InvalidChange, Detail: detail})
		return
	}
	c.emit(Accepted{RequestID: e.RequestID, Index: index, Term: c.term})
}

func (c *Core) applyMemberChange(e ChangeMembers) (uint64, string) {
	member := findMember(c.members.latest(), e.Member.GetId())
	switch {
	case e.Kind == AddLearner && member != nil:
		return 0, "the process is already a member"
	case e.Kind == AddLearner:
		members := c.cloneMembers()
		learner := proto.Clone(e.Member).(*lilacv1.RaftMember)
		learner.Voter = false
		members.Members = append(members.Members, learner)
		index, _ := c.appendMembers(members)
		return index, ""
	case member == nil:
		return 0, "no such member; see the status of a state process for the list"
	case e.Kind == Promote && member.GetVoter():
		return 0, "the member is already a voter"
	case e.Kind == Promote && !c.caughtUp(member.GetId()):
		return 0, "the learner has not caught up yet; retry later"
	case e.Kind == Promote:
		index, _ := c.promote(member.GetId())
		return index, ""
	case member.GetId() == c.cfg.ID:
		return 0, "the leader can't remove itself; restart it to transfer leadership, then retry"
	default:
		index, ok := c.appendMembers(withoutMember(c.cloneMembers(), member.GetId()))
		if !ok {
			return 0, "the last voter can't be removed"
		}
		return index, ""
	}
}

// membersCommitted makes a leader step down once its own removal is committed.
func (c *Core) membersCommitted(entry *lilacv1.RaftEntry) {
	if c.role == Leader && entry.GetIndex() == c.members.latestIndex() && !c.isVoter(c.cfg.ID) {
		c.becomeFollower(c.term, "", "")
	}
}
