package proof

import (
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"strings"

	"golang.org/x/sys/unix"

	"github.com/lilacbridge/lilacbridge/process/wal"
)

// inode is the content of a file. The first synced bytes survive a crash.
type inode struct {
	data   []byte
	synced int
}

// nameChange is a change to the directory that a crash may undo until the folder
// is synced.
type nameChange func(names map[string]*inode)

// disk is a data folder in memory. A crash keeps synced data, a random part of
// unsynced data, and a random prefix of the unsynced directory changes.
type disk struct {
	rng     *rand.Rand
	names   map[string]*inode
	durable map[string]*inode
	changes []nameChange
	// space is the number of bytes that can still be written; negative means no limit.
	space int
	// failSync makes the next file sync fail.
	failSync bool
	// crashAfter makes the machine crash during the operation with this number,
	// counted from now, of those that modify the disk; 0 means never.
	crashAfter int
}

// crashed is the panic value of a simulated machine crash during an operation.
type crashed struct{}

var _ wal.Folder = (*disk)(nil)

func newDisk(rng *rand.Rand) *disk {
	return &disk{rng: rng, names: map[string]*inode{}, durable: map[string]*inode{}, space: -1}
}

func (d *disk) step() {
	if d.crashAfter > 0 {
		d.crashAfter--
		if d.crashAfter == 0 {
			panic(crashed{})
		}
	}
}

func (d *disk) change(c nameChange) {
	c(d.names)
	d.changes = append(d.changes, c)
}

// crash replaces the disk's state with one that a machine crash may leave.
func (d *disk) crash() {
	for _, c := range d.changes[:d.rng.IntN(len(d.changes)+1)] {
		c(d.durable)
	}
	d.changes = nil
	d.names = map[string]*inode{}
	for _, name := range sortedNames(d.durable) {
		file := d.durable[name]
		d.names[name] = file
		d.tear(file)
	}
	d.space, d.failSync, d.crashAfter = -1, false, 0
}

// tear keeps a random part of the unsynced data, in some cases with a corrupt byte.
func (d *disk) tear(file *inode) {
	extra := len(file.data) - file.synced
	if extra == 0 {
		return
	}
	file.data = file.data[:file.synced+d.rng.IntN(extra+1)]
	if len(file.data) > file.synced && d.rng.IntN(3) == 0 {
		file.data[file.synced+d.rng.IntN(len(file.data)-file.synced)] ^= 0x55
	}
	file.synced = len(file.data)
}

func sortedNames(names map[string]*inode) []string {
	var all []string
	for name := range names {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

func (d *disk) Path() string { return "disk" }

func (d *disk) List() ([]string, error) { return sortedNames(d.names), nil }

func (d *disk) Size(name string) (int64, error) { return int64(len(d.names[name].data)), nil }

func (d *disk) ReadAt(name string, offset int64, n int) ([]byte, error) {
	data := d.names[name].data
	end := min(int64(len(data)), offset+int64(n))
	return slices.Clone(data[min(offset, end):end]), nil
}

func (d *disk) Create(name string) (wal.File, error) {
	if d.space == 0 {
		return nil, unix.ENOSPC
	}
	file := &inode{}
	d.change(func(names map[string]*inode) { names[name] = file })
	return &handle{disk: d, file: file}, nil
}

func (d *disk) Append(name string) (wal.File, error) {
	return &handle{disk: d, file: d.names[name]}, nil
}

func (d *disk) Truncate(name string, size int64) error {
	d.step()
	file := d.names[name]
	file.data = file.data[:size:size]
	file.synced = int(size)
	return nil
}

func (d *disk) Rename(from, to string) error {
	d.step()
	d.change(func(names map[string]*inode) {
		names[to] = names[from]
		delete(names, from)
	})
	return nil
}

func (d *disk) Remove(name string) error {
	d.step()
	d.change(func(names map[string]*inode) { delete(names, name) })
	return nil
}

func (d *disk) SyncFolder() error {
	d.step()
	for _, c := range d.changes {
		c(d.durable)
	}
	d.changes = nil
	return nil
}

func (d *disk) Lock() (io.Closer, error) { return io.NopCloser(strings.NewReader("")), nil }

type handle struct {
	disk *disk
	file *inode
}

func (h *handle) Write(b []byte) (int, error) {
	n := len(b)
	if h.disk.space >= 0 {
		n = min(n, h.disk.space)
		h.disk.space -= n
	}
	h.file.data = append(h.file.data, b[:n]...)
	h.disk.step()
	if n < len(b) {
		return n, unix.ENOSPC
	}
	return n, nil
}

func (h *handle) Sync() error {
	h.disk.step()
	if h.disk.failSync {
		h.disk.failSync = false
		return errors.New("input/output error")
	}
	h.file.synced = len(h.file.data)
	return nil
}

func (h *handle) Close() error { return nil }
