package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

func entries(from, to, term uint64) []*lilacv1.RaftEntry {
	var all []*lilacv1.RaftEntry
	for index := from; index <= to; index++ {
		all = append(all, &lilacv1.RaftEntry{Index: index, Term: term, Kind: lilacv1.RaftEntryKind_RAFT_ENTRY_KIND_COMMAND, Data: fmt.Appendf(nil, "command %d", index)})
	}
	return all
}

func openStore(t *testing.T, path string) (*Store, *State, error) {
	folder, err := OSFolder(path)
	is.New(t).NoErr(err)
	return Open(folder, Options{SegmentBytes: 400})
}

// writeBatches writes batches of three entries each, over several segments.
func writeBatches(t *testing.T, path string, batches uint64) {
	is := is.New(t)
	store, _, err := openStore(t, path)
	is.NoErr(err)
	is.NoErr(store.Save(Batch{Hard: &lilacv1.RaftHardState{Id: "a", Group: "g", Term: 1}}))
	for i := range batches {
		is.NoErr(store.Save(Batch{Entries: entries(3*i+1, 3*i+3, 1)}))
	}
	is.NoErr(store.Close())
}

func lastSegment(t *testing.T, path string) string {
	files, err := filepath.Glob(filepath.Join(path, "log-*"))
	is.New(t).NoErr(err)
	return files[len(files)-1]
}

func TestSavedStateIsRestored(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	writeBatches(t, path, 20)
	store, state, err := openStore(t, path)
	is.NoErr(err)
	is.Equal(len(state.Entries), 60)
	is.Equal(state.Hard.GetId(), "a")
	// Entries from a new leader replace the end of the log.
	is.NoErr(store.Save(Batch{Hard: &lilacv1.RaftHardState{Id: "a", Group: "g", Term: 2, Vote: "b"}, Entries: entries(50, 52, 2)}))
	is.NoErr(store.Close())
	store, state, err = openStore(t, path)
	is.NoErr(err)
	is.Equal(len(state.Entries), 52)
	is.Equal(state.Entries[51].GetTerm(), uint64(2))
	is.Equal(state.Hard.GetVote(), "b")

	meta := &lilacv1.RaftSnapshotMeta{Index: 40, Term: 1, Size: 5}
	is.NoErr(saveSnapshot(store, meta, []byte("state"), 30))
	chunk, err := store.ReadSnapshot(2, 100)
	is.NoErr(err)
	is.Equal(string(chunk), "ate")
	is.NoErr(store.Close())
	_, state, err = openStore(t, path)
	is.NoErr(err)
	is.Equal(string(state.SnapshotData), "state")
	is.Equal(state.Entries[0].GetIndex(), uint64(41))
	is.Equal(len(state.Entries), 12)
}

// The machine crashes during a write. Whatever part of the last record reached the disk,
// the process must start with all previous batches.
func TestTornTailIsTruncated(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	writeBatches(t, path, 3)
	name := lastSegment(t, path)
	intact, err := os.ReadFile(name)
	is.NoErr(err)
	store, before, err := openStore(t, path)
	is.NoErr(err)
	is.NoErr(store.Save(Batch{Entries: entries(10, 12, 1)}))
	is.NoErr(store.Close())
	torn, err := os.ReadFile(name)
	is.NoErr(err)
	for size := len(intact) + 1; size < len(torn); size++ {
		is.NoErr(os.WriteFile(name, torn[:size], 0o600))
		store, state, err := openStore(t, path)
		is.NoErr(err)
		is.Equal(len(state.Entries), len(before.Entries))
		is.Equal(state.TruncatedBytes, int64(size-len(intact)))
		is.NoErr(store.Close())
		info, err := os.Stat(name)
		is.NoErr(err)
		is.Equal(info.Size(), int64(len(intact)))
	}
}

