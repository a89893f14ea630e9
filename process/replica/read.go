package replica

// read notes a read; flush gives it a heartbeat round.
func (c *Core) read(e Read) {
	if c.role != Leader {
		c.refuse(e.RequestID)
		return
	}
	c.lead.newReads = append(c.lead.newReads, e.RequestID)
}

// startReads gives the reads that came since a round of heartbeats of their
// own; it waits until an entry of the own term is committed, since before that
// the leader does not know all that was committed.
func (c *Core) startReads() bool {
	if len(c.lead.newReads) == 0 || c.commit < c.lead.firstIndex {
		return false
	}
	c.lead.round++
	for _, ticket := range c.lead.newReads {
		c.lead.reads = append(c.lead.reads, pendingRead{ticket: ticket, index: c.commit, round: c.lead.round})
	}
	c.lead.newReads = nil
	return true
}

// finishReads answers reads whose round a quorum has echoed.
//
// It guards against a leader that was replaced without noticing and answers
// from an old state. It holds because a quorum answered in this term after the
// read came, so that no later leader had committed anything before it; clocks
// play no part in it.
func (c *Core) finishReads() {
	for len(c.lead.reads) > 0 {
		read := c.lead.reads[0]
		echoed := map[string]bool{c.cfg.ID: true}
		for id, p := range c.lead.progress {
			echoed[id] = p.round >= read.round
		}
		if !c.quorum(echoed) {
			return
		}
		c.emit(ReadReady{RequestID: read.ticket, Index: read.index})
		c.lead.reads = c.lead.reads[1:]
	}
}
