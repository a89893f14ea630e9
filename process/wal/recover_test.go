package wal

import (
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

var errCrash = errors.New("crash")

// crashFolder fails every operation that changes files after the first remaining ones, as
// if the process had crashed there.
type crashFolder struct {
	Folder
	remaining int
}

func (f *crashFolder) countOperation() error {
	f.remaining--
	if f.remaining < 0 {
		return errCrash
	}
	return nil
}

func (f *crashFolder) Create(name string) (File, error) {
	if err := f.countOperation(); err != nil {
		return nil, err
	}
	file, err := f.Folder.Create(name)
	return &crashFile{file, f}, err
}

func (f *crashFolder) Append(name string) (File, error) {
	file, err := f.Folder.Append(name)
	return &crashFile{file, f}, err
}

func (f *crashFolder) Rename(from, to string) error {
	if err := f.countOperation(); err != nil {
		return err
	}
	return f.Folder.Rename(from, to)
}

func (f *crashFolder) Remove(name string) error {
	if err := f.countOperation(); err != nil {
		return err
	}
	return f.Folder.Remove(name)
}

func (f *crashFolder) Truncate(name string, size int64) error {
	if err := f.countOperation(); err != nil {
		return err
	}
	return f.Folder.Truncate(name, size)
}

type crashFile struct {
	File
	folder *crashFolder
}

// Write writes only half of the bytes if the crash happens during it.
func (f *crashFile) Write(b []byte) (int, error) {
	if err := f.folder.countOperation(); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *crashFile) Sync() error {
	if err := f.folder.countOperation(); err != nil {
		return err
	}
	return f.File.Sync()
}

var _ io.Writer = (*crashFile)(nil)

// The recovery of a folder crashes at each of its steps in turn, and the state process is
// then started on the folder. With the new members under the old group's identity it
// would lead the old group alone, beside lost voters that return: the folder must be
// entirely the old one or entirely the new one.
func TestInterruptedRecoveryLeavesOneGroup(t *testing.T) {
	hard := &lilacv1.RaftHardState{Id: "new", Group: "h", Term: 2, Former: []string{"g"}}
	meta := &lilacv1.RaftSnapshotMeta{Index: 61, Term: 2, Size: 5, Members: &lilacv1.RaftMembers{Members: []*lilacv1.RaftMember{{Id: "new", Voter: true}}}}
	old, recovered := 0, 0
	for steps := 0; ; steps++ {
		is := is.New(t)
		path := t.TempDir()
		writeBatches(t, path, 20)
		folder, err := OSFolder(path)
		is.NoErr(err)
		store, _, err := Open(&crashFolder{folder, 1 << 30}, Options{SegmentBytes: 400})
		is.NoErr(err)
		store.folder.(*crashFolder).remaining = steps
		recoverErr := store.Recover(hard, meta, []byte("state"))
		store.Close()

		read, err := Read(folder)
		is.NoErr(err)
		store, state, err := openStore(t, path)
		is.NoErr(err)
		is.Equal(read.Hard.GetGroup(), state.Hard.GetGroup())
		switch state.Hard.GetGroup() {
		case "g":
			old++
			is.Equal(len(state.Entries), 60)
			is.Equal(state.Snapshot, nil)
			// Repeating the recovery succeeds.
			is.NoErr(store.Recover(hard, meta, []byte("state")))
		case "h":
			recovered++
			is.Equal(state.Hard.GetId(), "new")
			is.Equal(len(state.Entries), 0)
			is.Equal(state.Snapshot.GetIndex(), uint64(61))
			is.Equal(state.Snapshot.GetRecovered(), nil)
			is.Equal(string(state.SnapshotData), "state")
		}
		// The new group's later votes and entries are restored.
		is.NoErr(store.Save(Batch{Hard: &lilacv1.RaftHardState{Id: "new", Group: "h", Term: 3, Former: []string{"g"}}, Entries: entries(62, 63, 3)}))
		part, err := store.ReadSnapshot(0, 5)
		is.NoErr(err)
		is.Equal(string(part), "state")
		store.Close()
		store, state, err = openStore(t, path)
		is.NoErr(err)
		is.Equal(state.Hard.GetTerm(), uint64(3))
		is.Equal(len(state.Entries), 2)
		store.Close()
		if recoverErr == nil {
			break
		}
	}
	is := is.New(t)
	is.True(old > 2 && recovered > 2)
}