// A disk block under synced records becomes corrupt. The process must not start, since it
// would forget or alter data that it has acknowledged. The error names the file, the
// offset and the remedy.
func TestCorruptionPreventsOpen(t *testing.T) {
	flip := func(offset int64) func(*testing.T, string) {
		return func(t *testing.T, name string) {
			data, err := os.ReadFile(name)
			is.New(t).NoErr(err)
			data[offset] ^= 1
			is.New(t).NoErr(os.WriteFile(name, data, 0o600))
		}
	}
	remove := func(t *testing.T, name string) { is.New(t).NoErr(os.Remove(name)) }
	cases := []struct {
		name, file string
		corrupt    func(*testing.T, string)
	}{
		{"first record of the first file", "log-0000000000000001", flip(9)},
		{"length in the first file", "log-0000000000000001", flip(1)},
		{"last record of a file followed by others", "log-0000000000000002", flip(399)},
		{"missing file in the middle", "log-0000000000000002", remove},
		{"snapshot metadata", "snapshot-0000000000000028-0000000000000001", flip(10)},
		{"snapshot data", "snapshot-0000000000000028-0000000000000001", flip(30)},
		{"missing snapshot that the log needs", "snapshot-0000000000000028-0000000000000001", remove},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			path := t.TempDir()
			writeBatches(t, path, 20)
			if strings.HasPrefix(c.file, "snapshot") {
				store, _, err := openStore(t, path)
				is.NoErr(err)
				is.NoErr(saveSnapshot(store, &lilacv1.RaftSnapshotMeta{Index: 40, Term: 1, Size: 20}, make([]byte, 20), 40))
				is.NoErr(store.Close())
			}
			c.corrupt(t, filepath.Join(path, c.file))
			_, _, err := openStore(t, path)
			var corruption *CorruptionError
			is.True(errors.As(err, &corruption))
			is.True(strings.Contains(err.Error(), path))
			is.True(strings.Contains(err.Error(), "move the data folder away"))
			_, err = Inspect(ReadOnlyFolder(path))
			is.True(errors.As(err, &corruption))
		})
	}
}

// A crash cannot reorder two synced records, so an invalid record in the last file that is
// followed by a valid one is corruption too.
func TestCorruptionBeforeValidRecordPreventsOpen(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	writeBatches(t, path, 3)
	name := lastSegment(t, path)
	data, err := os.ReadFile(name)
	is.NoErr(err)
	data[len(data)/2] ^= 1
	is.NoErr(os.WriteFile(name, data, 0o600))
	_, _, err = openStore(t, path)
	var corruption *CorruptionError
	is.True(errors.As(err, &corruption))
	is.True(corruption.Offset > 0)
}

// Two processes are configured with the same data folder by mistake. The second one must
// report this and leave the files unchanged.
func TestFolderIsLocked(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	store, _, err := openStore(t, path)
	is.NoErr(err)
	_, _, err = openStore(t, path)
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE))
	is.True(strings.Contains(err.Error(), "give each process its own"))
	is.NoErr(store.Close())
	store, _, err = openStore(t, path)
	is.NoErr(err)
	is.NoErr(store.Close())
}

// limitedFolder accepts only freeBytes more bytes.
type limitedFolder struct {
	Folder
	freeBytes int
}

type limitedFile struct {
	File
	folder *limitedFolder
}

func (f *limitedFolder) Create(name string) (File, error) {
	file, err := f.Folder.Create(name)
	return &limitedFile{file, f}, err
}

func (f *limitedFile) Write(b []byte) (int, error) {
	n := min(len(b), f.folder.freeBytes)
	f.folder.freeBytes -= n
	if _, err := f.File.Write(b[:n]); err != nil || n == len(b) {
		return n, err
	}
	return n, unix.ENOSPC
}

// The disk fills up during a write. The write fails with DISK_FULL, nothing of it remains,
// and the same batch succeeds once there is space.
func TestBatchIsRetriedAfterDiskFull(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	inner, err := OSFolder(path)
	is.NoErr(err)
	folder := &limitedFolder{Folder: inner, freeBytes: 1000}
	store, _, err := Open(folder, Options{SegmentBytes: 400})
	is.NoErr(err)
	is.NoErr(store.Save(Batch{Hard: &lilacv1.RaftHardState{Id: "a"}}))
	for i := uint64(1); ; i++ {
		err = store.Save(Batch{Entries: entries(i, i, 1)})
		if err != nil {
			is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_DISK_FULL))
			is.Equal(fault.NotRunOf(err), lilacv1.NotRun_NOT_RUN_TRUE)
			folder.freeBytes = 1000
			is.NoErr(store.Save(Batch{Entries: entries(i, i, 1)}))
			is.NoErr(store.Close())
			_, state, err := openStore(t, path)
			is.NoErr(err)
			is.Equal(len(state.Entries), int(i))
			is.Equal(state.TruncatedBytes, int64(0))
			return
		}
	}
}

