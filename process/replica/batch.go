package replica

import (
	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/wal"
)

// durableWrite is a snapshot installation or a log batch to be synced, in order.
type durableWrite struct {
	install *Install
	batch   wal.Batch
}

// ProcessBatch passes a batch of events to the core and carries out the resulting
// actions; all proposals of the batch share one sync. After an error the caller must
// Close the Runner.
func (r *Runner) ProcessBatch(batch []Request) error {
	var actions []Action
	for _, request := range batch {
		actions = append(actions, r.core.Step(r.options.Clock(), r.assignRequestID(request))...)
	}
	actions = append(actions, r.core.Step(r.options.Clock(), Flush{})...)
	for len(actions) > 0 && r.fatalErr == nil {
		actions = r.perform(actions)
	}
	r.retryPendingWrites()
	r.finishSnapshot()
	r.maybeStartSnapshot()
	return r.fatalErr
}

// assignRequestID assigns the event an ID by which its outcome is matched to the reply.
func (r *Runner) assignRequestID(request Request) Event {
	if request.Reply == nil {
		return request.Event
	}
	r.lastRequestID++
	switch e := request.Event.(type) {
	case Propose:
		e.RequestID = r.lastRequestID
		r.proposalReplies[r.lastRequestID] = request.Reply
		return e
	case ChangeMembers:
		e.RequestID = r.lastRequestID
		r.proposalReplies[r.lastRequestID] = request.Reply
		return e
	case Read:
		e.RequestID = r.lastRequestID
		r.readReplies[r.lastRequestID] = request.Reply
		return e
	}
	return request.Event
}

// perform sends the messages that need no sync, syncs, sends the remaining messages,
// and returns the actions that result from the sync.
func (r *Runner) perform(actions []Action) []Action {
	r.sendAll(actions, false)
	synced := r.persist(actions)
	if r.fatalErr != nil {
		return nil
	}
	if len(r.pendingWrites) == 0 {
		r.sendAll(actions, true)
	}
	for _, action := range actions {
		r.handleAction(action)
	}
	if synced == nil {
		return nil
	}
	next := append([]Action(nil), r.core.Step(r.options.Clock(), *synced)...)
	return append(next, r.core.Step(r.options.Clock(), Flush{})...)
}

func (r *Runner) sendAll(actions []Action, afterSync bool) {
	byAddress := map[string][]*lilacv1.RaftMessage{}
	var addresses []string
	for _, action := range actions {
		s, ok := action.(Send)
		if !ok || s.AfterSync != afterSync || !r.fillChunk(s) {
			continue
		}
		if byAddress[s.Address] == nil {
			addresses = append(addresses, s.Address)
		}
		byAddress[s.Address] = append(byAddress[s.Address], s.Message)
	}
	for _, address := range addresses {
		messages := byAddress[address]
		r.metrics.sent.Add(float64(len(messages)))
		r.options.Transport.Send(address, messages)
	}
}

func (r *Runner) fillChunk(s Send) bool {
	if s.SnapshotBytes == 0 {
		return true
	}
	if r.store.Snapshot().GetIndex() != s.Message.GetSnapshot().GetIndex() {
		return false
	}
	chunk, err := r.store.ReadSnapshot(s.Message.GetOffset(), s.SnapshotBytes)
	if err != nil {
		r.fatalErr = fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "snapshot can't be read; check the disk, then restart the process")
		return false
	}
	s.Message.Chunk = chunk
	return true
}

// persist writes and syncs what the actions require. It returns nil if nothing was
// synced, which includes writes that are pending because the disk is full.
func (r *Runner) persist(actions []Action) *Synced {
	for _, action := range actions {
		switch a := action.(type) {
		case Install:
			r.restoreSnapshot(a)
			r.pendingWrites = append(r.pendingWrites, durableWrite{install: &a})
		case Persist:
			r.queuePersist(a)
		}
	}
	if r.diskFull {
		return nil
	}
	return r.flushPendingWrites()
}

