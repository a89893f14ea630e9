package secret

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/hashicorp/go-hclog"
)

// Reloadable is what a file of keys or tokens holds. Any goroutine may read it
// while it is reloaded.
type Reloadable[T any] struct {
	file  string
	read  func(file string) (T, error)
	value atomic.Pointer[T]
}

// Open reads the file with read, which is called again by Reload.
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

// Get returns the value as of the last Reload that went well.
func (r *Reloadable[T]) Get() T { return *r.value.Load() }

// Reload reads the file again. On an error the value before stays in force.
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

// ReloadOnHangUp reads the files again at each SIGHUP until ctx ends, and calls
// then once all are right. A file that is wrong changes nothing of its own.
func ReloadOnHangUp(ctx context.Context, logger hclog.Logger, then func(), files ...Reloader) {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUp:
			reload(logger, then, files)
		}
	}
}

func reload(logger hclog.Logger, then func(), files []Reloader) {
	var errs []error
	for _, file := range files {
		errs = append(errs, file.Reload())
	}
	if err := errors.Join(errs...); err != nil {
		logger.Error("keys not reloaded, the old ones stay in force", "error", err)
		return
	}
	then()
	logger.Info("keys reloaded")
}
