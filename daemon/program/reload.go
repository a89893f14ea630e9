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

// pollInterval is how often the file is compared with the content read last.
// Polling is needed because a platform may change the file without a signal.
const pollInterval = 2 * time.Second

// Reloadable is a daemon that applies changed settings while it runs. If Reload
// returns an error, none of the new settings have been applied.
type Reloadable[S Settings] interface{ Reload(s S) error }

// reloader applies changes of a settings file to a running daemon.
type reloader[S Settings] struct {
	file   string
	logger hclog.Logger
	daemon Reloadable[S]
	// content is the file content read last, valid or not.
	content []byte
}

// run reloads the file on SIGHUP and whenever polling finds a change, until ctx ends.
func (r *reloader[S]) run(ctx context.Context) {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
			r.reload(true)
		case <-ticker.C:
			r.reload(false)
		}
	}
}

// reload applies the file's settings if its content has changed. After a signal
// (signaled) it also logs read errors and unchanged content.
func (r *reloader[S]) reload(signaled bool) {
	content, err := os.ReadFile(r.file)
	switch {
	case err != nil:
		if signaled {
			r.logger.Error("settings not reloaded, keeping the current ones", "error", err)
		}
		return
	case bytes.Equal(content, r.content):
		if signaled {
			r.logger.Info("settings unchanged")
		}
		return
	}
	r.content = content
	if err := r.apply(content); err != nil {
		r.logger.Error("settings not reloaded, keeping the current ones", "error", err)
		return
	}
	r.logger.Info("settings reloaded")
}

func (r *reloader[S]) apply(content []byte) error {
	var s S
	updated := reflect.New(reflect.TypeOf(s).Elem()).Interface().(S)
	if err := settings.Parse(r.file, content, updated); err != nil {
		return err
	}
	return r.daemon.Reload(updated)
}
