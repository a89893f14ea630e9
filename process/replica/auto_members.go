package replica

import (
	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	// lostElections is the silence, in election timeouts, after which a voter
	// counts as lost: longer than a restart takes.
	lostVoterElectionTimeouts = 3
	// leastVoters is the size below which a group gives no voter up without
	// another in its place: with fewer the next loss would stop it.
	minVoters = 3
)

// regroup keeps the members in step with the processes that run, one change at a
// time, and tells whether it made one.
//
// It guards against a group whose machines are replaced one after the other:
// each one gone still counts for the quorum, and in the end the gone ones hold
// the majority. It shows as statements that are refused although three processes
// run. It holds because a caught-up newcomer takes the place of a lost voter, and
// a lost voter beyond the third is taken out. One that comes back asks again.
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

// lostVoter returns a voter that has been silent for long, and how many voters there are.
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

// newcomer returns a learner that has caught up and takes nobody's name.
func (c *Core) promotableLearner() *lilacv1.RaftMember {
	for _, member := range c.members.latest().GetMembers() {
		if !member.GetVoter() && member.GetReplaces() == "" && c.caughtUp(member.GetId()) {
			return member
		}
	}
	return nil
}