// Guards against a state or batch larger than a record that is written as one record: it
// would be rejected as corrupt at the next start.
func TestLargeStateAndBatchAreRestored(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	store, _, err := openStore(t, path)
	is.NoErr(err)
	var batch []*lilacv1.RaftEntry
	for index := uint64(1); index <= 70; index++ {
		batch = append(batch, &lilacv1.RaftEntry{Index: index, Term: 1, Data: make([]byte, 1<<20)})
	}
	is.NoErr(store.Save(Batch{Hard: &lilacv1.RaftHardState{Id: "a", Group: "g", Term: 1}, Entries: batch}))
	data := make([]byte, 2*snapshotPartBytes+5)
	for i := range data {
		data[i] = byte(i / 7)
	}
	is.NoErr(saveSnapshot(store, &lilacv1.RaftSnapshotMeta{Index: 60, Term: 1, Size: uint64(len(data))}, data, 60))
	var read []byte
	for len(read) < len(data) {
		chunk, err := store.ReadSnapshot(uint64(len(read)), 3<<20)
		is.NoErr(err)
		is.True(len(chunk) > 0)
		read = append(read, chunk...)
	}
	is.True(string(read) == string(data))
	is.NoErr(store.Close())
	store, state, err := openStore(t, path)
	is.NoErr(err)
	is.Equal(len(state.Entries), 10)
	is.True(string(state.SnapshotData) == string(data))
	is.NoErr(store.Close())
}

func TestInspectReadsARunningFolder(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	writeBatches(t, path, 20)
	store, _, err := openStore(t, path)
	is.NoErr(err)
	defer store.Close()
	report, err := Inspect(ReadOnlyFolder(path))
	is.NoErr(err)
	is.Equal(report.ID, "a")
	is.Equal(report.LastIndex, uint64(60))
	is.True(report.Segments > 2)
	_, err = Inspect(ReadOnlyFolder(filepath.Join(path, "missing")))
	is.True(err != nil)
	report, err = Inspect(ReadOnlyFolder(t.TempDir()))
	is.NoErr(err)
	is.True(report.Empty)
}

// FuzzRead reads arbitrary bytes as a log file: the reader must return an error or a
// state, and never panic.
func FuzzRead(f *testing.F) {
	f.Add([]byte{})
	f.Add(appendRecord(nil, 0, marshal(&lilacv1.WalRecord{Segment: 1, Hard: &lilacv1.RaftHardState{Id: "a"}})))
	two := appendRecord(nil, 0, marshal(&lilacv1.WalRecord{Segment: 1}))
	f.Add(appendRecord(two, int64(len(two)), marshal(&lilacv1.WalRecord{Entries: entries(1, 3, 1)})))
	f.Add(appendRecord(two, int64(len(two)), marshal(&lilacv1.WalRecord{Entries: entries(5, 6, 1), Base: &lilacv1.RaftSnapshotMeta{Index: 3}})))
	f.Fuzz(func(t *testing.T, data []byte) {
		path := t.TempDir()
		is.New(t).NoErr(os.WriteFile(filepath.Join(path, segmentName(1)), data, 0o600))
		folder := ReadOnlyFolder(path)
		if report, err := Inspect(folder); err == nil {
			is.New(t).True(report.LastIndex >= report.FirstIndex)
		}
	})
}

// saveSnapshot writes and publishes a snapshot of the local state.
func saveSnapshot(s *Store, meta *lilacv1.RaftSnapshotMeta, data []byte, keep uint64) error {
	if err := s.WriteSnapshot(meta, data); err != nil {
		return err
	}
	return s.PublishSnapshot(meta, keep)
}
