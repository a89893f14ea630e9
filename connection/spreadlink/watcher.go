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
	tick = 250 * time.Millisecond
	// retryPause keeps a target that fails at once from costing a processor.
	retryPause = 200 * time.Millisecond
)

// Options say who watches and whom it may follow.
type Options struct {
	// Instance and DataCenter of the entry itself.
	Instance   string
	DataCenter string
	// StatePeers lists all state processes.
	StatePeers []settings.Peer
	// Entries lists the entries known at start; SetEntries replaces them.
	Entries []settings.Peer
	// Dial returns the caller for an address; the same one each time.
	Dial func(address string) link.Caller
	// Timing says how soon a silent sender is left; zero means spread.Usual.
	Timing spread.Timing
	// OnView is told of each newer revision, in order; may be nil.
	OnView func(*model.View)
	// Logger gets a line for each change of whom the entry follows, for each
	// snapshot, and when a newer revision is known than is held; may be nil.
	Logger hclog.Logger
	// Clock counts suspension too; nil means clock.Boot.
	Clock func() time.Duration
}

// Watcher follows the revisions on one entry and gives them on to others.
type Watcher struct {
	options Options
	log     *logs.Log
	holder  *config.Holder
	core    *spread.Core
	events  chan spread.Event

	mu       sync.Mutex
	entries  []settings.Peer
	changed  chan struct{}
	known    knowledge
	progress progress

	// receiving is held by the one goroutine that receives; it guards assembly.
	receiving sync.Mutex
	assembly  spread.Assembly
}

var _ Source = (*Watcher)(nil)

// NewWatcher returns a Watcher that holds no revision yet.
func NewWatcher(options Options) *Watcher {
	if options.Timing == (spread.Timing{}) {
		options.Timing = spread.Usual
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
	return &Watcher{
		options: options,
		log:     logs.New(options.Logger),
		holder:  config.NewHolder(),
		core:    spread.NewTimedCore(options.Instance, options.Timing),
		events:  make(chan spread.Event, 64),
		entries: options.Entries,
		changed: make(chan struct{}),
	}
}

// Current returns the newest revision in force here, or nil before the first.
func (w *Watcher) Current() *model.View { return w.holder.Current() }

// Revision returns the number of the newest revision in force here.
func (w *Watcher) Revision() uint64 { return w.holder.Revision() }

// Since returns revisions after have.
func (w *Watcher) Since(have uint64, limit int) ([]*lilacv1.Revision, bool) {
	return w.holder.Since(have, limit)
}

// Config returns the whole configuration.
func (w *Watcher) Config() *lilacv1.Snapshot { return w.holder.Config() }

// Changed returns a channel that is closed at the next revision.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// SetStatePeers replaces the state processes that may be followed.
func (w *Watcher) SetStatePeers(peers []settings.Peer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.options.StatePeers = peers
}

// SetEntries replaces the entries of all data centres that are taken for alive.
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

// send gives the core an event; the newest list of entries is never lost, since
// Run asks for it again on each tick.
func (w *Watcher) send(ctx context.Context, event spread.Event) {
	select {
	case w.events <- event:
	case <-ctx.Done():
	default:
	}
}

// Run follows the revisions until ctx ends, which gives nil.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var following sync.WaitGroup
	defer following.Wait()
	stop := context.CancelFunc(func() {})
	defer func() { stop() }()
	step := func(event spread.Event) {
		for _, follow := range w.core.Step(time.Now(), event) {
			stop()
			var followed context.Context
			followed, stop = context.WithCancel(ctx)
			following.Go(func() { w.follow(followed, follow) })
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
			if from, ok := w.receives(); ok {
				step(spread.Receiving{Target: from})
			}
			step(spread.Tick{})
		}
	}
}

// follow receives from one target until the stream breaks.
func (w *Watcher) follow(ctx context.Context, follow spread.Follow) {
	target := follow.Target
	caller, prefix, name := w.caller(target)
	if caller == nil {
		w.broken(ctx, target)
		return
	}
	w.receiving.Lock()
	defer w.receiving.Unlock()
	_, age := w.LatestKnown()
	w.log.Line(logs.Belief, "following revisions", "from", name, "reason", string(follow.Reason), "revision", w.holder.Revision(), "age_ms", age.Milliseconds())
	begun := w.options.Clock()
	err := w.receive(ctx, caller, prefix, target)
	for fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_NOT_FOUND) {
		err = w.fetch(ctx, caller, prefix, target)
		if err == nil {
			err = w.receive(ctx, caller, prefix, target)
		}
	}
	if ctx.Err() != nil {
		return
	}
	// A sender that never answered was not lost: trying all in turn while none is
	// there is no change of state.
	level := hclog.Debug
	if w.heardSince(begun) {
		level = hclog.Info
	}
	w.options.Logger.Log(level, "lost the sender of revisions", "from", name, "error", err)
	w.broken(ctx, target)
}

