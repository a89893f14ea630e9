// Package memdisk provides disks in memory for tests of replication.
//
// A disk is one data folder. It syncs at once, so a test doesn't depend on how busy the disks
// of its machine are, and it can fail as a real one does: a full disk, a failed sync, or a crash
// that loses what was not synced.
package memdisk

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"

	"golang.org/x/sys/unix"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/wal"
)

// Unlimited is the space of a disk that never fills up.
const Unlimited = -1

// ErrSync is the error of a sync that was made to fail.
var ErrSync = errors.New("input/output error")

// Crash is the value with which an operation panics when the machine crashes during it.
type Crash struct{}

// inode is the content of a file. The first synced bytes survive a crash.
type inode struct {
	data   []byte
	synced int
}

// nameChange is a change to the folder that a crash may undo until the folder is synced.
type nameChange func(names map[string]*inode)

// Disk is a data folder in memory. It is safe for concurrent use, and it keeps its files when
// the process that uses it ends.
type Disk struct {
	mu      sync.Mutex
	names   map[string]*inode
	durable map[string]*inode
	changes []nameChange
	holder  *lock
	// space is the number of bytes that can still be written, or Unlimited.
	space    int
	failSync bool
	// crashAfter is the number of operations that change the disk until the machine crashes; 0
	// means never.
	crashAfter int
	// beforeSync is called before each sync of a file, if set.
	beforeSync func()
}

var _ wal.Folder = (*Disk)(nil)

// New returns an empty disk.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, durable: map[string]*inode{}, space: Unlimited}
}

// NewFolder returns an empty disk in memory for a test, and a folder of the machine's disk for a
// benchmark, which measures it.
func NewFolder(t testing.TB) wal.Folder {
	if _, ok := t.(*testing.B); !ok {
		return New()
	}
	folder, err := wal.OSFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return folder
}

// LimitSpace makes writes fail once they have written the given number of bytes, or lifts the
// limit if it is Unlimited.
func (d *Disk) LimitSpace(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.space = bytes
}

// FailNextSync makes the next sync of a file fail.
func (d *Disk) FailNextSync() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSync = true
}

// BeforeSync calls f before each sync of a file, which waits for it as for a slow disk; nil ends
// that.
func (d *Disk) BeforeSync(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beforeSync = f
}

// CrashDuring makes the machine crash during an operation that changes the disk; 1 is the next.
func (d *Disk) CrashDuring(operation int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashAfter = operation
}

// Heal removes all faults that are still to come, but not the function of BeforeSync.
func (d *Disk) Heal() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heal()
}

func (d *Disk) heal() { d.space, d.failSync, d.crashAfter = Unlimited, false, 0 }

// Crash replaces the content by one that a crash of the machine may leave: the synced data, a
// random part of the data that was not synced, and the first of the changes to the folder that
// were not synced. It heals the disk and releases its lock.
func (d *Disk) Crash(random *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, change := range d.changes[:random.IntN(len(d.changes)+1)] {
		change(d.durable)
	}
	d.changes, d.holder = nil, nil
	d.names = map[string]*inode{}
	for _, name := range sortedNames(d.durable) {
		file := d.durable[name]
		d.names[name] = file
		file.tear(random)
	}
	d.heal()
}

// tear keeps a random part of the data that was not synced, in some cases with a corrupt byte.
func (f *inode) tear(random *rand.Rand) {
	extra := len(f.data) - f.synced
	if extra == 0 {
		return
	}
	f.data = f.data[:f.synced+random.IntN(extra+1)]
	if len(f.data) > f.synced && random.IntN(3) == 0 {
		f.data[f.synced+random.IntN(len(f.data)-f.synced)] ^= 0x55
	}
	f.synced = len(f.data)
}

