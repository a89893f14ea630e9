package replica

import (
	"slices"
	"strconv"
	"time"
)

// campaign starts an election with a pre-vote.
//
// A process that was partitioned must not raise its term over and over: once the
// partition healed it would depose a working leader, and changes would be refused for
// an election. The term is raised only after a quorum has answered that it hears from no
// leader and that this log is up to date.
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

// retryPreVote repeats the requests of a pre-vote in progress, since the other voters
// may still have been starting when the first ones were sent.
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
			m := &message{Kind: kind, To: member.GetId(), Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), Transfer: transfer, Snapshot: c.foundingMeta()}
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

// yieldToPriority ends this process's pre-candidacy in favour of a voter with a higher
// election priority.
//
// Ranked delays alone do not prevent split votes: processes start some tenths of a
// second apart, and their first requests wait for connections to be set up. Several
// pre-candidates then win their pre-votes within one network delay, each votes for
// itself, and the election has no winner. After a power failure of the whole group
// this delayed the first accepted change by 0.7 s. Of two pre-candidates that ask each
// other, only the lower-ranked one yields, before it has requested any vote; the
// highest-ranked one never yields.
func (c *Core) yieldToPriority(to string) {
	if c.role != PreCandidate || !c.cfg.AutoMembers {
		return
	}
	ids := voters(c.members.latest())
	if rank := slices.Index(ids, to); rank >= 0 && rank < slices.Index(ids, c.cfg.ID) {
		c.setRole(Follower, "", "")
		c.resetElectionTimer()
	}
}

// hasPriorityOver reports whether this pre-candidate has a higher election priority
// than the sender, given that their logs are equally up to date.
//
// It prevents a split vote between two pre-candidates that have both granted each
// other's pre-vote because the lower-ranked one asked first. The lower-ranked one needs
// this grant, and yields its own as soon as it is asked.
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

// becomeCandidate raises the term and requests votes. This process's own vote counts
// only once it is synced, like any other.
func (c *Core) becomeCandidate(transfer bool) {
	c.setTerm(c.term+1, c.cfg.ID)
	c.votes = map[string]bool{}
	c.setRole(Candidate, "", "")
	c.resetElectionTimer()
	c.requestVotes(kindVote, c.term, transfer)
}

// handleVote grants at most one vote per term, and none to a candidate with an outdated
// log. The reply is sent after the vote is synced, so that a voter that crashes and
// restarts cannot vote twice in one term.
func (c *Core) handleVote(m *message) {
	free := c.vote == "" || c.vote == m.GetFrom()
	grant := m.GetTerm() == c.term && free && c.canVote() && !c.log.isNewerThan(m.GetIndex(), m.GetLogTerm())
	if grant {
		c.setTerm(c.term, m.GetFrom())
		c.resetElectionTimer()
	}
	c.reply(m, &message{Kind: kindVoteReply, Term: c.term, Reject: !grant})
}

// canVote reports whether this process knows no leader and is not a candidate in the
// current term.
func (c *Core) canVote() bool {
	return (c.role == Follower || c.role == PreCandidate) && c.leader == ""
}

func (c *Core) handleVoteReply(m *message) {
	if c.role == Candidate && m.GetTerm() == c.term && !m.GetReject() {
		c.countVote(m.GetFrom())
	}
}

// countVote records a vote and becomes leader once a quorum has voted for this process.
//
// Votes count only until the candidacy's own deadline. A candidate that was suspended
// would otherwise count old votes on resuming, lead an old term beside the leader of
// a newer one, and accept changes whose outcome the callers never learn.
func (c *Core) countVote(id string) {
	if c.now >= c.electionAt {
		return
	}
	c.votes[id] = true
	if c.hasQuorum(c.votes) {
		c.becomeLeader()
	}
}

// handleTimeoutNow campaigns at once, without a pre-vote: the leader that sent it is
// giving up its leadership.
func (c *Core) handleTimeoutNow(m *message) {
	if m.GetTerm() == c.term && c.role == Follower && c.isVoter(c.cfg.ID) {
		c.becomeCandidate(true)
	}
}

// hasQuorum reports whether ids includes a majority of the voters in force.
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
	c.check(c.vote == c.cfg.ID, "leader_voted_for_itself", "elected in term "+strconv.FormatUint(c.term, 10)+" without its own vote")
	c.setRole(Leader, c.cfg.ID, c.cfg.Address)
	c.startLeading()
}

func (c *Core) resetElectionTimer() {
	if c.cfg.AutoMembers {
		c.electionAt = c.now + c.cfg.Election + c.electionPriorityDelay()
		return
	}
	spread := time.Duration(c.rng.Int64N(int64(c.cfg.Election)))
	c.electionAt = c.now + c.cfg.Election + spread
}

// electionPriorityDelay is how much longer than the minimum election timeout this
// voter waits before it campaigns.
//
// It prevents repeated split votes when all voters start at the same moment, as
// after a power failure, and votes take a cross-region delay to arrive: two voters
// would campaign within that delay and neither would win, leaving the group without
// a leader for seconds. Each voter gets a distinct delay by its rank among the
// sorted voter IDs, plus a smaller random part.
func (c *Core) electionPriorityDelay() time.Duration {
	ids := voters(c.members.latest())
	rank := slices.Index(ids, c.cfg.ID)
	if rank < 0 {
		rank = len(ids)
	}
	step := c.cfg.Election / priorityStepDivisor
	return time.Duration(rank)*step + time.Duration(c.rng.Int64N(int64(step)/2))
}

// priorityStepDivisor divides the minimum election timeout to give the delay between
// two ranks. At 600 ms the step is 200 ms, which covers pre-vote, vote and sync with a
// one-way network delay of 30 ms.
const priorityStepDivisor = 3
