package replica

import (
	"fmt"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// fromLeader notes the sender as the leader of the term; false if the message
// is of an older term, or breaks the rule of one leader in a term.
func (c *Core) acceptLeader(m *message) bool {
	if m.GetTerm() < c.term {
		c.reply(m, &message{Kind: kindAppendReply, Term: c.term, Index: m.GetIndex(), Reject: true})
		return false
	}
	one := c.role != Leader && (c.leader == "" || c.leader == m.GetFrom())
	if !c.check(one, "one_leader_per_term", fmt.Sprintf("%s and %s both lead term %d", m.GetFrom(), c.leader, c.term)) {
		return false
	}
	if c.role != Follower || c.leader == "" {
		c.becomeFollower(c.term, m.GetFrom(), m.GetFromAddress())
	}
	c.leaderHeardAt = c.now
	c.resetElectionTimer()
	return true
}

// appendAsked takes entries that follow an entry held here.
func (c *Core) handleAppend(m *message) {
	if !c.acceptLeader(m) {
		return
	}
	c.observeCommit(m)
	previous, entries := m.GetIndex(), m.GetEntries()
	if previous < c.commit {
		// All up to commit is the same on every leader.
		entries = entries[min(uint64(len(entries)), c.commit-previous):]
		previous = c.commit
	} else if term, held := c.log.term(previous); !held || term != m.GetLogTerm() {
		c.reply(m, &message{Kind: kindAppendReply, Term: c.term, Index: previous, Reject: true, Hint: c.rejectHint(previous), Round: m.GetRound(), DiskFull: c.diskFull})
		return
	}
	last, ok := c.appendAfter(previous, entries)
	if !ok {
		return
	}
	c.commit = max(c.commit, min(m.GetCommit(), last))
	c.check(c.commit <= c.log.last(), "commit_within_log", "commit index lies after the log")
	c.reply(m, &message{Kind: kindAppendReply, Term: c.term, Index: last, Round: m.GetRound(), DiskFull: c.diskFull})
}

// hint returns the index before the entries of the term that does not match.
func (c *Core) rejectHint(refused uint64) uint64 {
	if refused > c.log.last() {
		return c.log.last()
	}
	term, _ := c.log.term(refused)
	index := refused
	for index > c.commit+1 {
		before, held := c.log.term(index - 1)
		if !held || before != term {
			break
		}
		index--
	}
	return index - 1
}

// take puts the entries after previous, and returns the last index that is the
// same as the leader's.
func (c *Core) appendAfter(previous uint64, entries []*lilacv1.RaftEntry) (uint64, bool) {
	for i, entry := range entries {
		index := previous + 1 + uint64(i)
		if !c.check(entry.GetIndex() == index, "entries_without_gap", "an entry does not follow the one before") {
			return 0, false
		}
		if term, held := c.log.term(index); held && term == entry.GetTerm() {
			continue
		}
		if c.diskFull {
			return index - 1, true
		}
		if index <= c.log.last() {
			if !c.check(index > c.commit, "committed_never_lost", fmt.Sprintf("entry %d is committed and was to be replaced", index)) {
				return 0, false
			}
			c.log.truncate(index)
			c.members.truncate(index)
		}
		rest := entries[i:]
		c.log.append(rest...)
		for _, added := range rest {
			c.members.add(added)
		}
		break
	}
	return previous + uint64(len(entries)), true
}
