// Package wal keeps the durable files of one state process: the log in
// segments, the hard state, and snapshots, all in one data folder.
//
// A record lasts once Save, InstallSnapshot or PublishSnapshot has returned. A write that a crash
// tore at the end of the log is cut at the next start; damage anywhere else
// stops the start with an error that names the file, the offset and the remedy.
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

// File is an open file that is written at its end.
type File interface {
	io.Writer
	// Sync makes all that was written last.
	Sync() error
	Close() error
}

// Folder is the little of a filesystem that the log needs. Names have no path.
// Created, renamed and removed names last only after SyncFolder.
type Folder interface {
	// Path names the folder in messages.
	Path() string
	// List returns all names, sorted.
	List() ([]string, error)
	// Size returns the length of a file in bytes.
	Size(name string) (int64, error)
	// ReadAt reads up to n bytes from offset; less at the end of the file.
	ReadAt(name string, offset int64, n int) ([]byte, error)
	// Create makes an empty file, or empties it.
	Create(name string) (File, error)
	// Append opens a file to write at its end.
	Append(name string) (File, error)
	// Truncate cuts a file to size bytes and syncs it.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	SyncFolder() error
	// Lock keeps other processes out until it is closed.
	Lock() (io.Closer, error)
}

const lockName = "lock"

// osFolder is a folder of the operating system.
type osFolder struct{ path string }

// OSFolder returns the folder at path, and makes it if it is missing.
func OSFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "data folder can't be made; check `data` in the settings and its rights")
	}
	return &osFolder{path: path}, nil
}

// ReadOnlyFolder returns the folder at path without making it.
func ReadOnlyFolder(path string) Folder { return &osFolder{path: path} }

func (f *osFolder) file(name string) string { return filepath.Join(f.path, name) }

// Path names the folder in messages.
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

// Lock guards against two processes that share one data folder by a mistake in
// their settings: both would append to one file and the log would be damaged.
// It holds because the kernel gives the lock to one open file at a time and
// takes it back when the process ends, however it ends.
func (f *osFolder) Lock() (io.Closer, error) {
	file, err := os.OpenFile(f.file(lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		file.Close()
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE,
			"data folder "+f.path+" is in use by another process; give each process its own `data` folder, or end the other one")
	}
	return file, nil
}
