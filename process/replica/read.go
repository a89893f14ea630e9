package replica

// read notes a read; flush gives it a heartbeat round.
func (c *Core) queueRead(e Read) {
	if c.role != Leader {
		c.refuse(e.RequestID)
		return
	}
	c.leaderState.newReads = append(c.leaderState.newReads, e.RequestID)
}

// startReads gives the reads that came since a round of heartbeats of their
// own; it waits until an entry of the own term is committed, since before that
// the leader does not know all that was committed.
func (c *Core) startReads() bool {
	if len(c.leaderState.newReads) == 0 || c.commit < c.leaderState.firstIndex {
		return false
	}
	c.leaderState.round++
	for _, requestID := range c.leaderState.newReads {
		c.leaderState.pendingReads = append(c.leaderState.pendingReads, pendingRead{requestID: requestID, index: c.commit, round: c.leaderState.round})
	}
	c.leaderState.newReads = nil
	return true
}

// finishReads answers reads whose round a quorum has echoed.
//
// It guards against a leader that was replaced without noticing and answers
// from an old state. It holds because a quorum answered in this term after the
// read came, so that no later leader had committed anything before it; clocks
// play no part in it.
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
