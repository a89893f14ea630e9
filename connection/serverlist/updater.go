package serverlist

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

const (
	// queryTimeout bounds one query of another process: its wait for a change, and the
	// latency between regions.
	queryTimeout = maxPollWait + 500*time.Millisecond
	// readTimeout bounds one read of the platform's list.
	readTimeout = 2 * time.Second
	// retryInterval limits the CPU time spent if each read fails at once.
	retryInterval = 200 * time.Millisecond
	// refusedLogInterval bounds the lines on entries that come and go.
	refusedLogInterval = 10 * time.Second
)

// Options configure an Updater.
type Options struct {
	// Upstream returns the processes to query, in order of preference. If it returns none,
	// or none responds, this process reads the platform's list itself.
	Upstream func() []link.Caller
	// List is the platform's list; Every is the interval between two reads.
	List  gateway.ServerList
	Every time.Duration
	// OnList is called with each list that differs from the last; may be nil.
	OnList func([]routing.Server)
	// CountRefused counts refused entries of the platform's list, by field; may be nil.
	CountRefused func(field string, count int)
	Logger       hclog.Logger
}

// Updater keeps a Store up to date, from other processes or from the platform.
type Updater struct {
	Options
	store       *Store
	unavailable bool
	// wantsAll is true if changes couldn't be applied.
	wantsAll bool
	// refused is the Sum of the refused entries that were logged last, loggedAt when.
	refused  uint64
	loggedAt time.Time
}

// NewUpdater returns an Updater of the store, which does nothing until Run.
func NewUpdater(store *Store, o Options) *Updater {
	if o.OnList == nil {
		o.OnList = func([]routing.Server) {}
	}
	if o.CountRefused == nil {
		o.CountRefused = func(string, int) {}
	}
	return &Updater{Options: o, store: store}
}

// Run updates the store until ctx ends.
func (u *Updater) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if u.query(ctx) {
			continue
		}
		err := u.read(ctx)
		u.logTransition(ctx, err)
		pause := u.Every
		if err != nil {
			pause = retryInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// query asks the upstream processes one after the other for the list, and reports whether
// one of them responded.
func (u *Updater) query(ctx context.Context) bool {
	for _, caller := range u.Upstream() {
		queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		reply := &lilacv1.ServersReply{}
		err := caller.Call(queryCtx, Method, &lilacv1.ServersRequest{Have: u.have(), AcceptsChanges: true}, reply)
		cancel()
		if err != nil {
			continue
		}
		if reply.GetVersion() == u.store.Version() {
			u.store.Confirm()
		} else {
			u.applyReply(reply)
		}
		u.logTransition(ctx, nil)
		return true
	}
	return false
}

func (u *Updater) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	servers, refused, err := u.List.Fetch(ctx)
	if err != nil {
		return err
	}
	u.report(&refused)
	u.apply(servers)
	return nil
}

// report counts the refused entries, and logs them when they change.
func (u *Updater) report(refused *gateway.Refusals) {
	for _, field := range refused.Fields() {
		u.CountRefused(field.String(), refused.ByField[field])
	}
	if refused.Sum == u.refused || !u.loggedAt.IsZero() && time.Since(u.loggedAt) < refusedLogInterval {
		return
	}
	u.refused, u.loggedAt = refused.Sum, time.Now()
	if refused.Total == 0 {
		u.Logger.Info("list of backend servers has no refused entry any more")
		return
	}
	var entries []string
	for _, entry := range refused.Examples {
		entries = append(entries, fmt.Sprintf("%q: %s", entry.Identity, entry.Field))
	}
	u.Logger.Warn("entries of the list of backend servers refused; the others are used. Find out who writes them",
		"refused", refused.Total, "entries", entries)
}

// have returns the version of the stored list, or 0 if the whole list is wanted.
func (u *Updater) have() uint64 {
	if u.wantsAll {
		return 0
	}
	return u.store.Version()
}

// applyReply applies the list or the changes of an upstream process. If the changes don't lead to
// the list that the reply names, the next query asks for the whole list.
func (u *Updater) applyReply(reply *lilacv1.ServersReply) {
	changed, ok := u.store.Apply(reply)
	u.wantsAll = !ok
	switch {
	case !ok:
		u.Logger.Warn("changes to the list of backend servers don't fit the list held; asking for all of it",
			"held", u.store.Version(), "since", reply.GetSince(), "version", reply.GetVersion())
	case changed:
		u.notify()
	}
}

func (u *Updater) apply(servers []routing.Server) {
	if u.store.Set(servers) {
		u.notify()
	}
}

func (u *Updater) notify() {
	servers, _ := u.store.Current()
	u.Logger.Info("list of backend servers changed", "servers", len(servers))
	u.OnList(servers)
}

// logTransition logs when the list becomes unavailable or available again.
func (u *Updater) logTransition(ctx context.Context, err error) {
	if ctx.Err() != nil || u.unavailable == (err != nil) {
		return
	}
	u.unavailable = err != nil
	if u.unavailable {
		u.Logger.Warn("list of backend servers unavailable; the last one stays in force", "error", err)
	} else {
		u.Logger.Info("list of backend servers available again")
	}
}
