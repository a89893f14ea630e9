package replica

import (
	"fmt"
	"slices"
	"strings"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	// foundingElectionTimeouts is the silence, in election timeouts, after which a member of a
	// group without entries asks its peers whether the group can still elect a leader.
	foundingElectionTimeouts = 2
	// foundingIndex is the index of the snapshot that holds the founding members.
	foundingIndex = 1
	// maxDiscarded bounds the former identities that a process remembers.
	maxDiscarded = 16
)

// tryFound founds the group if this process is the one to do so and no founder belongs to a
// group.
//
// Any founder may be killed or lose its disk meanwhile, but there must never be two groups that
// can commit:
//
//   - Of the founders whose folders were created for the first start, the first by name founds
//     the group. They must be a majority, so that none is founded by processes that have lost
//     theirs.
//   - All founders must state that they belong to no group, in a round that begins once all
//     their identities are known. An identity that was lost before the round takes no further
//     part in an earlier group, and those that reply have taken none: at most the lost ones
//     have stored an entry of it, and they are a minority.
//   - An identity never changes its group, so that two groups with the same founders can't both
//     have a quorum.
func (c *Core) tryFound() {
	members, delay := c.foundingMembers()
	if delay != "" {
		return
	}
	if c.join.confirmRound == 0 {
		c.join.round++
		c.join.confirmRound = c.join.round
		c.sendHellos()
	}
	if len(c.unconfirmed()) > 0 || !c.check(c.group == "", "group_set_once", "process already belongs to a group") {
		return
	}
	c.group, c.hardDirty = c.cfg.NewGroupID, true
	c.setTerm(1, "")
	c.install(&lilacv1.RaftSnapshotMeta{Index: foundingIndex, Term: 1, Members: members}, nil)
	c.groupBoundAt, c.join = c.now, joinState{round: c.join.round}
	c.setRole(Follower, "", "")
	// The others learn of the group by the first campaign.
	c.electionAt = c.now
}

// foundingMembers returns the members of the group to be founded, or why this process can't
// found it now.
func (c *Core) foundingMembers() (members *lilacv1.RaftMembers, delay string) {
	if c.founders == nil {
		return nil, "this process has lost its data folder, or was not started with bootstrap, and waits for a group to join"
	}
	members = &lilacv1.RaftMembers{}
	var silent, claims []string
	first := ""
	for _, name := range c.founders {
		member, founders := c.self(), c.founders
		if name != c.cfg.Name {
			answer, ok := c.join.answers[name]
			if !ok {
				silent = append(silent, name)
				continue
			}
			if answer.group != "" {
				return nil, fmt.Sprintf("%s belongs to group %s; this process joins it once it has a leader", name, answer.group)
			}
			member, founders = answer.member, answer.founders
		}
		if founders != nil {
			if !slices.Equal(founders, c.founders) {
				return nil, fmt.Sprintf("the settings of %s list the state processes %s, those of this process %s; list the same in all", name, strings.Join(founders, ", "), strings.Join(c.founders, ", "))
			}
			claims = append(claims, name)
			if first == "" {
				first = name
			}
		}
		members.Members = append(members.Members, &lilacv1.RaftMember{Id: member.GetId(), Name: name, Address: member.GetAddress(), DataCenter: member.GetDataCenter(), Voter: true})
	}
	switch {
	case len(silent) > 0:
		return nil, silentDelay(silent)
	case len(claims) <= len(c.founders)/2:
		return nil, fmt.Sprintf("only %s of %d state processes still have the data folders of the first start; start all of them with empty data folders and bootstrap: true", strings.Join(claims, ", "), len(c.founders))
	case first != c.cfg.Name:
		return nil, fmt.Sprintf("%s is to found the group", first)
	}
	return members, ""
}

// unconfirmed returns the founders that have not replied in the round that confirms the answers.
func (c *Core) unconfirmed() []string {
	return slices.DeleteFunc(slices.Clone(c.founders), func(name string) bool {
		return name == c.cfg.Name || c.join.answers[name].round >= c.join.confirmRound
	})
}

// isFounding reports whether this process belongs to a group that was founded but of which it
// has no entry yet.
func (c *Core) isFounding() bool {
	return c.group != "" && len(c.lineage.former) == 0 && c.log.last() == foundingIndex && c.snapshot.GetIndex() == foundingIndex
}

// foundingMeta returns what a process without a group needs to become a member of this one;
// nil once it has entries. A founder may lose its disk right after it told others of the group:
// they must be able to elect a leader among themselves.
func (c *Core) foundingMeta() *lilacv1.RaftSnapshotMeta {
	if !c.isFounding() {
		return nil
	}
	return c.snapshot
}

// abandonDeadGroup leaves a group that was founded and can never commit an entry, and reports
// whether it did.
//
// A message of a founder that has lost its disk may arrive when others have founded the group
// again. Its receiver is bound to a group that has no quorum. It leaves that group once
// so many of the members, itself included, are bound to another group or have left this one that
// the others are no quorum: since none of these has stored or will store an entry of the group,
// nothing was committed and nothing will be.
func (c *Core) abandonDeadGroup() bool {
	if !c.isFounding() || c.role == Leader {
		return false
	}
	voters := voters(c.members.latest())
	out := 0
	for _, id := range voters {
		if id == c.cfg.ID || c.hasLeft(id) {
			out++
		}
	}
	if len(voters)-out > len(voters)/2 {
		return false
	}
	c.emit(GroupAbandoned{Group: c.group})
	c.discarded = append(slices.Clone(c.discarded), c.cfg.ID)
	c.discarded = c.discarded[max(0, len(c.discarded)-maxDiscarded):]
	c.cfg.ID, c.cfg.NewGroupID = c.newIdentity(), c.newIdentity()
	c.group, c.term, c.vote, c.hardDirty = "", 0, "", true
	c.log, c.members, c.snapshot = memoryLog{}, memberHistory{}, nil
	c.commit, c.applied = 0, 0
	c.groupBoundAt, c.join = c.now, joinState{round: c.join.round + 1}
	c.setRole(Waiting, "", "")
	return true
}

// hasLeft reports whether a peer has stated that the identity is bound to another group, or
// that it was discarded.
func (c *Core) hasLeft(id string) bool {
	for _, answer := range c.join.answers {
		bound := answer.member.GetId() == id && answer.group != "" && answer.group != c.group
		if bound || slices.Contains(answer.discarded, id) {
			return true
		}
	}
	return false
}

// newIdentity returns a random identity, of the same length as the one of a new data folder.
func (c *Core) newIdentity() string { return fmt.Sprintf("%016x", c.rng.Uint64()) }

func silentDelay(names []string) string {
	return fmt.Sprintf("no answer from %s; all state processes must run for the first start", strings.Join(names, ", "))
}

// reportDelay emits why the group can't be founded or joined yet, if that has changed and takes
// longer than a start.
func (c *Core) reportDelay() {
	if c.role != Waiting || c.now-c.groupBoundAt <= foundingElectionTimeouts*c.cfg.Election {
		return
	}
	_, delay := c.foundingMembers()
	if delay == "" {
		delay = silentDelay(c.unconfirmed())
	}
	if delay != c.join.delay {
		c.join.delay = delay
		c.emit(FoundingDelayed{Reason: delay})
	}
}
