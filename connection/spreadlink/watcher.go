package spreadlink

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/clock"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/logs"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/config"
	"github.com/lilacbridge/lilacbridge/version/model"
	"github.com/lilacbridge/lilacbridge/version/spread"
)

const (
	tickInterval = 250 * time.Millisecond
	// retryDelay prevents a busy loop when a target fails immediately.
	retryDelay = 200 * time.Millisecond
)

// Options configure a Watcher.
type Options struct {
	// Instance and DataCenter identify the entry itself.
	Instance   string
	DataCenter string
	// StatePeers lists all state processes.
	StatePeers []settings.Peer
	// Entries lists the entries known at start; SetEntries replaces them.
	Entries []settings.Peer
	// Dial returns the caller for an address; the same one each time.
	Dial func(address string) link.Caller
	// Timing sets after how much silence a sender is replaced; zero means spread.DefaultTiming.
	Timing spread.Timing
	// OnView is called with each newer revision, in order; may be nil.
	OnView func(*model.View)
	// Logger logs each change of sender, each snapshot, and when the entry falls behind
	// the newest revision or catches up; may be nil.
	Logger hclog.Logger
	// Clock includes time spent suspended; nil means clock.Boot.
	Clock func() time.Duration
}

// Watcher keeps the configuration of one entry up to date. It is a Source, so that
// other entries can watch this one.
type Watcher struct {
	options  Options
	log      *logs.Log
	follower *config.Follower
	core     *spread.Core
	events   chan spread.Event

	mu        sync.Mutex
	entries   []settings.Peer
	changed   chan struct{}
	freshness freshness
	progress  progress

	// receiving is held by the goroutine that receives; it guards assembly.
	receiving sync.Mutex
	assembly  spread.Assembly
}

var _ Source = (*Watcher)(nil)

// NewWatcher returns a Watcher without any revision; Run receives them.
func NewWatcher(options Options) *Watcher {
	if options.Timing == (spread.Timing{}) {
		options.Timing = spread.DefaultTiming
	}
	if options.OnView == nil {
		options.OnView = func(*model.View) {}
	}
	if options.Clock == nil {
		options.Clock = clock.Boot
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	longAgo := options.Clock() - initialAge
	return &Watcher{
		options:  options,
		log:      logs.New(options.Logger),
		follower: config.NewFollower(),
		core:     spread.NewCoreWithTiming(options.Instance, options.Timing),
		events:   make(chan spread.Event, 64),
		entries:  options.Entries,
		changed:  make(chan struct{}),

		freshness: freshness{asOf: longAgo, confirmedAt: longAgo},
	}
}

// Current returns the view of the newest applied revision, or nil before the first.
func (w *Watcher) Current() *model.View { return w.follower.Current() }

// Revision returns the number of the newest applied revision.
func (w *Watcher) Revision() uint64 { return w.follower.Revision() }

// Since implements Source.
func (w *Watcher) Since(have uint64, limit int) ([]*lilacv1.Revision, bool) {
	return w.follower.Since(have, limit)
}

// Config implements Source.
func (w *Watcher) Config() *lilacv1.Snapshot { return w.follower.Config() }

// Changed implements Source.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// SetStatePeers replaces the list of state processes.
func (w *Watcher) SetStatePeers(peers []settings.Peer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.options.StatePeers = peers
}

// SetEntries replaces the list of live entries of all data centres.
func (w *Watcher) SetEntries(entries []settings.Peer) {
	w.mu.Lock()
	w.entries = slices.Clone(entries)
	w.mu.Unlock()
	w.send(context.Background(), w.entriesEvent())
}

func (w *Watcher) entriesEvent() spread.Entries {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for _, entry := range w.entries {
		if entry.DataCenter == w.options.DataCenter {
			names = append(names, entry.Name)
		}
	}
	return spread.Entries{Names: names}
}

// send passes an event to the core and drops it if the queue is full. The list of
// entries is not lost by that, since Run reads it again on each tick.
func (w *Watcher) send(ctx context.Context, event spread.Event) {
	select {
	case w.events <- event:
	case <-ctx.Done():
	default:
	}
}

// Run receives revisions until ctx ends, and then returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var following sync.WaitGroup
	defer following.Wait()
	stop := context.CancelFunc(func() {})
	defer func() { stop() }()
	step := func(event spread.Event) {
		for _, follow := range w.core.Step(time.Now(), event) {
			stop()
			var followCtx context.Context
			followCtx, stop = context.WithCancel(ctx)
			following.Go(func() { w.follow(followCtx, follow) })
		}
	}
	step(w.entriesEvent())
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-w.events:
			step(event)
		case <-ticker.C:
			step(w.entriesEvent())
			if target, ok := w.checkProgress(); ok {
				step(spread.UpdateProgress{Target: target})
			}
			step(spread.Tick{})
		}
	}
}

// follow receives from one target until the stream fails or ctx ends.
func (w *Watcher) follow(ctx context.Context, follow spread.Follow) {
	target := follow.Target
	caller, prefix, name := w.caller(target)
	if caller == nil {
		w.reportBroken(ctx, target)
		return
	}
	w.receiving.Lock()
	defer w.receiving.Unlock()
	_, age := w.LatestKnown()
	w.log.Line(logs.StateChange, "following revisions", "from", name, "reason", string(follow.Reason), "revision", w.follower.Revision(), "age_ms", age.Milliseconds())
	started := w.options.Clock()
	err := w.receiveUpdates(ctx, caller, prefix, target)
	for fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_NOT_FOUND) {
		err = w.receiveSnapshot(ctx, caller, prefix, target)
		if err == nil {
			err = w.receiveUpdates(ctx, caller, prefix, target)
		}
	}
	if ctx.Err() != nil {
		return
	}
	// Failed attempts to reach a sender that never answered are not a change of state
	// and are logged at debug level only.
	level := hclog.Debug
	if w.receivedSince(started) {
		level = hclog.Info
	}
	w.options.Logger.Log(level, "revision stream failed", "from", name, "error", err)
	w.reportBroken(ctx, target)
}

