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

// counter is a state machine whose state is the number of its commands.
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

// alone is a group of one process whose background work waits to be run by hand.
type singleNode struct {
	is         *is.I
	path       string
	folder     *fullFolder
	now        time.Duration
	runner     *Runner
	machine    *commandCounter
	background []func()
}

func (a *singleNode) start() {
	folder, err := wal.OSFolder(a.path)
	a.is.NoErr(err)
	a.folder = &fullFolder{Folder: folder}
	a.machine = &commandCounter{}
	a.runner, err = NewRunner(Options{Name: "a", Address: "a", Bootstrap: true, Heartbeat: testHeartbeat, Election: testElection,
		Folder: a.folder, Machine: a.machine, Transport: discardTransport{}, SnapshotEvery: 10, SegmentBytes: 200,
		Clock: func() time.Duration { return a.now }, Background: func(work func()) { a.background = append(a.background, work) }})
	a.is.NoErr(err)
	for a.runner.Status().Role != Leader {
		a.now += testHeartbeat / 2
		a.process(Request{Event: Tick{}})
	}
}

func (a *singleNode) process(asks ...Request) { a.is.NoErr(a.runner.ProcessBatch(asks)) }

// propose runs n commands one after another; each must be answered in its turn.
func (a *singleNode) propose(n int) {
	for range n {
		answered := false
		a.process(Request{Event: Propose{Command: []byte("x")}, Reply: func(o Outcome) { answered = o.Err == nil }})
		a.is.True(answered)
	}
}

func (a *singleNode) countFiles(pattern string) int {
	names, err := filepath.Glob(filepath.Join(a.path, pattern))
	a.is.NoErr(err)
	return len(names)
}

// A state process with a large state takes a snapshot. Clients saw their changes
// stand still for the time of it, and followers missed heartbeats, because the
// turn that wanted the snapshot encoded and wrote it. Turns must go on meanwhile,
// the log must stay whole until the file is, and only one snapshot may be on its way.
func TestBatchesProceedWhileSnapshotIsWritten(t *testing.T) {
	a := &singleNode{is: is.New(t), path: t.TempDir()}
	a.start()
	a.propose(50)
	a.is.Equal(len(a.background), 1)
	a.is.Equal(a.machine.n, 50)
	segments := a.countFiles("log-*")
	a.is.True(segments > 5)
	founded := a.runner.store.Snapshot().GetIndex()
	a.is.Equal(founded, a.runner.snapshotIndex)

	a.background[0]()
	a.process(Request{Event: Tick{}})
	a.is.Equal(a.countFiles("snapshot-*"), 1)
	a.is.Equal(a.countFiles("snapshot-*.tmp"), 0)
	a.is.True(a.countFiles("log-*") < segments)
	// It is of the index at which it was captured; the next one is due at once.
	a.is.True(a.runner.snapshotIndex <= 12)
	a.is.Equal(len(a.background), 2)
	a.background[1]()
	a.process(Request{Event: Tick{}})
	a.is.True(a.runner.snapshotIndex >= 50)
	a.runner.Close()

	a.start()
	a.is.Equal(a.machine.n, 50)
	a.runner.Close()
}

// A follower writes its own snapshot when the leader's newer one arrives and is
// installed. Placed afterwards, the own one would be the newest file while the
// log after it is gone: the next start would take the folder for damaged.
func TestOwnSnapshotIsDiscardedAfterNewerInstall(t *testing.T) {
	a := &singleNode{is: is.New(t), path: t.TempDir()}
	a.start()
	a.propose(12)
	a.is.Equal(len(a.background), 1)
	meta := &lilacv1.RaftSnapshotMeta{Index: 1000, Term: 9, Members: a.runner.core.MembersAt(a.runner.applied), Size: 3}
	a.runner.core.out = nil
	a.runner.core.install(meta, []byte("990"))
	a.runner.perform(append([]Action(nil), a.runner.core.out...))
	a.is.NoErr(a.runner.fatalErr)

	a.background[0]()
	a.process(Request{Event: Tick{}})
	a.is.Equal(a.runner.snapshotIndex, uint64(1000))
	a.is.Equal(a.countFiles("snapshot-*"), 1)
	a.is.NoErr(a.runner.store.Close())

	folder, err := wal.OSFolder(a.path)
	a.is.NoErr(err)
	_, state, err := wal.Open(folder, wal.Options{})
	a.is.NoErr(err)
	a.is.Equal(state.Snapshot.GetIndex(), uint64(1000))
	a.is.Equal(string(state.SnapshotData), "990")
}

// fullFolder takes no new snapshot while full is set.
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

// The disk fills while a snapshot is written. Clients must see nothing of it:
// the log goes on, and the snapshot is tried again when a while has passed.
func TestSnapshotIsRetriedAfterDiskFull(t *testing.T) {
	a := &singleNode{is: is.New(t), path: t.TempDir()}
	a.start()
	a.folder.full = true
	a.propose(12)
	a.background[0]()
	a.propose(20)
	a.is.Equal(len(a.background), 1)
	a.folder.full = false
	a.now += snapshotRetry
	a.propose(1)
	a.is.Equal(len(a.background), 2)
	a.background[1]()
	a.process(Request{Event: Tick{}})
	a.is.True(a.runner.snapshotIndex > 30)
	a.runner.Close()
}
