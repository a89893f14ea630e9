package program

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lilacbridge/lilacbridge/process/settings"
)

// lookEvery is how often the file is compared with what was read last: platforms
// may change it without a signal.
const lookEvery = 2 * time.Second

// Reloadable daemons take changed settings while they run. An error refuses them
// whole: the old ones stay in force.
type Reloadable[S Settings] interface{ Reload(s S) error }

// reloader follows the settings file of a process.
type reloader[S Settings] struct {
	file    string
	logger  hclog.Logger
	daemon  Reloadable[S]
	content []byte
}

// follow reads the file again at SIGHUP and whenever its content has changed,
// until ctx ends.
func (r *reloader[S]) follow(ctx context.Context) {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUp:
			r.look(true)
		case <-ticker.C:
			r.look(false)
		}
	}
}

// look takes the file's settings in if they differ; asked is true after a signal.
func (r *reloader[S]) look(asked bool) {
	content, err := os.ReadFile(r.file)
	switch {
	case err != nil:
		if asked {
			r.logger.Error("settings not reloaded, the old ones stay in force", "error", err)
		}
		return
	case bytes.Equal(content, r.content):
		if asked {
			r.logger.Info("settings reloaded, nothing has changed")
		}
		return
	}
	r.content = content
	if err := r.take(content); err != nil {
		r.logger.Error("settings not reloaded, the old ones stay in force", "error", err)
		return
	}
	r.logger.Info("settings reloaded")
}

func (r *reloader[S]) take(content []byte) error {
	var s S
	fresh := reflect.New(reflect.TypeOf(s).Elem()).Interface().(S)
	if err := settings.Parse(r.file, content, fresh); err != nil {
		return err
	}
	return r.daemon.Reload(fresh)
}
