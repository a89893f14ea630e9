package replica

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// snapshotTransfer is the state of sending a snapshot to one member in chunks.
type snapshotTransfer struct {
	meta   *lilacv1.RaftSnapshotMeta
	offset uint64
	sentAt time.Duration
	// restarts counts how often a newer snapshot made the transfer start over.
	restarts int
}

const (
	// transferDelayFactor multiplies the snapshot thresholds while a transfer is in
	// progress. Each restart doubles the factor, up to maxDelayDoublings times: the log
	// then holds up to 16 times snapshotBytes, 256 MiB.
	transferDelayFactor = 4
	maxDelayDoublings   = 2
)

// incomingSnapshot is a snapshot being received from the leader.
type incomingSnapshot struct {
	meta *lilacv1.RaftSnapshotMeta
	data []byte
}

// SnapshotDelayFactor returns the factor by which the thresholds for the next snapshot
// are raised: 1 unless a snapshot is being sent to a responsive member.
//
// A new snapshot makes a transfer start over. Over a slow link and under load the next
// snapshot could always come first, and a voter that was partitioned would never catch
// up. The factor doubles with each restart until a transfer completes in time; its bound
// keeps a member that is too slow from filling the memory of the others with log entries.
func (c *Core) SnapshotDelayFactor() int {
	factor := 1
	for _, p := range c.leaderState.progress {
		if p.snapshotTransfer != nil && c.now-p.lastHeard <= c.cfg.Election {
			factor = max(factor, transferDelayFactor<<min(p.snapshotTransfer.restarts, maxDelayDoublings))
		}
	}
	return factor
}

func (c *Core) startTransfer(p *progress) {
	p.snapshotTransfer = &snapshotTransfer{meta: c.snapshot}
	p.inFlight = nil
	c.sendChunk(p)
}

func (c *Core) sendChunk(p *progress) {
	t := p.snapshotTransfer
	if t.meta.GetIndex() != c.snapshot.GetIndex() {
		t.meta, t.offset = c.snapshot, 0
		t.restarts++
	}
	t.sentAt = c.now
	m := &message{Kind: kindSnapshot, To: p.member.GetId(), Term: c.term, Snapshot: t.meta, Offset: t.offset, Round: c.leaderState.round}
	m.From, m.FromAddress, m.Group = c.cfg.ID, c.cfg.Address, c.group
	c.emit(Send{Address: p.member.GetAddress(), Message: m, SnapshotBytes: int(min(uint64(c.cfg.ChunkBytes), t.meta.GetSize()-t.offset))})
}

// resendChunk sends a chunk again if its reply is overdue.
func (c *Core) resendChunk(p *progress) {
	if p.snapshotTransfer != nil && c.now-p.snapshotTransfer.sentAt >= c.cfg.Election {
		c.sendChunk(p)
	}
}

func (c *Core) handleSnapshotReply(m *message) {
	p := c.recordReply(m)
	if p == nil || p.snapshotTransfer == nil || m.GetIndex() != p.snapshotTransfer.meta.GetIndex() {
		return
	}
	if !m.GetReject() {
		p.snapshotTransfer = nil
		c.advanceMatch(p, m.GetIndex())
		return
	}
	if m.GetOffset() <= p.snapshotTransfer.meta.GetSize() && m.GetOffset() != p.snapshotTransfer.offset {
		p.snapshotTransfer.offset = m.GetOffset()
		c.sendChunk(p)
	}
}

// handleSnapshot collects chunks and installs the snapshot once it is complete.
//
// A delayed snapshot must not replace a log whose later entries have been acknowledged
// here: that would lose committed entries. A log that contains the snapshot's last entry
// is therefore kept as it is.
func (c *Core) handleSnapshot(m *message) {
	if !c.acceptLeader(m) {
		return
	}
	meta := m.GetSnapshot()
	answer := &message{Kind: kindSnapshotReply, Term: c.term, Index: meta.GetIndex(), Round: m.GetRound(), DiskFull: c.diskFull}
	if term, held := c.log.term(meta.GetIndex()); meta.GetIndex() <= c.commit || (held && term == meta.GetTerm()) {
		c.commit = max(c.commit, meta.GetIndex())
		c.incomingSnapshot = incomingSnapshot{}
		c.reply(m, answer)
		return
	}
	if !c.addChunk(m) {
		answer.Reject, answer.Offset = true, uint64(len(c.incomingSnapshot.data))
		c.reply(m, answer)
		return
	}
	data := c.incomingSnapshot.data
	c.incomingSnapshot = incomingSnapshot{}
	c.install(meta, data)
	c.reply(m, answer)
}

// addChunk appends the chunk and reports whether the snapshot is complete.
func (c *Core) addChunk(m *message) bool {
	meta, held := m.GetSnapshot(), c.incomingSnapshot.meta
	if held.GetIndex() != meta.GetIndex() || held.GetTerm() != meta.GetTerm() {
		c.incomingSnapshot = incomingSnapshot{meta: meta}
	}
	if m.GetOffset() == uint64(len(c.incomingSnapshot.data)) && !c.diskFull {
		c.incomingSnapshot.data = append(c.incomingSnapshot.data, m.GetChunk()...)
	}
	return uint64(len(c.incomingSnapshot.data)) == meta.GetSize() && !c.diskFull
}

func (c *Core) install(meta *lilacv1.RaftSnapshotMeta, data []byte) {
	if !c.check(meta.GetIndex() > c.commit, "snapshot_never_goes_back", "snapshot to install is not past the commit index") {
		return
	}
	c.snapshot = meta
	c.log.reset(meta.GetIndex(), meta.GetTerm())
	c.commit, c.applied = meta.GetIndex(), meta.GetIndex()
	c.members.reset(meta.GetIndex(), meta.GetMembers())
	c.emit(Install{Meta: meta, Data: data})
	c.emit(MembersChanged{Members: meta.GetMembers().GetMembers()})
}
