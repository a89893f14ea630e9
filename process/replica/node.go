package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/wal"
)

const (
	// eventQueue bounds the events that wait; callers wait beyond it.
	eventQueue = 4096
	// maxBatch bounds the events that share one sync.
	maxBatch = 1024
	// ticksPerHeartbeat is how often the core is told the time.
	ticksPerHeartbeat = 2
	// defaultSnapshotEvery is the number of entries between two snapshots.
	defaultSnapshotEvery = 20000
	// identityBytes is the length of random identities.
	identityBytes = 8
)

// StateMachine is what the log is for. One goroutine calls it. Apply must give
// the same result on every process.
type StateMachine interface {
	// Apply runs a committed command and returns the answer for its proposer.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
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
}

// Node runs one process of the replicated log.
type Node struct {
	options Options
	logger  hclog.Logger
	metrics *metrics
	store   *wal.Store
	core    *Core
	start   time.Time

	events chan queued
	stop   chan struct{}
	done   chan struct{}
	once   sync.Once

	// The fields below belong to the loop.
	tickets   uint64
	proposals map[uint64]chan<- outcome
	byIndex   map[uint64]placed
	reads     []waitingRead
	readers   map[uint64]chan<- outcome
	pending   []saving
	full      bool
	applied   uint64
	taken     uint64
	// snapshotAt is when a snapshot that failed may be tried again.
	snapshotAt time.Duration
	fatal      error

	mu     sync.Mutex
	status Status
	err    error
}

// queued is an event with the channel that gets its outcome, if any.
type queued struct {
	event Event
	reply chan<- outcome
}

type outcome struct {
	result []byte
	err    error
}

// placed is a proposal that stands in the log.
type placed struct {
	term  uint64
	reply chan<- outcome
}

type waitingRead struct {
	index uint64
	reply chan<- outcome
}

func randomID() string {
	b := make([]byte, identityBytes)
	_, _ = rand.Read(b) // It never fails.
	return hex.EncodeToString(b)
}

func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// Open reads the data folder, restores the state machine and starts the node.
func Open(o Options) (*Node, error) {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = defaultSnapshotEvery
	}
	store, state, err := wal.Open(o.Folder, wal.Options{SegmentBytes: o.SegmentBytes})
	if err != nil {
		return nil, err
	}
	n := &Node{options: o, logger: o.Logger, metrics: newMetrics(o.Registerer, o.Name), store: store, start: time.Now(),
		events: make(chan queued, eventQueue), stop: make(chan struct{}), done: make(chan struct{}),
		proposals: map[uint64]chan<- outcome{}, byIndex: map[uint64]placed{}, readers: map[uint64]chan<- outcome{}}
	if err := n.restore(state); err != nil {
		store.Close()
		return nil, err
	}
	go n.run()
	return n, nil
}

func (n *Node) restore(state *wal.State) error {
	if state.CutBytes > 0 {
		n.metrics.cutBytes.Add(float64(state.CutBytes))
		n.logger.Warn("a crash tore the end of the log; it was cut", "file", state.CutFile, "bytes", state.CutBytes)
	}
	meta := state.Snapshot
	if state.Hard.GetGroup() != "" && meta.GetSize() > 0 {
		if err := n.options.Machine.Restore(state.SnapshotData); err != nil {
			return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "snapshot does not restore; run the version that wrote it, or move the data folder away so that this process joins again")
		}
	}
	o := n.options
	config := Config{Name: o.Name, Address: o.Address, DataCenter: o.DataCenter, ID: randomID(), FreshGroup: randomID(),
		Peers: o.Peers, Bootstrap: o.Bootstrap, Heartbeat: o.Heartbeat, Election: o.Election, Seed: randomSeed()}
	n.core = NewCore(config, Restored{Hard: state.Hard, Snapshot: meta, Entries: state.Entries}, 0)
	n.applied, n.taken = n.core.applied, n.core.applied
	n.publish()
	return nil
}

// Propose replicates command and returns the state machine's answer once a
// quorum has synced it and it has been applied here. Its errors say whether it
// may still run: NOT_LEADER, NO_QUORUM, DISK_FULL and OVERLOADED did not run,
// OUTCOME_UNKNOWN may.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	o := n.ask(ctx, Propose{Command: command})
	return o.result, o.err
}

// Barrier returns once all that was committed before the call has been applied
// here; only the leader can tell.
func (n *Node) Barrier(ctx context.Context) error {
	return n.ask(ctx, Read{}).err
}

// AddLearner takes a process in that does not count for the quorum.
func (n *Node) AddLearner(ctx context.Context, member *lilacv1.RaftMember) error {
	return n.ask(ctx, ChangeMembers{Kind: AddLearner, Member: member}).err
}

// Promote makes a learner that has caught up a voter.
func (n *Node) Promote(ctx context.Context, id string) error {
	return n.ask(ctx, ChangeMembers{Kind: Promote, Member: &lilacv1.RaftMember{Id: id}}).err
}

// Remove takes a member out.
func (n *Node) Remove(ctx context.Context, id string) error {
	return n.ask(ctx, ChangeMembers{Kind: Remove, Member: &lilacv1.RaftMember{Id: id}}).err
}

// Receive takes messages of other processes from the transport. It drops them
// when the node is too busy, as a network would.
func (n *Node) Receive(messages []*lilacv1.RaftMessage) {
	for _, m := range messages {
		select {
		case n.events <- queued{event: Received{Message: m}}:
		default:
			n.metrics.dropped.Inc()
		}
	}
}

func (n *Node) ask(ctx context.Context, event Event) outcome {
	reply := make(chan outcome, 1)
	select {
	case n.events <- queued{event: event, reply: reply}:
	case <-ctx.Done():
		return outcome{err: fault.Wrap(ctx.Err(), lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, "the state process is too busy; come back later", notRun)}
	case <-n.done:
		return outcome{err: n.stopped(notRun)}
	}
	select {
	case o := <-reply:
		return o
	case <-ctx.Done():
		return outcome{err: fault.Wrap(ctx.Err(), lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "no quorum confirmed it in time; it may still be accepted: send it again with the same command id")}
	case <-n.done:
		select {
		case o := <-reply:
			return o
		default:
			return outcome{err: n.stopped(nil)}
		}
	}
}

// Close hands the leadership over if this process has it, and stops the node.
// It waits for the hand-over for at most an election timeout.
func (n *Node) Close() error {
	n.once.Do(func() {
		n.leaveOffice()
		close(n.stop)
	})
	<-n.done
	return n.Err()
}

func (n *Node) leaveOffice() {
	if n.Status().Role != Leader {
		return
	}
	select {
	case n.events <- queued{event: HandOver{}}:
	case <-n.done:
		return
	}
	deadline := time.After(n.options.Election)
	for n.Status().Role == Leader {
		select {
		case <-deadline:
			return
		case <-n.done:
			return
		case <-time.After(n.options.Heartbeat / ticksPerHeartbeat):
		}
	}
}

// Done is closed when the node has stopped; Err tells why.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns what stopped the node: nil after Close.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}
