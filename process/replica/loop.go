package replica

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/wal"
)

// snapshotRetry is how long a snapshot is put off for want of space.
const snapshotRetry = 10 * time.Second

// saving is something that must be synced; in order.
type saving struct {
	install *Install
	batch   wal.Batch
}

// run is the node's only goroutine: all proposals that came while the last
// sync ran share the next one.
func (n *Node) run() {
	defer close(n.done)
	ticker := time.NewTicker(n.options.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for n.fatal == nil {
		var batch []queued
		select {
		case <-n.stop:
			n.end(nil)
			return
		case <-ticker.C:
			batch = append(batch, queued{event: Tick{}})
		case q := <-n.events:
			batch = append(batch, q)
		}
		n.turn(n.drain(batch))
	}
	n.end(n.fatal)
}

func (n *Node) drain(batch []queued) []queued {
	for len(batch) < maxBatch {
		select {
		case q := <-n.events:
			batch = append(batch, q)
		default:
			return batch
		}
	}
	return batch
}

func (n *Node) now() time.Duration { return time.Since(n.start) }

// turn steps the core through a batch and does what it wants done.
func (n *Node) turn(batch []queued) {
	var actions []Action
	for _, q := range batch {
		actions = append(actions, n.core.Step(n.now(), n.ticketed(q))...)
	}
	actions = append(actions, n.core.Step(n.now(), Flush{})...)
	for len(actions) > 0 && n.fatal == nil {
		actions = n.perform(actions)
	}
	n.retry()
	n.maybeSnapshot()
	n.publish()
}

// ticketed gives the event a ticket under which its outcome is found.
func (n *Node) ticketed(q queued) Event {
	if q.reply == nil {
		return q.event
	}
	n.tickets++
	switch e := q.event.(type) {
	case Propose:
		e.Ticket = n.tickets
		n.proposals[n.tickets] = q.reply
		return e
	case ChangeMembers:
		e.Ticket = n.tickets
		n.proposals[n.tickets] = q.reply
		return e
	case Read:
		e.Ticket = n.tickets
		n.readers[n.tickets] = q.reply
		return e
	}
	return q.event
}

// perform sends what promises nothing, syncs, sends the rest, and returns what
// the core wants after the sync.
func (n *Node) perform(actions []Action) []Action {
	n.sendAll(actions, false)
	saved := n.saveAll(actions)
	if n.fatal != nil {
		return nil
	}
	if len(n.pending) == 0 {
		n.sendAll(actions, true)
	}
	for _, action := range actions {
		n.conclude(action)
	}
	if saved == nil {
		return nil
	}
	next := append([]Action(nil), n.core.Step(n.now(), *saved)...)
	return append(next, n.core.Step(n.now(), Flush{})...)
}

func (n *Node) sendAll(actions []Action, afterSync bool) {
	byAddress := map[string][]*lilacv1.RaftMessage{}
	for _, action := range actions {
		s, ok := action.(Send)
		if !ok || s.AfterSync != afterSync || !n.fillChunk(s) {
			continue
		}
		byAddress[s.Address] = append(byAddress[s.Address], s.Message)
	}
	for address, messages := range byAddress {
		n.metrics.sent.Add(float64(len(messages)))
		n.options.Transport.Send(address, messages)
	}
}

func (n *Node) fillChunk(s Send) bool {
	if s.SnapshotBytes == 0 {
		return true
	}
	if n.store.Snapshot().GetIndex() != s.Message.GetSnapshot().GetIndex() {
		return false
	}
	chunk, err := n.store.ReadSnapshot(s.Message.GetOffset(), s.SnapshotBytes)
	if err != nil {
		n.fatal = fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "snapshot can't be read; check the disk and restart the process")
		return false
	}
	s.Message.Chunk = chunk
	return true
}

// saveAll syncs what the actions want synced; nil if nothing was, or if the
// disk is full and it waits.
func (n *Node) saveAll(actions []Action) *Synced {
	for _, action := range actions {
		switch a := action.(type) {
		case Install:
			n.restoreFrom(a)
			n.pending = append(n.pending, saving{install: &a})
		case Persist:
			n.addPersist(a)
		}
	}
	if n.full {
		return nil
	}
	return n.savePending()
}

func (n *Node) addPersist(p Persist) {
	if k := len(n.pending); k == 0 || n.pending[k-1].install != nil {
		n.pending = append(n.pending, saving{})
	}
	batch := &n.pending[len(n.pending)-1].batch
	if p.Hard != nil {
		batch.Hard = p.Hard
	}
	batch.Entries = append(batch.Entries, p.Entries...)
}

