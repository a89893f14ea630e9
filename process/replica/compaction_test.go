package replica

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/wal"
)

// commandCounter is a state machine that counts its commands.
type commandCounter struct{ n int }

func (c *commandCounter) Apply(uint64, []byte) []byte {
	c.n++
	return fmt.Append(nil, c.n)
}

func (c *commandCounter) Capture() func() ([]byte, error) {
	data := fmt.Append(nil, c.n)
	return func() ([]byte, error) { return data, nil }
}

func (c *commandCounter) Restore(data []byte) error {
	_, err := fmt.Sscan(string(data), &c.n)
	return err
}

type discardTransport struct{}

func (discardTransport) Send(string, []*lilacv1.RaftMessage) {}

// singleNode is a group of one process whose background work is run by the test.
type singleNode struct {
	is         *is.I
	path       string
	folder     *fullFolder
	now        time.Duration
	runner     *Runner
	machine    *commandCounter
	background []func()
}

func (s *singleNode) start() {
	folder, err := wal.OSFolder(s.path)
	s.is.NoErr(err)
	s.folder = &fullFolder{Folder: folder}
	s.machine = &commandCounter{}
	s.runner, err = NewRunner(Options{Name: "a", Address: "a", Bootstrap: true, Heartbeat: testHeartbeat, Election: testElection,
		Folder: s.folder, Machine: s.machine, Transport: discardTransport{}, SnapshotEvery: 10, SegmentBytes: 200,
		Clock: func() time.Duration { return s.now }, Background: func(work func()) { s.background = append(s.background, work) }})
	s.is.NoErr(err)
	for s.runner.Status().Role != Leader {
		s.now += testHeartbeat / 2
		s.process(Request{Event: Tick{}})
	}
}

func (s *singleNode) process(requests ...Request) { s.is.NoErr(s.runner.ProcessBatch(requests)) }

// propose runs n commands one after another; each must complete within its batch.
func (s *singleNode) propose(n int) {
	for range n {
		succeeded := false
		s.process(Request{Event: Propose{Command: []byte("x")}, Reply: func(o Outcome) { succeeded = o.Err == nil }})
		s.is.True(succeeded)
	}
}

func (s *singleNode) countFiles(pattern string) int {
	names, err := filepath.Glob(filepath.Join(s.path, pattern))
	s.is.NoErr(err)
	return len(names)
}

// Guards against a batch that encodes and writes a large snapshot itself: changes
// stall for that time and followers miss heartbeats. Batches must proceed meanwhile,
// the log must be kept until the file is complete, and only one snapshot may be in
// progress.
func TestBatchesProceedWhileSnapshotIsWritten(t *testing.T) {
	s := &singleNode{is: is.New(t), path: t.TempDir()}
	s.start()
	s.propose(50)
	s.is.Equal(len(s.background), 1)
	s.is.Equal(s.machine.n, 50)
	segments := s.countFiles("log-*")
	s.is.True(segments > 5)
	initial := s.runner.store.Snapshot().GetIndex()
	s.is.Equal(initial, s.runner.snapshotIndex)

	s.background[0]()
	s.process(Request{Event: Tick{}})
	s.is.Equal(s.countFiles("snapshot-*"), 1)
	s.is.Equal(s.countFiles("snapshot-*.tmp"), 0)
	s.is.True(s.countFiles("log-*") < segments)
	// The snapshot is of the index at which it was captured, so the next one is due at once.
	s.is.True(s.runner.snapshotIndex <= 12)
	s.is.Equal(len(s.background), 2)
	s.background[1]()
	s.process(Request{Event: Tick{}})
	s.is.True(s.runner.snapshotIndex >= 50)
	s.runner.Close()

	s.start()
	s.is.Equal(s.machine.n, 50)
	s.runner.Close()
}

// A newer snapshot from the leader is installed while a follower writes its own. If the
// follower's were published afterwards, it would be the newest file while the log after
// it is gone, and the next start would report the folder as corrupt.
func TestOwnSnapshotIsDiscardedAfterNewerInstall(t *testing.T) {
	s := &singleNode{is: is.New(t), path: t.TempDir()}
	s.start()
	s.propose(12)
	s.is.Equal(len(s.background), 1)
	meta := &lilacv1.RaftSnapshotMeta{Index: 1000, Term: 9, Members: s.runner.core.MembersAt(s.runner.applied), Size: 3}
	s.runner.core.out = nil
	s.runner.core.install(meta, []byte("990"))
	s.runner.perform(append([]Action(nil), s.runner.core.out...))
	s.is.NoErr(s.runner.fatalErr)

	s.background[0]()
	s.process(Request{Event: Tick{}})
	s.is.Equal(s.runner.snapshotIndex, uint64(1000))
	s.is.Equal(s.countFiles("snapshot-*"), 1)
	s.is.NoErr(s.runner.store.Close())

	folder, err := wal.OSFolder(s.path)
	s.is.NoErr(err)
	_, state, err := wal.Open(folder, wal.Options{})
	s.is.NoErr(err)
	s.is.Equal(state.Snapshot.GetIndex(), uint64(1000))
	s.is.Equal(string(state.SnapshotData), "990")
}

// fullFolder rejects new snapshots while full is set.
type fullFolder struct {
	wal.Folder
	full bool
}

func (f *fullFolder) Create(name string) (wal.File, error) {
	if f.full && strings.HasPrefix(name, "snapshot-") {
		return nil, unix.ENOSPC
	}
	return f.Folder.Create(name)
}

// The disk fills while a snapshot is written. The log must go on without errors for
// clients, and the snapshot must be retried after snapshotRetry.
func TestSnapshotIsRetriedAfterDiskFull(t *testing.T) {
	s := &singleNode{is: is.New(t), path: t.TempDir()}
	s.start()
	s.folder.full = true
	s.propose(12)
	s.background[0]()
	s.propose(20)
	s.is.Equal(len(s.background), 1)
	s.folder.full = false
	s.now += snapshotRetry
	s.propose(1)
	s.is.Equal(len(s.background), 2)
	s.background[1]()
	s.process(Request{Event: Tick{}})
	s.is.True(s.runner.snapshotIndex > 30)
	s.runner.Close()
}
