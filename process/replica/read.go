package replica

// queueRead queues a read; flush assigns it a heartbeat round.
func (c *Core) queueRead(e Read) {
	if c.role != Leader {
		c.refuse(e.RequestID)
		return
	}
	c.leaderState.newReads = append(c.leaderState.newReads, e.RequestID)
}

// startReads assigns the queued reads a new heartbeat round, and reports whether it did.
// It waits until an entry of the current term is committed, since before that the leader
// does not know everything that was committed.
func (c *Core) startReads() bool {
	if len(c.leaderState.newReads) == 0 || c.commit < c.leaderState.firstIndex {
		return false
	}
	c.startRound()
	for _, requestID := range c.leaderState.newReads {
		c.leaderState.pendingReads = append(c.leaderState.pendingReads, pendingRead{requestID: requestID, index: c.commit, round: c.leaderState.round})
	}
	c.leaderState.newReads = nil
	return true
}

// finishReads completes the reads whose heartbeat round a quorum has acknowledged.
//
// A leader that was replaced without noticing must not answer from an old state. A quorum
// replied in this term after the read arrived, so no later leader can have committed
// anything before it. This does not depend on clocks.
func (c *Core) finishReads() {
	for len(c.leaderState.pendingReads) > 0 {
		read := c.leaderState.pendingReads[0]
		echoed := map[string]bool{c.cfg.ID: true}
		for id, p := range c.leaderState.progress {
			echoed[id] = p.round >= read.round
		}
		if !c.hasQuorum(echoed) {
			return
		}
		c.emit(ReadReady{RequestID: read.requestID, Index: read.index})
		c.leaderState.pendingReads = c.leaderState.pendingReads[1:]
	}
}
