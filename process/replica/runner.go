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
	// snapshotBytes is the data of entries after which a snapshot is made in
	// any case: they are held in memory until then.
	snapshotBytes = 16 << 20
)

// StateMachine is what the log is for. One goroutine calls it. Apply must give
// the same result on every process.
type StateMachine interface {
	// Apply runs a committed command and returns the answer for its proposer.
	Apply(index uint64, command []byte) []byte
	// Capture notes the whole state as it is now and returns a function that
	// encodes it; another goroutine calls that one once, while Apply goes on.
	Capture() (encode func() ([]byte, error))
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// Transport carries messages to other processes. It may lose, delay, repeat
// and reorder them, and never blocks.
type Transport interface {
	Send(address string, messages []*lilacv1.RaftMessage)
}

// Options of a Node.
type Options struct {
	// Name, Address and DataCenter are those of the settings.
	Name, Address, DataCenter string
	// Peers are the other processes of the settings.
	Peers []Peer
	// Bootstrap lets an empty process found the group with Peers.
	Bootstrap bool
	// AutoMembers is passed to Config.
	AutoMembers bool
	// Heartbeat and Election are as in the settings.
	Heartbeat, Election time.Duration
	// Folder holds the durable files.
	Folder wal.Folder
	// Machine takes the committed commands.
	Machine StateMachine
	// Transport reaches the other processes.
	Transport Transport
	// Logger gets a line for each change of state; nil means none.
	Logger hclog.Logger
	// Registerer gets the metrics; nil means none.
	Registerer prometheus.Registerer
	// SnapshotEvery is the number of entries between snapshots; 0 means 20000.
	SnapshotEvery uint64
	// SegmentBytes is passed to wal.Options.
	SegmentBytes int64
	// AppendBytes and ChunkBytes are passed to Config.
	AppendBytes, ChunkBytes int
	// MaxBatch bounds the events that share one sync; 0 means 1024.
	MaxBatch int
	// Clock gives the time since any fixed moment; nil means the time since the
	// machine started, suspension included.
	Clock func() time.Duration
	// Random draws fresh bits for identities and election timeouts; nil means
	// the operating system's.
	Random func() uint64
	// Background runs work that may take long, such as writing a snapshot, beside
	// the turns; nil means at once, within the turn.
	Background func(work func())
	// Observe is told each action of the core; nil means nobody.
	Observe func(Action)
}

// Outcome is how a proposal, read or change of members ended.
type Outcome struct {
	Result []byte
	Err    error
}

// Reply takes an outcome; it must not block.
type Reply func(Outcome)

// Request is an event with who wants its outcome, if anyone.
type Request struct {
	Event Event
	Reply Reply
}

// Runner joins core, files and state machine. It has no goroutine of its own:
// Node turns it in one, and randomised tests turn it under a simulated clock
// and disk.
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
	// taken is the index of the last snapshot that was placed or installed,
	// grownBytes the data applied since.
	snapshotIndex      uint64
	bytesSinceSnapshot int
	// writing is the snapshot that is being written; nil if none is.
	snapshotWrite *snapshotWrite
	// snapshotAt is when a snapshot that failed may be tried again.
	snapshotRetryAt time.Duration
	// electedAt is when this process took office, until it has applied all that was
	// committed before; 0 otherwise.
	electedAt time.Duration
	fatalErr  error
}

// placed is a proposal that stands in the log.
type pendingProposal struct {
	term  uint64
	reply Reply
}

type waitingRead struct {
	index uint64
	reply Reply
}

// NewRunner reads the data folder and restores the state machine.
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
		r.logger.Warn("a crash tore the end of the log; it was cut", "file", state.TruncatedFile, "bytes", state.TruncatedBytes)
	}
	if by := state.Hard.GetReplacedBy(); by != "" {
		return replacedError(r.options.Folder.Path(), state.Hard.GetGroup(), by)
	}
	meta := state.Snapshot
	if state.Hard.GetGroup() != "" && meta.GetSize() > 0 {
		if err := r.options.Machine.Restore(state.SnapshotData); err != nil {
			return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "snapshot does not restore; run the version that wrote it, or move the data folder away so that this process joins again")
		}
	}
	o := r.options
	// An identity of fixed length sorts and prints well.
	identity := func() string { return fmt.Sprintf("%016x", o.Random()) }
	config := Config{Name: o.Name, Address: o.Address, DataCenter: o.DataCenter, ID: identity(), SpareID: identity(), NewGroupID: identity(),
		Peers: o.Peers, Bootstrap: o.Bootstrap, AutoMembers: o.AutoMembers, Heartbeat: o.Heartbeat, Election: o.Election, AppendBytes: o.AppendBytes, ChunkBytes: o.ChunkBytes, Seed: o.Random()}
	r.core = NewCore(config, Restored{Hard: state.Hard, Snapshot: meta, Entries: state.Entries}, o.Clock())
	r.applied, r.snapshotIndex = r.core.applied, r.core.applied
	return nil
}

// TermAt returns the term of the entry at index; 0 if it is not held, as when a
// snapshot covers it.
func (r *Runner) TermAt(index uint64) uint64 { return r.core.TermAt(index) }
