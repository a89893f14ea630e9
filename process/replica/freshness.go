package replica

import (
	"slices"
	"time"
)

// freshness tracks the last moment at which the applied state was known to include
// everything committed.
//
// A process that was partitioned and is receiving the log or a snapshot again already
// hears from the leader; clients that follow it must not take its old state for current and
// stay with it. A commit index from the leader therefore counts only once everything
// up to it has been applied here.
type freshness struct {
	// freshAt is that moment.
	freshAt time.Duration
	// commit is the commit index that the leader sent at or after commitSentAt; it is to be
	// applied while pending is set.
	commit       uint64
	commitSentAt time.Duration
	pending      bool
}

// observe records a commit index that the leader sent no earlier than the moment at,
// unless an earlier one is still pending.
func (c *freshness) observe(at time.Duration, commit uint64) {
	if !c.pending {
		c.commit, c.commitSentAt, c.pending = commit, at, true
	}
}

// advance records the index applied so far.
func (c *freshness) advance(applied uint64) {
	if c.pending && applied >= c.commit {
		c.freshAt, c.pending = max(c.freshAt, c.commitSentAt), false
	}
}

// stamp returns the current time as a stamp for the leader to echo.
func (c *Core) stamp() uint64 { return c.stampBase + uint64(c.now-c.stampEpoch) }

// stampTime returns the moment of a stamp; false if this run of the process did not
// issue it.
func (c *Core) stampTime(stamp uint64) (time.Duration, bool) {
	since := time.Duration(stamp - c.stampBase)
	if stamp < c.stampBase || since > c.now-c.stampEpoch {
		return 0, false
	}
	return c.stampEpoch + since, true
}

// observeCommit records the leader's commit index. It is dated by the echoed stamp of
// this process, since the message may arrive long after it was sent, and by its age at the leader,
// which may have lost its quorum.
func (c *Core) observeCommit(m *message) {
	if at, ok := c.stampTime(m.GetStamp()); ok {
		c.freshness.observe(at-time.Duration(m.GetAgeMs())*time.Millisecond, m.GetCommit())
	}
}

// commitAge returns the time since the leader's commit index was known to be the newest, in
// milliseconds and rounded up.
func (c *Core) commitAge() uint64 {
	return uint64((c.now - c.freshAt() + time.Millisecond - 1).Milliseconds())
}

// freshAt returns the last moment at which the applied state was known to include
// everything committed. On the leader, once an entry of the current term is applied,
// that is when the latest round was sent to which a quorum has replied; elsewhere it is the
// date of the last commit index from the leader that has been applied.
func (c *Core) freshAt() time.Duration {
	if c.role != Leader || c.applied < c.leaderState.firstIndex {
		return c.freshness.freshAt
	}
	times := []time.Duration{}
	for _, member := range c.members.latest().GetMembers() {
		if p := c.leaderState.progress[member.GetId()]; p != nil && member.GetVoter() {
			times = append(times, p.acknowledgedAt)
		}
	}
	if len(times) == 0 {
		return c.now
	}
	slices.Sort(times)
	// The leader counts towards the quorum as well.
	return times[len(times)-(len(times)+1)/2]
}