func (w *Watcher) receivedSince(started time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.freshness.asOf > started
}

func (w *Watcher) reportBroken(ctx context.Context, target spread.Target) {
	select {
	case <-time.After(retryDelay):
	case <-ctx.Done():
		return
	}
	select {
	case w.events <- spread.StreamFailed{Target: target}:
	case <-ctx.Done():
	}
}

// caller returns the caller, method prefix and name of the target; a nil caller means
// that the target is unknown.
func (w *Watcher) caller(target spread.Target) (caller link.Caller, prefix, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !target.IsState() {
		for _, entry := range w.entries {
			if entry.Name == target.Entry {
				return w.options.Dial(entry.Address.Value), "entry", entry.Name
			}
		}
		return nil, "", ""
	}
	if len(w.options.StatePeers) == 0 {
		return nil, "", ""
	}
	peers := w.statePeersByDistance()
	peer := peers[target.StateIndex%len(peers)]
	return w.options.Dial(peer.Address.Value), "state", peer.Name
}

// StatePeers returns the state processes, those of the entry's data centre first.
func (w *Watcher) StatePeers() []settings.Peer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.statePeersByDistance()
}

// statePeersByDistance requires w.mu. Peers at the same distance are ordered by a hash
// that includes the name of the entry, so that the load is spread across them.
func (w *Watcher) statePeersByDistance() []settings.Peer {
	peers := slices.Clone(w.options.StatePeers)
	slices.SortStableFunc(peers, func(a, b settings.Peer) int {
		return cmp.Or(w.distance(a)-w.distance(b), cmp.Compare(xxhash.Sum64String(w.options.Instance+a.Name), xxhash.Sum64String(w.options.Instance+b.Name)))
	})
	return peers
}

func (w *Watcher) distance(peer settings.Peer) int {
	if peer.DataCenter == w.options.DataCenter {
		return 0
	}
	return 1
}

func (w *Watcher) receiveUpdates(ctx context.Context, caller link.Caller, prefix string, target spread.Target) error {
	stream, err := caller.Open(ctx, prefix+".watch", &lilacv1.WatchRequest{
		Have: w.follower.Revision(), Instance: w.options.Instance, DataCenter: w.options.DataCenter,
		SignOfLifeMs: uint32(w.options.Timing.HeartbeatInterval.Milliseconds()),
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	defer w.trackStream(stream, target)()
	for {
		update := &lilacv1.WatchUpdate{}
		if err := stream.Recv(update); err != nil {
			return err
		}
		asOf := newestAsOf(stream.RequestedAt(), update)
		if err := w.applyUpdate(update, asOf); err != nil {
			return err
		}
		age := time.Duration(update.GetAgeMs()) * time.Millisecond
		w.send(ctx, spread.UpdateReceived{Target: target, Age: age, Delay: w.options.Clock() - asOf - age})
	}
}

func (w *Watcher) applyUpdate(update *lilacv1.WatchUpdate, asOf time.Duration) error {
	// Without revisions in the update there is something to apply only if no revision
	// exists at all; the empty configuration then becomes the current one.
	if len(update.GetRevisions()) > 0 || w.follower.Current() == nil && update.GetNewest() == 0 {
		if err := w.apply(func() error { return w.follower.Apply(update.GetRevisions()) }); err != nil {
			return err
		}
	}
	w.recordNewest(update.GetNewest(), asOf)
	w.logLag()
	return nil
}

// apply runs change, and if the view has changed, calls OnView and wakes the streams
// that wait on Changed.
func (w *Watcher) apply(change func() error) error {
	w.setApplying(true)
	defer w.setApplying(false)
	before := w.follower.Current()
	if err := change(); err != nil {
		return err
	}
	view := w.follower.Current()
	if view == before {
		return nil
	}
	w.options.OnView(view)
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
	return nil
}

// receiveSnapshot receives a snapshot and applies it. It resumes an interrupted transfer
// if the sender still holds that snapshot.
func (w *Watcher) receiveSnapshot(ctx context.Context, caller link.Caller, prefix string, target spread.Target) error {
	started, bytes := w.options.Clock(), 0
	revision, part := w.assembly.Resume()
	stream, err := caller.Open(ctx, prefix+".snapshot", &lilacv1.SnapshotRequest{Instance: w.options.Instance, Revision: revision, FromPart: part})
	if err != nil {
		return err
	}
	defer stream.Close()
	defer w.trackStream(stream, target)()
	for {
		part := &lilacv1.SnapshotPart{}
		if err := stream.Recv(part); err != nil {
			return errors.Join(err, context.Cause(ctx))
		}
		bytes += len(part.GetData())
		snapshot, err := w.assembly.Add(part)
		if err != nil {
			return err
		}
		w.send(ctx, spread.UpdateReceived{Target: target})
		if snapshot != nil {
			w.log.Line(logs.StateChange, "received configuration snapshot", "revision", snapshot.GetRevision(), "document", snapshot.GetDocument().GetVersion(),
				"bytes", bytes, "after_ms", (w.options.Clock() - started).Milliseconds())
			return w.apply(func() error { return w.follower.Load(snapshot) })
		}
	}
}