// savePending syncs in order and stops at a full disk.
func (n *Node) savePending() *Synced {
	if len(n.pending) == 0 {
		return nil
	}
	synced := &Synced{}
	for len(n.pending) > 0 {
		if err := n.save(n.pending[0]); err != nil {
			n.saveFailed(err)
			return nil
		}
		batch := n.pending[0].batch
		if k := len(batch.Entries); k > 0 {
			synced.Index, synced.Term = batch.Entries[k-1].GetIndex(), batch.Entries[k-1].GetTerm()
		}
		if batch.Hard != nil {
			synced.HardTerm = batch.Hard.GetTerm()
		}
		n.pending = n.pending[1:]
	}
	n.pending = nil
	n.setFull(false)
	return synced
}

func (n *Node) save(s saving) error {
	if s.install != nil {
		return n.store.InstallSnapshot(s.install.Meta, s.install.Data)
	}
	begun := time.Now()
	err := n.store.Save(s.batch)
	n.metrics.syncSeconds.Observe(time.Since(begun).Seconds())
	return err
}

func (n *Node) saveFailed(err error) {
	if fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_DISK_FULL) {
		n.setFull(true)
		return
	}
	n.fatal = err
}

func (n *Node) setFull(full bool) {
	if n.full == full {
		return
	}
	n.full = full
	if full {
		n.logger.Error("the disk is full; statements and claims are refused until there is space", "folder", n.options.Folder.Path())
	} else {
		n.logger.Info("the disk has space again", "folder", n.options.Folder.Path())
	}
	n.metrics.diskFull.Set(boolean(full))
}

// retry tries again what a full disk did not take, and tells the core.
func (n *Node) retry() {
	if n.fatal != nil || n.full == n.core.diskFull && !n.full {
		return
	}
	var actions []Action
	if n.full {
		if saved := n.savePending(); saved != nil {
			actions = append(actions, n.core.Step(n.now(), *saved)...)
		}
	}
	actions = append(actions, n.core.Step(n.now(), DiskFull{Full: n.full})...)
	for len(actions) > 0 && n.fatal == nil {
		actions = n.perform(actions)
	}
}

func (n *Node) restoreFrom(install Install) {
	n.failPlaced(unknownOutcome())
	n.applied, n.taken = install.Meta.GetIndex(), install.Meta.GetIndex()
	if install.Meta.GetSize() == 0 {
		return
	}
	if err := n.options.Machine.Restore(install.Data); err != nil {
		n.fatal = fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "the leader's snapshot does not restore; run one version on all state processes")
		return
	}
	n.metrics.installs.Inc()
	n.logger.Info("took the leader's snapshot", "index", install.Meta.GetIndex(), "bytes", install.Meta.GetSize())
}

// maybeSnapshot bounds the log. It waits while the last snapshot is on its way
// to a member, up to a point.
func (n *Node) maybeSnapshot() {
	every := n.options.SnapshotEvery
	grown := n.applied - n.taken
	if n.fatal != nil || n.full || len(n.pending) > 0 || grown < every || n.now() < n.snapshotAt || (n.core.Transferring() && grown < 4*every) {
		return
	}
	data, err := n.options.Machine.Snapshot()
	if err != nil {
		n.fatal = fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "state can't be put into a snapshot")
		return
	}
	meta := &lilacv1.RaftSnapshotMeta{Index: n.applied, Term: n.core.TermAt(n.applied), Members: n.core.MembersAt(n.applied), Size: uint64(len(data))}
	// Entries behind the snapshot stay for followers that are a little behind.
	keep := n.applied - min(n.applied, every/2)
	if err := n.store.SaveSnapshot(meta, data, keep); err != nil {
		n.snapshotFailed(err)
		return
	}
	n.taken = n.applied
	n.metrics.snapshots.Inc()
	n.core.Step(n.now(), Compacted{Meta: meta, Keep: keep})
}

// snapshotFailed puts the snapshot off if the disk is full: the log goes on
// without it.
func (n *Node) snapshotFailed(err error) {
	if !fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_DISK_FULL) {
		n.fatal = err
		return
	}
	n.snapshotAt = n.now() + snapshotRetry
	n.logger.Error("the disk has no space for a snapshot; the log grows until there is", "folder", n.options.Folder.Path())
}

// end stops the node and fails all that waits.
func (n *Node) end(err error) {
	n.mu.Lock()
	n.err = err
	n.mu.Unlock()
	if err != nil {
		n.logger.Error("the state process stops", "error", err)
	}
	n.failPlaced(unknownOutcome())
	if closeErr := n.store.Close(); closeErr != nil {
		n.logger.Warn("data folder was not closed cleanly", "error", closeErr)
	}
}
