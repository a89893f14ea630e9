package serverlist

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

const (
	// askTimeout bounds one question to another process: what it may wait, and a
	// way between regions.
	askTimeout = holdFor + 500*time.Millisecond
	// readTimeout bounds one reading of the platform's list.
	readTimeout = 2 * time.Second
	// failedPause keeps a process that fails at once from costing a processor.
	failedPause = 200 * time.Millisecond
)

// Options say where a Follower gets the list from.
type Options struct {
	// Upstream returns the processes to ask, the best first; none means that this
	// process reads the platform's list itself.
	Upstream func() []link.Caller
	// List is the platform's; Every is the pause between two readings.
	List  gateway.ServerList
	Every time.Duration
	// OnList is told of each list that differs from the last; may be nil.
	OnList func([]routing.Server)
	Logger hclog.Logger
}

// Updater keeps a Store up to date.
type Updater struct {
	Options
	holder *Store
	lost   bool
}

// NewUpdater returns a Follower of the holder; Run must be called.
func NewUpdater(holder *Store, o Options) *Updater {
	if o.OnList == nil {
		o.OnList = func([]routing.Server) {}
	}
	return &Updater{Options: o, holder: holder}
}

// Run follows the list until ctx ends.
func (f *Updater) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.ask(ctx) {
			continue
		}
		err := f.read(ctx)
		f.note(ctx, err)
		pause := f.Every
		if err != nil {
			pause = failedPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// ask puts the question to the processes in turn, and tells whether one answered.
func (f *Updater) ask(ctx context.Context) bool {
	for _, caller := range f.Upstream() {
		asked, cancel := context.WithTimeout(ctx, askTimeout)
		reply := &lilacv1.ServersReply{}
		err := caller.Call(asked, Method, &lilacv1.ServersRequest{Have: f.holder.Version()}, reply)
		cancel()
		if err != nil {
			continue
		}
		if reply.GetVersion() == f.holder.Version() {
			f.holder.Confirm()
		} else {
			f.take(decode(reply))
		}
		f.note(ctx, nil)
		return true
	}
	return false
}

func (f *Updater) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	servers, skipped, err := f.List.Fetch(ctx)
	if err != nil {
		return err
	}
	if skipped > 0 {
		f.Logger.Debug("entries of the list can't be read", "skipped", skipped)
	}
	f.take(servers)
	return nil
}

func (f *Updater) take(servers []routing.Server) {
	if f.holder.Set(servers) {
		f.Logger.Info("list of backend servers changed", "servers", len(servers))
		f.OnList(servers)
	}
}

// note writes a line when the list is lost or regained.
func (f *Updater) note(ctx context.Context, err error) {
	if ctx.Err() != nil || f.lost == (err != nil) {
		return
	}
	f.lost = err != nil
	if f.lost {
		f.Logger.Warn("lost the list of backend servers; the last one stays in force", "error", err)
	} else {
		f.Logger.Info("regained the list of backend servers")
	}
}
