package replica

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// snapshotRetry is how long to wait after a snapshot failed because the disk was full.
const snapshotRetry = 10 * time.Second

// snapshotWrite is a snapshot that is being written in the background.
type snapshotWrite struct {
	meta *lilacv1.RaftSnapshotMeta
	// keep is the index after which entries are retained for lagging followers.
	keep uint64
	// bytes is the size of the entries applied between the previous snapshot and this one.
	bytes int
	// done receives nil once the file is complete under its temporary name, or the error.
	// It is buffered so that the writer never blocks.
	done chan error
}

// snapshotDue reports whether enough was applied since the last snapshot for the next
// one. The limits are raised while a snapshot is being transferred to a member; see
// SnapshotDelayFactor.
func (r *Runner) snapshotDue() bool {
	delayFactor := r.core.SnapshotDelayFactor()
	entries, bytes := (r.applied-r.snapshotIndex)/uint64(delayFactor), r.bytesSinceSnapshot/delayFactor
	return entries >= r.options.SnapshotEvery || bytes >= snapshotBytes
}

// maybeStartSnapshot starts a snapshot when one is due, to bound the size of the log.
//
// Encoding and writing a large state must not hold up heartbeats and the group commit:
// followers would start an election against a healthy leader. Only the capture of the
// state happens here; encoding, writing and syncing the file run in the background,
// and the log is truncated by a later batch once the file is complete.
func (r *Runner) maybeStartSnapshot() {
	if r.snapshotWrite != nil || r.fatalErr != nil || r.diskFull || len(r.pendingWrites) > 0 || r.options.Clock() < r.snapshotRetryAt || !r.snapshotDue() {
		return
	}
	// Some entries before the snapshot are retained for followers that lag slightly.
	w := &snapshotWrite{keep: r.applied - (r.applied-r.snapshotIndex)/2, bytes: r.bytesSinceSnapshot, done: make(chan error, 1),
		meta: &lilacv1.RaftSnapshotMeta{Index: r.applied, Term: r.core.TermAt(r.applied), Members: r.core.MembersAt(r.applied)}}
	encode := r.options.Machine.Capture()
	r.snapshotWrite = w
	r.options.Background(func() { w.done <- r.writeSnapshot(w.meta, encode) })
	r.finishSnapshot()
}

// writeSnapshot runs in the background. It must not access any field of Runner that
// batches modify.
func (r *Runner) writeSnapshot(meta *lilacv1.RaftSnapshotMeta, encode func() ([]byte, error)) error {
	data, err := encode()
	if err != nil {
		return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "state can't be encoded into a snapshot")
	}
	meta.Size = uint64(len(data))
	return r.store.WriteSnapshot(meta, data)
}

// finishSnapshot publishes a snapshot that has been written and compacts the log.
//
// If a newer snapshot from the leader was installed in the meantime, publishing the
// older local one would make the next start find a gap, since the log after it is
// gone. A snapshot that is not newer than the last one is therefore discarded.
func (r *Runner) finishSnapshot() {
	if r.snapshotWrite == nil || r.fatalErr != nil {
		return
	}
	w := r.snapshotWrite
	var err error
	select {
	case err = <-w.done:
	default:
		return
	}
	r.snapshotWrite = nil
	switch {
	case err != nil:
	case w.meta.GetIndex() <= r.snapshotIndex:
		err = r.store.DiscardSnapshot(w.meta)
	default:
		err = r.publishAndCompact(w)
	}
	if err != nil {
		r.snapshotFailed(err)
	}
}

func (r *Runner) publishAndCompact(w *snapshotWrite) error {
	if err := r.store.PublishSnapshot(w.meta, w.keep); err != nil {
		return err
	}
	r.snapshotIndex = w.meta.GetIndex()
	r.bytesSinceSnapshot -= w.bytes
	r.metrics.snapshots.Inc()
	r.core.Step(r.options.Clock(), Compacted{Meta: w.meta, Keep: w.keep})
	return nil
}

// snapshotFailed postpones the snapshot if the disk is full, as the log can go on without
// it. Any other error is fatal.
func (r *Runner) snapshotFailed(err error) {
	if !fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_DISK_FULL) {
		r.fatalErr = err
		return
	}
	r.snapshotRetryAt = r.options.Clock() + snapshotRetry
	r.logger.Error("disk has no space for a snapshot; the log will grow until there is", "folder", r.options.Folder.Path())
}

// awaitSnapshotWrite waits for the background writer. Its file is unused and removed at
// the next start.
func (r *Runner) awaitSnapshotWrite() {
	if r.snapshotWrite != nil {
		<-r.snapshotWrite.done
		r.snapshotWrite = nil
	}
}
