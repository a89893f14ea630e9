package replica

import (
	"fmt"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// acceptLeader records the sender as the leader of its term. It returns false if the
// message is from an older term or would mean two leaders in one term.
func (c *Core) acceptLeader(m *message) bool {
	if m.GetTerm() < c.term {
		c.reply(m, &message{Kind: kindAppendReply, Term: c.term, Index: m.GetIndex(), Reject: true})
		return false
	}
	valid := c.role != Leader && (c.leader == "" || c.leader == m.GetFrom())
	if !c.check(valid, "one_leader_per_term", fmt.Sprintf("%s and %s both lead term %d", m.GetFrom(), c.leader, c.term)) {
		return false
	}
	if c.role != Follower || c.leader == "" {
		c.becomeFollower(c.term, m.GetFrom(), m.GetFromAddress())
	}
	c.leaderHeardAt = c.now
	c.resetElectionTimer()
	return true
}

// handleAppend appends entries that follow an entry in the local log.
func (c *Core) handleAppend(m *message) {
	if !c.acceptLeader(m) {
		return
	}
	c.observeCommit(m)
	previous, entries := m.GetIndex(), m.GetEntries()
	if previous < c.commit {
		// Up to the commit index, the log is the same on every leader.
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
	c.check(c.commit <= c.log.last(), "commit_within_log", "commit index is past the end of the log")
	c.reply(m, &message{Kind: kindAppendReply, Term: c.term, Index: last, Round: m.GetRound(), DiskFull: c.diskFull})
}

// rejectHint returns the index before the first entry of the term that conflicts at
// the rejected index, so that the leader can skip the whole term.
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

// appendAfter appends entries after the previous index, replacing conflicting ones.
// It returns the last index at which the log is known to match the leader's.
func (c *Core) appendAfter(previous uint64, entries []*lilacv1.RaftEntry) (uint64, bool) {
	for i, entry := range entries {
		index := previous + 1 + uint64(i)
		if !c.check(entry.GetIndex() == index, "entries_without_gap", "entry does not follow the previous one") {
			return 0, false
		}
		if term, held := c.log.term(index); held && term == entry.GetTerm() {
			continue
		}
		if c.diskFull {
			return index - 1, true
		}
		if index <= c.log.last() {
			if !c.check(index > c.commit, "committed_never_lost", fmt.Sprintf("committed entry %d would be replaced", index)) {
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
