// Package wal stores the durable state of one state process in a data folder: the log in
// segments, the Raft hard state, and snapshots.
//
// Data is durable once Save, InstallSnapshot or PublishSnapshot has returned. A record at
// the end of the log that was torn by a crash is truncated at the next start; any other
// corruption prevents the start with an error that names the file, the offset and the
// remedy.
package wal

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"

	"golang.org/x/sys/unix"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// File is an open file to which data is appended.
type File interface {
	io.Writer
	// Sync makes everything written so far durable.
	Sync() error
	Close() error
}

// Folder is the subset of filesystem operations that the log needs. Names are relative to
// the folder. Creations, renames and removals are durable only after SyncFolder.
type Folder interface {
	// Path returns the folder's path, for use in messages.
	Path() string
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// Size returns the length of a file in bytes.
	Size(name string) (int64, error)
	// ReadAt reads up to n bytes from offset; fewer at the end of the file.
	ReadAt(name string, offset int64, n int) ([]byte, error)
	// Create creates an empty file, or truncates an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	// Truncate truncates a file to size bytes and syncs it.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	SyncFolder() error
	// Lock excludes other processes until the result is closed.
	Lock() (io.Closer, error)
}

const lockName = "lock"

// osFolder is a folder in the operating system's filesystem.
type osFolder struct{ path string }

// OSFolder returns the folder at path, creating it if it does not exist.
func OSFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "data folder can't be created; check `data` in the settings and its permissions")
	}
	return &osFolder{path: path}, nil
}

// ReadOnlyFolder returns the folder at path without creating it.
func ReadOnlyFolder(path string) Folder { return &osFolder{path: path} }

func (f *osFolder) file(name string) string { return filepath.Join(f.path, name) }

// Path returns the folder's path, for use in messages.
func (f *osFolder) Path() string { return f.path }

func (f *osFolder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if !entry.IsDir() && entry.Name() != lockName {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

func (f *osFolder) Size(name string) (int64, error) {
	info, err := os.Stat(f.file(name))
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (f *osFolder) ReadAt(name string, offset int64, n int) ([]byte, error) {
	file, err := os.Open(f.file(name))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	b := make([]byte, n)
	got, err := file.ReadAt(b, offset)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return b[:got], err
}

func (f *osFolder) Create(name string) (File, error) {
	return os.OpenFile(f.file(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

func (f *osFolder) Append(name string) (File, error) {
	return os.OpenFile(f.file(name), os.O_WRONLY|os.O_APPEND, 0o600)
}

func (f *osFolder) Truncate(name string, size int64) error {
	file, err := os.OpenFile(f.file(name), os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := file.Truncate(size); err != nil {
		return err
	}
	return file.Sync()
}

func (f *osFolder) Rename(from, to string) error { return os.Rename(f.file(from), f.file(to)) }

func (f *osFolder) Remove(name string) error { return os.Remove(f.file(name)) }

func (f *osFolder) SyncFolder() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// Lock prevents two processes from sharing one data folder through a mistake in their
// settings: both would append to the same file and corrupt the log. The kernel grants the
// lock to one open file at a time, and releases it when the process ends for any reason.
func (f *osFolder) Lock() (io.Closer, error) {
	file, err := os.OpenFile(f.file(lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		file.Close()
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE,
			"data folder "+f.path+" is in use by another process; give each process its own `data` folder, or stop the other one")
	}
	return file, nil
}
