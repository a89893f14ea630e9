package replica

import (
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/clock"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/wal"
)

const (
	// defaultSnapshotEvery is the number of entries between two snapshots.
	defaultSnapshotEvery = 20000
	// snapshotBytes is the size of applied entries after which a snapshot is taken
	// regardless of their number, because they are held in memory until then.
	snapshotBytes = 16 << 20
)

// StateMachine is the replicated state machine. All methods are called from one
// goroutine. Apply must be deterministic across processes.
type StateMachine interface {
	// Apply runs a committed command and returns the result for its proposer.
	Apply(index uint64, command []byte) []byte
	// Capture captures the current state and returns a function that encodes it. That
	// function is called once, from another goroutine, concurrently with Apply.
	Capture() (encode func() ([]byte, error))
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// Transport sends messages to other processes. It may lose, delay, duplicate and
// reorder them. Send must not block.
type Transport interface {
	Send(address string, messages []*lilacv1.RaftMessage)
}

// Options configures a Node or Runner.
type Options struct {
	// Name, Address and DataCenter describe this process, as in the settings.
	Name, Address, DataCenter string
	// Peers are the other processes listed in the settings.
	Peers []Peer
	// Bootstrap permits a process with an empty data folder to bootstrap the group with Peers.
	Bootstrap bool
	// AutoMembers is Config.AutoMembers.
	AutoMembers bool
	// Heartbeat and Election are the heartbeat interval and minimum election timeout.
	Heartbeat, Election time.Duration
	// Folder holds the durable files.
	Folder wal.Folder
	// Machine is the state machine that committed commands are applied to.
	Machine StateMachine
	// Transport sends messages to the other processes.
	Transport Transport
	// Logger receives log messages on state changes; nil disables logging.
	Logger hclog.Logger
	// Registerer registers the metrics; nil means that they are not registered.
	Registerer prometheus.Registerer
	// SnapshotEvery is the number of entries between snapshots; 0 means 20000.
	SnapshotEvery uint64
	// SegmentBytes is wal.Options.SegmentBytes.
	SegmentBytes int64
	// AppendBytes and ChunkBytes are those of Config.
	AppendBytes, ChunkBytes int
	// MaxBatch bounds the events that share one sync; 0 means 1024.
	MaxBatch int
	// Clock returns the time since any fixed origin; nil means the time since boot,
	// including suspension.
	Clock func() time.Duration
	// Random returns random bits for identities and election timeouts; nil means those
	// of the operating system.
	Random func() uint64
	// Background runs long work, such as writing a snapshot, concurrently. Nil means
	// synchronously for a Runner and in a new goroutine for a Node.
	Background func(work func())
	// Observe, if not nil, is called with each action of the core.
	Observe func(Action)
}

// Outcome is the result of a proposal, read or membership change.
type Outcome struct {
	Result []byte
	Err    error
}

// Reply receives an outcome. It must not block.
type Reply func(Outcome)

// Request is an event and the callback for its outcome. Reply is required for Propose,
// Read and ChangeMembers, and unused for other events.
type Request struct {
	Event Event
	Reply Reply
}

// Runner connects a Core to the files, the transport and the state machine. It has no
// goroutine of its own and is not safe for concurrent use: Node drives it from one
// goroutine, randomised tests drive it with a simulated clock and disk.
type Runner struct {
	options Options
	logger  hclog.Logger
	metrics *metrics
	store   *wal.Store
	core    *Core

	lastRequestID    uint64
	proposalReplies  map[uint64]Reply
	proposalsByIndex map[uint64]pendingProposal
	waitingReads     []waitingRead
	readReplies      map[uint64]Reply
	pendingWrites    []durableWrite
	diskFull         bool
	applied          uint64
	// snapshotIndex is the index of the last snapshot published or installed,
	// bytesSinceSnapshot the size of the entries applied since.
	snapshotIndex      uint64
	bytesSinceSnapshot int
	// snapshotWrite is the snapshot being written in the background; nil if none.
	snapshotWrite *snapshotWrite
	// snapshotRetryAt is when a snapshot may be retried after the disk was full.
	snapshotRetryAt time.Duration
	// electedAt is when this process became leader, until it has applied everything
	// committed before; 0 otherwise.
	electedAt time.Duration
	fatalErr  error
}

// pendingProposal is a proposal that is appended to the log but not yet applied.
type pendingProposal struct {
	term  uint64
	reply Reply
}

type waitingRead struct {
	index uint64
	reply Reply
}

// NewRunner opens the data folder and restores the state machine. The caller must
// Close the Runner.
func NewRunner(o Options) (*Runner, error) {
	o.setDefaults()
	store, state, err := wal.Open(o.Folder, wal.Options{SegmentBytes: o.SegmentBytes})
	if err != nil {
		return nil, err
	}
	r := &Runner{options: o, logger: o.Logger, metrics: newMetrics(o.Registerer, o.Name), store: store,
		proposalReplies: map[uint64]Reply{}, proposalsByIndex: map[uint64]pendingProposal{}, readReplies: map[uint64]Reply{}}
	if err := r.restore(state); err != nil {
		store.Close()
		return nil, err
	}
	return r, nil
}

func (o *Options) setDefaults() {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = defaultSnapshotEvery
	}
	if o.MaxBatch == 0 {
		o.MaxBatch = defaultMaxBatch
	}
	if o.Clock == nil {
		o.Clock = clock.Boot
	}
	if o.Background == nil {
		o.Background = func(work func()) { work() }
	}
	if o.Random == nil {
		o.Random = randomBits
	}
}

func (r *Runner) restore(state *wal.State) error {
	if state.TruncatedBytes > 0 {
		r.metrics.truncatedBytes.Add(float64(state.TruncatedBytes))
		r.logger.Warn("truncated a record at the end of the log that was torn by a crash", "file", state.TruncatedFile, "bytes", state.TruncatedBytes)
	}
	if by := state.Hard.GetReplacedBy(); by != "" {
		return replacedError(r.options.Folder.Path(), state.Hard.GetGroup(), by)
	}
	meta := state.Snapshot
	if state.Hard.GetGroup() != "" && meta.GetSize() > 0 {
		if err := r.options.Machine.Restore(state.SnapshotData); err != nil {
			return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "snapshot can't be restored; run the version that wrote it, or move the data folder away so that this process joins again")
		}
	}
	o := r.options
	// Identities have a fixed length so that they sort and align well.
	identity := func() string { return fmt.Sprintf("%016x", o.Random()) }
	config := Config{Name: o.Name, Address: o.Address, DataCenter: o.DataCenter, ID: identity(), NewGroupID: identity(),
		Peers: o.Peers, Bootstrap: o.Bootstrap, AutoMembers: o.AutoMembers, Heartbeat: o.Heartbeat, Election: o.Election, AppendBytes: o.AppendBytes, ChunkBytes: o.ChunkBytes, Seed: o.Random()}
	r.core = NewCore(config, Restored{Hard: state.Hard, Snapshot: meta, Entries: state.Entries}, o.Clock())
	r.applied, r.snapshotIndex = r.core.applied, r.core.applied
	return nil
}

// TermAt returns the term of the entry at index; 0 if the log does not hold it, for
// example because a snapshot covers it.
func (r *Runner) TermAt(index uint64) uint64 { return r.core.TermAt(index) }
