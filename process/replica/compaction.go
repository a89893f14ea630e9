package replica

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// snapshotRetry is how long a snapshot is put off for want of space.
const snapshotRetry = 10 * time.Second

// writing is a snapshot on its way to the disk.
type snapshotWrite struct {
	meta *lilacv1.RaftSnapshotMeta
	// keep is the index after which entries stay for slow followers.
	keep uint64
	// bytes is the data of entries that it covers since the last one.
	bytes int
	// done gets the error, or nil, once the file stands whole under its
	// temporary name. It has room for it, so that the writer never waits.
	done chan error
}

// grown tells whether so much was applied since the last snapshot that the next
// is due. It is put off while one is on its way to a member, up to a point.
func (r *Runner) snapshotDue() bool {
	delayFactor := r.core.SnapshotDelayFactor()
	entries, bytes := (r.applied-r.snapshotIndex)/uint64(delayFactor), r.bytesSinceSnapshot/delayFactor
	return entries >= r.options.SnapshotEvery || bytes >= snapshotBytes
}

// maybeSnapshot bounds the log.
//
// It guards against a large state that stops heartbeats and the group commit
// while it is encoded and written: followers would call an election of a leader
// that is well. It holds because the turn only captures the state; encoding,
// writing and the sync of the file run in the background, and the log is cut in
// a later turn, once the file is whole.
func (r *Runner) maybeStartSnapshot() {
	if r.snapshotWrite != nil || r.fatalErr != nil || r.diskFull || len(r.pendingWrites) > 0 || r.options.Clock() < r.snapshotRetryAt || !r.snapshotDue() {
		return
	}
	// Entries behind the snapshot stay for followers that are a little behind.
	w := &snapshotWrite{keep: r.applied - (r.applied-r.snapshotIndex)/2, bytes: r.bytesSinceSnapshot, done: make(chan error, 1),
		meta: &lilacv1.RaftSnapshotMeta{Index: r.applied, Term: r.core.TermAt(r.applied), Members: r.core.MembersAt(r.applied)}}
	encode := r.options.Machine.Capture()
	r.snapshotWrite = w
	r.options.Background(func() { w.done <- r.writeSnapshot(w.meta, encode) })
	r.finishSnapshot()
}

// writeSnapshot runs beside the turns: it touches nothing of the Runner that
// they change.
func (r *Runner) writeSnapshot(meta *lilacv1.RaftSnapshotMeta, encode func() ([]byte, error)) error {
	data, err := encode()
	if err != nil {
		return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "state can't be put into a snapshot")
	}
	meta.Size = uint64(len(data))
	return r.store.WriteSnapshot(meta, data)
}

// placeSnapshot cuts the log behind a snapshot that has been written.
//
// It guards against a leader's snapshot that was installed in the meantime and
// then replaced by the older own one: the log after the older one is gone, and
// the next start would find a gap. It holds because a snapshot that is not newer
// than the last one taken is dropped.
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

// snapshotFailed puts the snapshot off if the disk is full: the log goes on
// without it.
func (r *Runner) snapshotFailed(err error) {
	if !fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_DISK_FULL) {
		r.fatalErr = err
		return
	}
	r.snapshotRetryAt = r.options.Clock() + snapshotRetry
	r.logger.Error("the disk has no space for a snapshot; the log grows until there is", "folder", r.options.Folder.Path())
}

// abandonSnapshot waits for the writer; the next start removes its file.
func (r *Runner) awaitSnapshotWrite() {
	if r.snapshotWrite != nil {
		<-r.snapshotWrite.done
		r.snapshotWrite = nil
	}
}