func (r *Runner) queuePersist(p Persist) {
	if k := len(r.pendingWrites); k == 0 || r.pendingWrites[k-1].install != nil {
		r.pendingWrites = append(r.pendingWrites, durableWrite{})
	}
	batch := &r.pendingWrites[len(r.pendingWrites)-1].batch
	if p.Hard != nil {
		batch.Hard = p.Hard
	}
	batch.Entries = append(batch.Entries, p.Entries...)
}

// flushPendingWrites performs the pending writes in order and stops when the disk is full.
func (r *Runner) flushPendingWrites() *Synced {
	if len(r.pendingWrites) == 0 {
		return nil
	}
	synced := &Synced{}
	for len(r.pendingWrites) > 0 {
		if err := r.write(r.pendingWrites[0]); err != nil {
			r.writeFailed(err)
			return nil
		}
		batch := r.pendingWrites[0].batch
		if k := len(batch.Entries); k > 0 {
			synced.Index, synced.Term = batch.Entries[k-1].GetIndex(), batch.Entries[k-1].GetTerm()
		}
		if batch.Hard != nil {
			synced.HardTerm = batch.Hard.GetTerm()
		}
		r.pendingWrites = r.pendingWrites[1:]
	}
	r.pendingWrites = nil
	r.setDiskFull(false)
	return synced
}

func (r *Runner) write(s durableWrite) error {
	if s.install != nil {
		return r.store.InstallSnapshot(s.install.Meta, s.install.Data)
	}
	start := r.options.Clock()
	err := r.store.Save(s.batch)
	took := r.options.Clock() - start
	r.metrics.syncSeconds.Observe(took.Seconds())
	if took >= r.options.Election {
		r.logger.Warn("sync of the log took longer than an election timeout; another process may lead now; check the disk", "folder", r.options.Folder.Path(),
			"took_ms", took.Milliseconds(), "election_ms", r.options.Election.Milliseconds(), "entries", len(s.batch.Entries), "term", r.core.term)
	}
	return err
}

func (r *Runner) writeFailed(err error) {
	if fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_DISK_FULL) {
		r.setDiskFull(true)
		return
	}
	r.fatalErr = err
}

func (r *Runner) setDiskFull(full bool) {
	if r.diskFull == full {
		return
	}
	r.diskFull = full
	if full {
		r.logger.Error("disk is full; statements and claims are refused until there is space", "folder", r.options.Folder.Path())
	} else {
		r.logger.Info("disk has space again", "folder", r.options.Folder.Path())
	}
	r.metrics.diskFull.Set(boolToFloat(full))
}

// retryPendingWrites retries writes that failed because the disk was full, and reports
// the disk's state to the core.
func (r *Runner) retryPendingWrites() {
	if r.fatalErr != nil || r.diskFull == r.core.diskFull && !r.diskFull {
		return
	}
	var actions []Action
	if r.diskFull {
		if synced := r.flushPendingWrites(); synced != nil {
			actions = append(actions, r.core.Step(r.options.Clock(), *synced)...)
		}
	}
	actions = append(actions, r.core.Step(r.options.Clock(), DiskFull{Full: r.diskFull})...)
	for len(actions) > 0 && r.fatalErr == nil {
		actions = r.perform(actions)
	}
}

func (r *Runner) restoreSnapshot(install Install) {
	r.failPendingProposals(unknownOutcomeError())
	r.applied, r.snapshotIndex, r.bytesSinceSnapshot = install.Meta.GetIndex(), install.Meta.GetIndex(), 0
	if install.Meta.GetSize() == 0 {
		return
	}
	if err := r.options.Machine.Restore(install.Data); err != nil {
		r.fatalErr = fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "snapshot from the leader can't be restored; run the same version on all state processes")
		return
	}
	r.metrics.installs.Inc()
	r.logger.Info("installed snapshot from the leader", "index", install.Meta.GetIndex(), "bytes", install.Meta.GetSize())
}

// Close fails all pending proposals and closes the files. It waits for a snapshot that is
// being written, since the next process to use the folder may write the same file name.
func (r *Runner) Close() {
	r.awaitSnapshotWrite()
	r.failPendingProposals(unknownOutcomeError())
	if err := r.store.Close(); err != nil {
		r.logger.Warn("data folder was not closed cleanly", "error", err)
	}
}
