package secret

import (
	"errors"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

// Reloadable is the content of a file of keys or tokens. It is safe for concurrent use,
// also during a reload.
type Reloadable[T any] struct {
	file  string
	read  func(file string) (T, error)
	value atomic.Pointer[T]
}

// Open reads the file with read. Reload calls read again.
func Open[T any](file string, read func(file string) (T, error)) (*Reloadable[T], error) {
	r := &Reloadable[T]{file: file, read: read}
	return r, r.Reload()
}

// Fixed returns a Reloadable that never changes.
func Fixed[T any](value T) *Reloadable[T] {
	r := &Reloadable[T]{read: func(string) (T, error) { return value, nil }}
	r.value.Store(&value)
	return r
}

// Get returns the value of the last successful Reload.
func (r *Reloadable[T]) Get() T { return *r.value.Load() }

// Reload reads the file again. On an error the previous value stays in force.
func (r *Reloadable[T]) Reload() error {
	value, err := r.read(r.file)
	if err != nil {
		return err
	}
	r.value.Store(&value)
	return nil
}

// Reloader is a file that can be read again.
type Reloader interface{ Reload() error }

// ReloadAll reloads the files, and calls then if all of them succeeded. A file that fails
// keeps its previous value.
func ReloadAll(logger hclog.Logger, then func(), files ...Reloader) {
	var errs []error
	for _, file := range files {
		errs = append(errs, file.Reload())
	}
	if err := errors.Join(errs...); err != nil {
		logger.Error("failed to reload keys; files with errors keep the previous ones", "error", err)
		return
	}
	then()
	logger.Info("keys reloaded")
}
