package replica

import (
	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	// lostVoterElectionTimeouts is the silence, in election timeouts, after which a voter is
	// considered lost: longer than a restart takes.
	lostVoterElectionTimeouts = 3
	// minVoters is the number of voters below which a lost voter is removed only if a
	// replacement is ready: with fewer, the next loss would stop the group.
	minVoters = 3
)

// adjustVoters adapts the voters to the processes that are running, by at most one
// change per call, and reports whether it made one.
//
// If machines are replaced one after another, the lost ones would still count for the
// quorum and eventually hold the majority: changes would be refused although three
// processes run. A learner that has caught up therefore takes the place of a lost voter,
// and lost voters beyond minVoters are removed. A removed voter that returns asks to
// be added again.
func (c *Core) adjustVoters() bool {
	lost, voters := c.lostVoter()
	learner := c.promotableLearner()
	switch {
	case lost != nil && (learner != nil || voters > minVoters):
		_, ok := c.appendMembers(withoutMember(c.cloneMembers(), lost.GetId()))
		return ok
	case learner != nil:
		_, ok := c.promote(learner.GetId())
		return ok
	}
	return false
}

// lostVoter returns a voter that has been silent for lostVoterElectionTimeouts, if any,
// and the number of voters.
func (c *Core) lostVoter() (lost *lilacv1.RaftMember, voters int) {
	for _, member := range c.members.latest().GetMembers() {
		if !member.GetVoter() {
			continue
		}
		voters++
		p := c.leaderState.progress[member.GetId()]
		if p != nil && c.now-p.lastHeard > lostVoterElectionTimeouts*c.cfg.Election {
			lost = member
		}
	}
	return lost, voters
}

// promotableLearner returns a learner that has caught up and is not the replacement of a
// particular voter.
func (c *Core) promotableLearner() *lilacv1.RaftMember {
	for _, member := range c.members.latest().GetMembers() {
		if !member.GetVoter() && member.GetReplaces() == "" && c.caughtUp(member.GetId()) {
			return member
		}
	}
	return nil
}