func sortedNames(names map[string]*inode) []string {
	var all []string
	for name := range names {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// countOperation panics if the machine crashes during this operation.
func (d *Disk) countOperation() {
	if d.crashAfter == 0 {
		return
	}
	if d.crashAfter--; d.crashAfter == 0 {
		panic(Crash{})
	}
}

func (d *Disk) change(c nameChange) {
	c(d.names)
	d.changes = append(d.changes, c)
}

func (d *Disk) lookUp(operation, name string) (*inode, error) {
	file := d.names[name]
	if file == nil {
		return nil, &fs.PathError{Op: operation, Path: d.Path() + "/" + name, Err: fs.ErrNotExist}
	}
	return file, nil
}

// Path implements wal.Folder.
func (d *Disk) Path() string { return "disk in memory" }

// List implements wal.Folder.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sortedNames(d.names), nil
}

// Size implements wal.Folder.
func (d *Disk) Size(name string) (int64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	file, err := d.lookUp("stat", name)
	if err != nil {
		return 0, err
	}
	return int64(len(file.data)), nil
}

// ReadAt implements wal.Folder.
func (d *Disk) ReadAt(name string, offset int64, n int) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	file, err := d.lookUp("open", name)
	if err != nil {
		return nil, err
	}
	end := min(int64(len(file.data)), offset+int64(n))
	return slices.Clone(file.data[min(offset, end):end]), nil
}

// Create implements wal.Folder.
func (d *Disk) Create(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.space == 0 {
		return nil, unix.ENOSPC
	}
	file := &inode{}
	d.change(func(names map[string]*inode) { names[name] = file })
	return &handle{disk: d, file: file}, nil
}

// Append implements wal.Folder.
func (d *Disk) Append(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	file, err := d.lookUp("open", name)
	if err != nil {
		return nil, err
	}
	return &handle{disk: d, file: file}, nil
}

// Truncate implements wal.Folder.
func (d *Disk) Truncate(name string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	file, err := d.lookUp("truncate", name)
	if err != nil {
		return err
	}
	d.countOperation()
	file.data = file.data[:size:size]
	file.synced = int(size)
	return nil
}

// Rename implements wal.Folder.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.lookUp("rename", from); err != nil {
		return err
	}
	d.countOperation()
	d.change(func(names map[string]*inode) {
		names[to] = names[from]
		delete(names, from)
	})
	return nil
}

// Remove implements wal.Folder.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.lookUp("remove", name); err != nil {
		return err
	}
	d.countOperation()
	d.change(func(names map[string]*inode) { delete(names, name) })
	return nil
}

// SyncFolder implements wal.Folder.
func (d *Disk) SyncFolder() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countOperation()
	for _, change := range d.changes {
		change(d.durable)
	}
	d.changes = nil
	return nil
}

// lock is the exclusive use of a disk by one process.
type lock struct{ disk *Disk }

// Lock implements wal.Folder.
func (d *Disk) Lock() (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.holder != nil {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "disk in memory is in use by another process; stop that one first")
	}
	d.holder = &lock{d}
	return d.holder, nil
}

// Close releases the lock, unless a crash of the machine has done so.
func (l *lock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	if l.disk.holder == l {
		l.disk.holder = nil
	}
	return nil
}

// handle is an open file. Like a file descriptor, it stays usable after its name is removed.
type handle struct {
	disk   *Disk
	file   *inode
	closed bool
}

// Write implements wal.File.
func (h *handle) Write(b []byte) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.closed {
		return 0, os.ErrClosed
	}
	n := len(b)
	if h.disk.space != Unlimited {
		n = min(n, h.disk.space)
		h.disk.space -= n
	}
	h.file.data = append(h.file.data, b[:n]...)
	h.disk.countOperation()
	if n < len(b) {
		return n, unix.ENOSPC
	}
	return n, nil
}

func (d *Disk) waitToSync() {
	d.mu.Lock()
	wait := d.beforeSync
	d.mu.Unlock()
	if wait != nil {
		wait()
	}
}

// Sync implements wal.File.
func (h *handle) Sync() error {
	h.disk.waitToSync()
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.closed {
		return os.ErrClosed
	}
	h.disk.countOperation()
	if h.disk.failSync {
		h.disk.failSync = false
		return ErrSync
	}
	h.file.synced = len(h.file.data)
	return nil
}

// Close implements wal.File.
func (h *handle) Close() error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.closed {
		return os.ErrClosed
	}
	h.closed = true
	return nil
}
