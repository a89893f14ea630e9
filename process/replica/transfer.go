package replica

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// transfer is a snapshot on its way to one member, chunk by chunk.
type transfer struct {
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
	transferPatience = 4
	maxRestarts      = 2
)

// incoming is a snapshot that arrives from the leader.
type incoming struct {
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
	patience := 1
	for _, p := range c.lead.progress {
		if p.transfer != nil && c.now-p.heard <= c.cfg.Election {
			patience = max(patience, transferPatience<<min(p.transfer.restarts, maxRestarts))
		}
	}
	return patience
}

func (c *Core) startTransfer(p *progress) {
	p.transfer = &transfer{meta: c.snapshot}
	p.inFlight = nil
	c.sendChunk(p)
}

func (c *Core) sendChunk(p *progress) {
	t := p.transfer
	if t.meta.GetIndex() != c.snapshot.GetIndex() {
		t.meta, t.offset = c.snapshot, 0
		t.restarts++
	}
	t.sentAt = c.now
	m := &message{Kind: kindSnapshot, To: p.member.GetId(), Term: c.term, Snapshot: t.meta, Offset: t.offset, Round: c.lead.round}
	m.From, m.FromAddress, m.Group = c.cfg.ID, c.cfg.Address, c.group
	c.emit(Send{Address: p.member.GetAddress(), Message: m, SnapshotBytes: int(min(uint64(c.cfg.ChunkBytes), t.meta.GetSize()-t.offset))})
}

// resendChunk sends the chunk again whose answer is overdue.
func (c *Core) resendChunk(p *progress) {
	if p.transfer != nil && c.now-p.transfer.sentAt >= c.cfg.Election {
		c.sendChunk(p)
	}
}

func (c *Core) snapshotReply(m *message) {
	p := c.answered(m)
	if p == nil || p.transfer == nil || m.GetIndex() != p.transfer.meta.GetIndex() {
		return
	}
	if !m.GetReject() {
		p.transfer = nil
		c.matched(p, m.GetIndex())
		return
	}
	if m.GetOffset() <= p.transfer.meta.GetSize() && m.GetOffset() != p.transfer.offset {
		p.transfer.offset = m.GetOffset()
		c.sendChunk(p)
	}
}

// snapshotAsked collects chunks and installs the snapshot once it is whole.
//
// It guards against a snapshot that comes late, after entries past it have been
// synced and counted here: to give those up would lose committed entries. It
// holds because a log that holds the snapshot's last entry keeps all it has.
func (c *Core) snapshotAsked(m *message) {
	if !c.fromLeader(m) {
		return
	}
	meta := m.GetSnapshot()
	answer := &message{Kind: kindSnapshotReply, Term: c.term, Index: meta.GetIndex(), Round: m.GetRound(), DiskFull: c.diskFull}
	if term, held := c.log.term(meta.GetIndex()); meta.GetIndex() <= c.commit || (held && term == meta.GetTerm()) {
		c.commit = max(c.commit, meta.GetIndex())
		c.incoming = incoming{}
		c.reply(m, answer)
		return
	}
	if !c.collect(m) {
		answer.Reject, answer.Offset = true, uint64(len(c.incoming.data))
		c.reply(m, answer)
		return
	}
	data := c.incoming.data
	c.incoming = incoming{}
	c.install(meta, data)
	c.reply(m, answer)
}

// collect adds the chunk; true once the snapshot is whole.
func (c *Core) collect(m *message) bool {
	meta, held := m.GetSnapshot(), c.incoming.meta
	if held.GetIndex() != meta.GetIndex() || held.GetTerm() != meta.GetTerm() {
		c.incoming = incoming{meta: meta}
	}
	if m.GetOffset() == uint64(len(c.incoming.data)) && !c.diskFull {
		c.incoming.data = append(c.incoming.data, m.GetChunk()...)
	}
	return uint64(len(c.incoming.data)) == meta.GetSize() && !c.diskFull
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