func (w *Watcher) heardSince(begun time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.known.at > begun
}

func (w *Watcher) broken(ctx context.Context, target spread.Target) {
	select {
	case <-time.After(retryPause):
	case <-ctx.Done():
		return
	}
	select {
	case w.events <- spread.Broken{Target: target}:
	case <-ctx.Done():
	}
}

// caller finds the target's address. State processes of the own data centre
// come first.
func (w *Watcher) caller(target spread.Target) (caller link.Caller, prefix, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !target.State() {
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
	near := w.nearest()
	peer := near[target.Turn%len(near)]
	return w.options.Dial(peer.Address.Value), "state", peer.Name
}

// StatePeers returns the state processes, those of the own data centre first.
func (w *Watcher) StatePeers() []settings.Peer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nearest()
}

// nearest needs w.mu. Entries of one data centre begin at different places of
// the others, by their names, so that not all ask the same.
func (w *Watcher) nearest() []settings.Peer {
	near := slices.Clone(w.options.StatePeers)
	slices.SortStableFunc(near, func(a, b settings.Peer) int {
		return cmp.Or(w.distance(a)-w.distance(b), cmp.Compare(xxhash.Sum64String(w.options.Instance+a.Name), xxhash.Sum64String(w.options.Instance+b.Name)))
	})
	return near
}

func (w *Watcher) distance(peer settings.Peer) int {
	if peer.DataCenter == w.options.DataCenter {
		return 0
	}
	return 1
}

func (w *Watcher) receive(ctx context.Context, caller link.Caller, prefix string, target spread.Target) error {
	stream, err := caller.Open(ctx, prefix+".watch", &lilacv1.WatchRequest{
		Have: w.holder.Revision(), Instance: w.options.Instance, DataCenter: w.options.DataCenter,
		SignOfLifeMs: uint32(w.options.Timing.SignOfLife.Milliseconds()),
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	defer w.receiveFrom(stream, target)()
	for {
		update := &lilacv1.WatchUpdate{}
		if err := stream.Recv(update); err != nil {
			return err
		}
		sure := sureAt(stream.RequestedAt(), update)
		if err := w.take(update, sure); err != nil {
			return err
		}
		age := time.Duration(update.GetAgeMs()) * time.Millisecond
		w.send(ctx, spread.Heard{Target: target, Age: age, Delay: w.options.Clock() - sure - age})
	}
}

func (w *Watcher) take(update *lilacv1.WatchUpdate, sure time.Duration) error {
	// A sender that holds nothing has nothing to say of the newest either.
	if len(update.GetRevisions()) > 0 || w.holder.Current() == nil && update.GetNewest() == 0 {
		if err := w.apply(func() error { return w.holder.Apply(update.GetRevisions()) }); err != nil {
			return err
		}
	}
	w.learn(update.GetNewest(), sure)
	w.noteBehind()
	return nil
}

// apply takes something newer into force and tells the watchers of this one.
func (w *Watcher) apply(change func() error) error {
	w.setApplying(true)
	defer w.setApplying(false)
	before := w.holder.Current()
	if err := change(); err != nil {
		return err
	}
	view := w.holder.Current()
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

// fetch takes a snapshot, from where the last transfer broke if the sender
// still holds that one.
func (w *Watcher) fetch(ctx context.Context, caller link.Caller, prefix string, target spread.Target) error {
	begun, bytes := w.options.Clock(), 0
	revision, part := w.assembly.Resume()
	stream, err := caller.Open(ctx, prefix+".snapshot", &lilacv1.SnapshotRequest{Instance: w.options.Instance, Revision: revision, FromPart: part})
	if err != nil {
		return err
	}
	defer stream.Close()
	defer w.receiveFrom(stream, target)()
	for {
		part := &lilacv1.SnapshotPart{}
		if err := stream.Recv(part); err != nil {
			return errors.Join(err, context.Cause(ctx))
		}
		bytes += len(part.GetData())
		whole, err := w.assembly.Add(part)
		if err != nil {
			return err
		}
		w.send(ctx, spread.Heard{Target: target})
		if whole != nil {
			w.log.Line(logs.Belief, "took a snapshot of the configuration", "revision", whole.GetRevision(), "document", whole.GetDocument().GetVersion(),
				"bytes", bytes, "after_ms", (w.options.Clock() - begun).Milliseconds())
			return w.apply(func() error { return w.holder.Load(whole) })
		}
	}
}
