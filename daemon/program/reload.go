package program

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lilacbridge/lilacbridge/daemon/signals"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

// pollInterval is how often the file is compared with the content read last.
// Polling is needed because a platform may change the file without a signal.
const pollInterval = 2 * time.Second

// Reloadable is a daemon that applies changed settings and keys while it runs.
type Reloadable[S Settings] interface {
	// Reload applies settings. If it returns an error, none of them have been applied.
	Reload(s S) error
	// ReloadKeys reads the files of keys and tokens again.
	ReloadKeys()
}

// reloader applies changes of a settings file to a running daemon.
type reloader[S Settings] struct {
	// file has the content read last, valid or not.
	file   settingsFile
	logger hclog.Logger
	daemon Reloadable[S]
}

// run reloads the file on SIGHUP and whenever polling finds a change, until ctx ends. SIGHUP
// reloads the keys as well.
func (r *reloader[S]) run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals.HangUps:
			r.reload(true)
			r.daemon.ReloadKeys()
		case <-ticker.C:
			r.reload(false)
		}
	}
}

// reload applies the file's settings if its content has changed. After a signal
// (signaled) it also logs read errors and unchanged content.
func (r *reloader[S]) reload(signaled bool) {
	content, err := os.ReadFile(r.file.name)
	switch {
	case err != nil:
		if signaled {
			r.logger.Error("settings not reloaded, keeping the current ones", "error", err)
		}
		return
	case bytes.Equal(content, r.file.content):
		if signaled {
			r.logger.Info("settings unchanged")
		}
		return
	}
	r.file.content = content
	if err := r.apply(content); err != nil {
		r.logger.Error("settings not reloaded, keeping the current ones", "error", err)
		return
	}
	r.logger.Info("settings reloaded")
}

func (r *reloader[S]) apply(content []byte) error {
	var s S
	updated := reflect.New(reflect.TypeOf(s).Elem()).Interface().(S)
	if err := settings.Parse(r.file.name, content, updated); err != nil {
		return err
	}
	return r.daemon.Reload(updated)
}
