package replica

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// transfer is a snapshot on its way to one member, chunk by chunk.
type snapshotTransfer struct {
	meta   *lilacv1.RaftSnapshotMeta
	offset uint64
	sentAt time.Duration
	// restarts counts how often a newer snapshot made it begin again.
	restarts int
}

const (
	// transferSnapshotDelayFactor is how many times as long as usual the next snapshot is put
	// off while one is on its way; each restart doubles it, up to maxRestarts times:
	// the log then holds up to 16 times snapshotBytes, 256 MiB.
	transferDelayFactor = 4
	maxDelayDoublings   = 2
)

// incoming is a snapshot that arrives from the leader.
type incomingSnapshot struct {
	meta *lilacv1.RaftSnapshotMeta
	data []byte
}

// SnapshotDelayFactor is how many times as long as usual the next snapshot is to be put off:
// 1 unless a snapshot is on its way to a member that answers.
//
// It guards against a member that never catches up: each new snapshot makes its
// transfer begin again, and over a slow link under load the next one always comes
// first. It shows as a voter that stays behind after a cut, for ever. It holds
// because the pause doubles with each restart, until a transfer fits in; the bound
// keeps a member that is too slow from filling the others' memory with log.
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

// resendChunk sends the chunk again whose answer is overdue.
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

// snapshotAsked collects chunks and installs the snapshot once it is whole.
//
// It guards against a snapshot that comes late, after entries past it have been
// synced and counted here: to give those up would lose committed entries. It
// holds because a log that holds the snapshot's last entry keeps all it has.
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

// collect adds the chunk; true once the snapshot is whole.
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
	if !c.check(meta.GetIndex() > c.commit, "snapshot_never_goes_back", "a snapshot before the commit index was to be installed") {
		return
	}
	c.snapshot = meta
	c.log.reset(meta.GetIndex(), meta.GetTerm())
	c.commit, c.applied = meta.GetIndex(), meta.GetIndex()
	c.members.reset(meta.GetIndex(), meta.GetMembers())
	c.emit(Install{Meta: meta, Data: data})
	c.emit(MembersChanged{Members: meta.GetMembers().GetMembers()})
}
