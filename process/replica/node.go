package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	// eventQueueSize is the capacity of the event queue; callers block beyond it.
	eventQueueSize = 4096
	// defaultMaxBatch bounds the events that share one sync.
	defaultMaxBatch = 1024
	// ticksPerHeartbeat is how many Ticks are sent per heartbeat interval.
	ticksPerHeartbeat = 2
)

// Node runs one member of the replicated log in its own goroutine. Its methods are safe
// for concurrent use.
type Node struct {
	runner    *Runner
	heartbeat time.Duration
	election  time.Duration

	events chan Request
	stop   chan struct{}
	done   chan struct{}
	once   sync.Once

	mu     sync.Mutex
	status Status
	err    error
}

func randomBits() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // Never fails.
	return binary.LittleEndian.Uint64(b[:])
}

// Open reads the data folder, restores the state machine and starts the node. The
// caller must Close it.
func Open(o Options) (*Node, error) {
	if o.Background == nil {
		o.Background = func(work func()) { go work() }
	}
	runner, err := NewRunner(o)
	if err != nil {
		return nil, err
	}
	n := &Node{runner: runner, heartbeat: o.Heartbeat, election: o.Election,
		events: make(chan Request, eventQueueSize), stop: make(chan struct{}), done: make(chan struct{})}
	n.publishStatus()
	go n.run()
	return n, nil
}

// run processes batches of events; only snapshots are written outside this goroutine.
// Proposals that arrive during a sync share the next one.
func (n *Node) run() {
	defer close(n.done)
	ticker := time.NewTicker(n.heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		batch := make([]Request, 0, 1)
		select {
		case <-n.stop:
			n.shutdown(nil)
			return
		case <-ticker.C:
			batch = append(batch, Request{Event: Tick{}})
		case request := <-n.events:
			batch = append(batch, request)
		}
		if err := n.runner.ProcessBatch(n.fillBatch(batch)); err != nil {
			n.shutdown(err)
			return
		}
		n.publishStatus()
	}
}

func (n *Node) fillBatch(batch []Request) []Request {
	for len(batch) < n.runner.options.MaxBatch {
		select {
		case request := <-n.events:
			batch = append(batch, request)
		default:
			return batch
		}
	}
	return batch
}

// shutdown records and logs err, and closes the runner. Callers that still wait are
// released when done is closed.
func (n *Node) shutdown(err error) {
	n.mu.Lock()
	n.err = err
	n.mu.Unlock()
	if err != nil {
		n.runner.logger.Error("state process stopped by an error", "error", err)
	}
	n.runner.Close()
}

func stoppedError(options ...fault.Option) error {
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "state process has stopped; use another one", options...)
}

// Propose replicates command and returns the state machine's result once a quorum has
// synced it and it has been applied locally. The error kind states whether it may still
// run: NOT_LEADER, NO_QUORUM, DISK_FULL and OVERLOADED mean that it did not run,
// OUTCOME_UNKNOWN that it may.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	o := n.submit(ctx, Propose{Command: command})
	return o.Result, o.Err
}

// Barrier returns once everything committed before the call has been applied locally.
// It succeeds only on the leader.
func (n *Node) Barrier(ctx context.Context) error {
	return n.submit(ctx, Read{}).Err
}

// AddLearner adds a non-voting member. Only the leader can do so.
func (n *Node) AddLearner(ctx context.Context, member *lilacv1.RaftMember) error {
	return n.submit(ctx, ChangeMembers{Kind: AddLearner, Member: member}).Err
}

// Promote turns a learner that has caught up into a voter.
func (n *Node) Promote(ctx context.Context, id string) error {
	return n.submit(ctx, ChangeMembers{Kind: Promote, Member: &lilacv1.RaftMember{Id: id}}).Err
}

// Remove removes the member with the given ID. The leader cannot remove itself.
func (n *Node) Remove(ctx context.Context, id string) error {
	return n.submit(ctx, ChangeMembers{Kind: Remove, Member: &lilacv1.RaftMember{Id: id}}).Err
}

// SetPeers replaces the peers that are contacted to find a group.
func (n *Node) SetPeers(peers []Peer) {
	select {
	case n.events <- Request{Event: SetPeers{Peers: peers}}:
	case <-n.done:
	}
}

// Receive queues messages from other processes and never blocks: when the event queue
// is full it drops them, as a network would.
func (n *Node) Receive(messages []*lilacv1.RaftMessage) {
	for _, m := range messages {
		select {
		case n.events <- Request{Event: Received{Message: m}}:
		default:
			n.runner.metrics.dropped.Inc()
		}
	}
}

func (n *Node) submit(ctx context.Context, event Event) Outcome {
	reply := make(chan Outcome, 1)
	select {
	case n.events <- Request{Event: event, Reply: func(o Outcome) { reply <- o }}:
	case <-ctx.Done():
		return Outcome{Err: fault.Wrap(ctx.Err(), lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, "state process is overloaded; retry later", notRun)}
	case <-n.done:
		return Outcome{Err: stoppedError(notRun)}
	}
	select {
	case o := <-reply:
		return o
	case <-ctx.Done():
		return Outcome{Err: fault.Wrap(ctx.Err(), lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "not confirmed by a quorum in time; the change may still be accepted: send it again with the same command id")}
	case <-n.done:
		select {
		case o := <-reply:
			return o
		default:
			return Outcome{Err: stoppedError()}
		}
	}
}

// Close transfers leadership, if this process has it, and stops the node. It waits
// for the transfer for at most one election timeout.
func (n *Node) Close() error {
	n.once.Do(func() {
		n.transferLeadership()
		close(n.stop)
	})
	<-n.done
	return n.Err()
}

func (n *Node) transferLeadership() {
	if n.Status().Role != Leader {
		return
	}
	select {
	case n.events <- Request{Event: TransferLeadership{}}:
	case <-n.done:
		return
	}
	deadline := time.After(n.election)
	for n.Status().Role == Leader {
		select {
		case <-deadline:
			return
		case <-n.done:
			return
		case <-time.After(n.heartbeat / ticksPerHeartbeat):
		}
	}
}

// Done returns a channel that is closed when the node has stopped; Err then returns the reason.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the error that stopped the node; nil while it runs and after Close.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}
