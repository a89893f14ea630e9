package replica

import (
	"slices"
	"time"
)

// contact times the last moment at which this process surely had applied all
// that was committed.
//
// It guards against a process that was cut off and gets the log or a snapshot
// anew: it hears the leader, so those who follow it would take its old state for
// the newest and stay with it. It shows as an entry that holds an old revision
// and calls it fresh. It holds because a word from the leader counts only once
// all that it calls committed is applied here.
type freshness struct {
	// at is that moment.
	freshAt time.Duration
	// told is the commit index that the leader named at toldAt, while open.
	commit       uint64
	commitSentAt time.Duration
	pending      bool
}

// hear notes the commit index that the leader named after the moment at, unless an
// earlier one is still waited for.
func (c *freshness) observe(at time.Duration, commit uint64) {
	if !c.pending {
		c.commit, c.commitSentAt, c.pending = commit, at, true
	}
}

// reached notes what is applied here.
func (c *freshness) advance(applied uint64) {
	if c.pending && applied >= c.commit {
		c.freshAt, c.pending = max(c.freshAt, c.commitSentAt), false
	}
}

// stamp returns the present moment as the leader echoes it.
func (c *Core) stamp() uint64 { return c.stampBase + uint64(c.now-c.stampEpoch) }

// stamped returns the moment of a stamp; false for one that this start of the
// process never gave.
func (c *Core) stampTime(stamp uint64) (time.Duration, bool) {
	since := time.Duration(stamp - c.stampBase)
	if stamp < c.stampBase || since > c.now-c.stampEpoch {
		return 0, false
	}
	return c.stampEpoch + since, true
}

// hearLeader notes what the leader calls committed. It is dated by the stamp of this
// process that the leader echoes, since a message may arrive long after it was sent.
func (c *Core) observeCommit(m *message) {
	if at, ok := c.stampTime(m.GetStamp()); ok {
		c.freshness.observe(at, m.GetCommit())
	}
}

// contactAt is the last moment at which all that was committed was surely
// applied here: on the leader the last answers of a quorum, once an entry of the
// own term is applied, elsewhere what the last word from the leader is dated by.
func (c *Core) freshAt() time.Duration {
	if c.role != Leader || c.applied < c.leaderState.firstIndex {
		return c.freshness.freshAt
	}
	times := []time.Duration{}
	for _, member := range c.members.latest().GetMembers() {
		if p := c.leaderState.progress[member.GetId()]; p != nil && member.GetVoter() {
			times = append(times, p.lastHeard)
		}
	}
	if len(times) == 0 {
		return c.now
	}
	slices.Sort(times)
	// The leader itself is one of the quorum.
	return times[len(times)-(len(times)+1)/2]
}
