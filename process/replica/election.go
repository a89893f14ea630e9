package replica

import (
	"slices"
	"strconv"
)

// campaign begins with a pre-vote.
//
// It guards against a process that was cut off and raised its term again and
// again: once healed it would unseat a working leader and refuse statements for
// an election. It holds because the term is raised only after a quorum has said
// that it hears no leader and that the log here is not behind.
func (c *Core) campaign() {
	c.votes = map[string]bool{}
	c.setRole(PreCandidate, "", "")
	c.resetElectionTimer()
	if c.countPreVote(c.cfg.ID) {
		return
	}
	c.preVoteAt = c.now + c.cfg.Heartbeat
	c.requestVotes(kindPreVote, c.term+1, false)
}

// preVoteAgain repeats the questions of a pre-candidacy that is under way: the others
// may have been starting when the first ones came.
func (c *Core) retryPreVote() {
	if c.role != PreCandidate || !c.cfg.AutoMembers || c.now < c.preVoteAt {
		return
	}
	c.preVoteAt = c.now + c.cfg.Heartbeat
	c.requestVotes(kindPreVote, c.term+1, false)
}

func (c *Core) requestVotes(kind kind, term uint64, transfer bool) {
	for _, member := range c.members.latest().GetMembers() {
		if member.GetVoter() && member.GetId() != c.cfg.ID {
			m := &message{Kind: kind, To: member.GetId(), Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), Transfer: transfer}
			c.send(member.GetAddress(), m, true)
		}
	}
}

func (c *Core) handlePreVote(m *message) {
	grant := m.GetTerm() > c.term && !c.hasRecentLeader() && !c.log.isNewerThan(m.GetIndex(), m.GetLogTerm()) && !c.hasPriorityOver(m)
	answer := &message{Kind: kindPreVoteReply, Term: m.GetTerm()}
	if !grant {
		answer.Reject, answer.Term = true, c.term
	} else {
		c.yieldToPriority(m.GetFrom())
	}
	c.reply(m, answer)
}

// yield ends the own pre-candidacy for the sake of a voter whose turn is before.
//
// It guards against votes that split although each voter has its turn: processes
// start some tenths of a second apart, and their first questions wait for the
// connections to one another. Several then win their pre-votes within the time of
// one way, each votes for itself, and an election passes without a leader. It
// shows as 0.7 s more until changes are accepted after a loss of power everywhere.
// It holds because of two that ask each other only the one behind yields, before
// it has asked for any vote; the first in turn never does.
func (c *Core) yieldToPriority(to string) {
	if c.role != PreCandidate || !c.cfg.AutoMembers {
		return
	}
	ids := voters(c.members.latest())
	if place := slices.Index(ids, to); place >= 0 && place < slices.Index(ids, c.cfg.ID) {
		c.setRole(Follower, "", "")
		c.resetElectionTimer()
	}
}

// goesBefore tells whether this pre-candidate's turn is before that of the asker, whose
// log is no newer.
//
// It guards against two pre-candidates that each have the other's word: the one
// behind asked first, and both ask for votes within the time of one way. It shows as
// an election that passes without a leader. It holds because the one behind needs
// this word, and gives its own as soon as it is asked.
func (c *Core) hasPriorityOver(m *message) bool {
	if c.role != PreCandidate || !c.cfg.AutoMembers || m.GetIndex() != c.log.last() || m.GetLogTerm() != c.log.lastTerm() {
		return false
	}
	ids := voters(c.members.latest())
	own, other := slices.Index(ids, c.cfg.ID), slices.Index(ids, m.GetFrom())
	return own >= 0 && own < other
}

func (c *Core) handlePreVoteReply(m *message) {
	if c.role == PreCandidate && !m.GetReject() && m.GetTerm() == c.term+1 {
		c.countPreVote(m.GetFrom())
	}
}

func (c *Core) countPreVote(id string) bool {
	c.votes[id] = true
	if !c.hasQuorum(c.votes) {
		return false
	}
	c.becomeCandidate(false)
	return true
}

// candidate raises the term and asks for votes. The own vote counts once it is
// synced, as anyone else's.
func (c *Core) becomeCandidate(transfer bool) {
	c.setTerm(c.term+1, c.cfg.ID)
	c.votes = map[string]bool{}
	c.setRole(Candidate, "", "")
	c.resetElectionTimer()
	c.requestVotes(kindVote, c.term, transfer)
}

// voteAsked grants at most one vote in a term, and none to a log that is behind.
// The answer goes out after the vote is synced: a voter that crashes and comes
// back must not vote twice in one term.
func (c *Core) handleVote(m *message) {
	free := c.vote == "" || c.vote == m.GetFrom()
	grant := m.GetTerm() == c.term && free && c.canVote() && !c.log.isNewerThan(m.GetIndex(), m.GetLogTerm())
	if grant {
		c.setTerm(c.term, m.GetFrom())
		c.resetElectionTimer()
	}
	c.reply(m, &message{Kind: kindVoteReply, Term: c.term, Reject: !grant})
}

// mayVote tells whether no leader and no own candidacy is known in the term.
func (c *Core) canVote() bool {
	return (c.role == Follower || c.role == PreCandidate) && c.leader == ""
}

func (c *Core) handleVoteReply(m *message) {
	if c.role == Candidate && m.GetTerm() == c.term && !m.GetReject() {
		c.countVote(m.GetFrom())
	}
}

// countVote wins the election with a quorum.
//
// It guards against a candidate that was frozen and wakes to votes that came
// long ago: it would lead an old term beside the leader of a new one, and take
// statements of which the callers never learn the outcome. It holds because
// votes count only within the candidacy's own time, by the clock as of now.
func (c *Core) countVote(id string) {
	if c.now >= c.electionAt {
		return
	}
	c.votes[id] = true
	if c.hasQuorum(c.votes) {
		c.becomeLeader()
	}
}

// timeoutNow campaigns at once: the leader that hands over is known to step back.
func (c *Core) handleTimeoutNow(m *message) {
	if m.GetTerm() == c.term && c.role == Follower && c.isVoter(c.cfg.ID) {
		c.becomeCandidate(true)
	}
}

// quorum tells whether the identities hold a majority of the voters in force.
func (c *Core) hasQuorum(ids map[string]bool) bool {
	voters, yes := 0, 0
	for _, member := range c.members.latest().GetMembers() {
		if !member.GetVoter() {
			continue
		}
		voters++
		if ids[member.GetId()] {
			yes++
		}
	}
	return yes > voters/2
}

func (c *Core) isVoter(id string) bool {
	member := findMember(c.members.latest(), id)
	return member.GetVoter()
}

func (c *Core) becomeLeader() {
	c.check(c.vote == c.cfg.ID, "leader_voted_for_itself", "elected in term "+strconv.FormatUint(c.term, 10)+" without the own vote")
	c.setRole(Leader, c.cfg.ID, c.cfg.Address)
	c.startLeading()
}
