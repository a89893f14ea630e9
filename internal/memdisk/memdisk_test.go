package memdisk

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/wal"
)

func write(is *is.I, folder wal.Folder, name, data string) {
	file, err := folder.Create(name)
	is.NoErr(err)
	_, err = file.Write([]byte(data))
	is.NoErr(err)
	is.NoErr(file.Sync())
	is.NoErr(file.Close())
}

func content(is *is.I, folder wal.Folder, name string) string {
	size, err := folder.Size(name)
	is.NoErr(err)
	data, err := folder.ReadAt(name, 0, int(size))
	is.NoErr(err)
	return string(data)
}

// Guards against tests that pass on a disk in memory because it does what no filesystem does.
func TestDiskBehavesAsTheFilesystem(t *testing.T) {
	onDisk, err := wal.OSFolder(t.TempDir())
	is.New(t).NoErr(err)
	for name, folder := range map[string]wal.Folder{"memory": New(), "filesystem": onDisk} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			write(is, folder, "b", "first")
			write(is, folder, "a", "other")
			names, err := folder.List()
			is.NoErr(err)
			is.Equal(names, []string{"a", "b"})

			file, err := folder.Append("b")
			is.NoErr(err)
			_, err = file.Write([]byte(" second"))
			is.NoErr(err)
			is.Equal(content(is, folder, "b"), "first second")
			part, err := folder.ReadAt("b", 6, 100)
			is.NoErr(err)
			is.Equal(string(part), "second")
			part, err = folder.ReadAt("b", 100, 1)
			is.NoErr(err)
			is.Equal(len(part), 0)
			is.NoErr(folder.Truncate("b", 2))
			is.Equal(content(is, folder, "b"), "fi")

			is.NoErr(folder.Rename("b", "a"))
			is.Equal(content(is, folder, "a"), "fi")
			is.NoErr(folder.Remove("a"))
			is.NoErr(folder.SyncFolder())
			// An open file outlives its name.
			_, err = file.Write([]byte("third"))
			is.NoErr(err)
			is.NoErr(file.Close())
			_, err = file.Write([]byte("fourth"))
			is.True(errors.Is(err, fs.ErrClosed))
			is.True(errors.Is(file.Sync(), fs.ErrClosed))

			for _, missing := range []error{
				folder.Rename("a", "b"), folder.Remove("a"), folder.Truncate("a", 0),
				second(folder.Size("a")), second(folder.ReadAt("a", 0, 1)), second(folder.Append("a")),
			} {
				is.True(errors.Is(missing, fs.ErrNotExist))
			}

			lock, err := folder.Lock()
			is.NoErr(err)
			_, err = folder.Lock()
			is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE))
			is.NoErr(lock.Close())
			lock, err = folder.Lock()
			is.NoErr(err)
			is.NoErr(lock.Close())
		})
	}
}

func second[T any](_ T, err error) error { return err }

// Guards against a simulated crash that keeps nothing, or everything, of what was not synced.
func TestCrashLosesOnlyWhatWasNotSynced(t *testing.T) {
	is := is.New(t)
	const seeds = 100
	lengths, kept := map[int]bool{}, 0
	for seed := range uint64(seeds) {
		disk := New()
		write(is, disk, "synced", "data")
		is.NoErr(disk.SyncFolder())
		lock, err := disk.Lock()
		is.NoErr(err)
		file, err := disk.Append("synced")
		is.NoErr(err)
		_, err = file.Write([]byte("tail"))
		is.NoErr(err)
		write(is, disk, "new", "data")
		disk.Crash(rand.New(rand.NewPCG(seed, 1)))

		data := content(is, disk, "synced")
		is.Equal(data[:4], "data")
		lengths[len(data)] = true
		if _, err := disk.Size("new"); err == nil {
			kept++
		}
		// The lock ended with the machine, and the closing of its old holder changes nothing.
		again, err := disk.Lock()
		is.NoErr(err)
		is.NoErr(lock.Close())
		_, err = disk.Lock()
		is.True(err != nil)
		is.NoErr(again.Close())
	}
	is.Equal(len(lengths), len("tail")+1)
	is.True(kept > 0 && kept < seeds)
}

// Guards against faults that don't strike, or that outlast Heal.
func TestFaultsStrikeOnceAndAreHealed(t *testing.T) {
	is := is.New(t)
	disk := New()
	file, err := disk.Create("a")
	is.NoErr(err)
	disk.LimitSpace(3)
	n, err := file.Write([]byte("data"))
	is.Equal(n, 3)
	is.True(errors.Is(err, unix.ENOSPC))
	_, err = disk.Create("b")
	is.True(errors.Is(err, unix.ENOSPC))
	disk.FailNextSync()
	is.Equal(file.Sync(), ErrSync)
	is.NoErr(file.Sync())

	disk.CrashDuring(2)
	is.NoErr(file.Sync())
	func() {
		defer func() { is.Equal(recover(), Crash{}) }()
		_ = file.Sync()
	}()
	disk.CrashDuring(1)
	disk.Heal()
	is.NoErr(file.Sync())
	_, err = file.Write([]byte("data"))
	is.NoErr(err)
}
