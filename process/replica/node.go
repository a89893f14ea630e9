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
	// eventQueue bounds the events that wait; callers wait beyond it.
	eventQueueSize = 4096
	// defaultMaxBatch bounds the events that share one sync.
	defaultMaxBatch = 1024
	// ticksPerHeartbeat is how often the core is told the time.
	ticksPerHeartbeat = 2
)

// Node runs one process of the replicated log.
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
	_, _ = rand.Read(b[:]) // It never fails.
	return binary.LittleEndian.Uint64(b[:])
}

// Open reads the data folder, restores the state machine and starts the node.
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

// run is the goroutine that turns the node; only snapshots are written beside it. All proposals that came while the last
// sync ran share the next one.
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

// end stops the node and fails all that waits.
func (n *Node) shutdown(err error) {
	n.mu.Lock()
	n.err = err
	n.mu.Unlock()
	if err != nil {
		n.runner.logger.Error("the state process stops", "error", err)
	}
	n.runner.Close()
}

func stoppedError(options ...fault.Option) error {
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "the state process has stopped; ask another one", options...)
}

// Propose replicates command and returns the state machine's answer once a
// quorum has synced it and it has been applied here. Its errors say whether it
// may still run: NOT_LEADER, NO_QUORUM, DISK_FULL and OVERLOADED did not run,
// OUTCOME_UNKNOWN may.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	o := n.submit(ctx, Propose{Command: command})
	return o.Result, o.Err
}

// Barrier returns once all that was committed before the call has been applied
// here; only the leader can tell.
func (n *Node) Barrier(ctx context.Context) error {
	return n.submit(ctx, Read{}).Err
}

// AddLearner takes a process in that does not count for the quorum.
func (n *Node) AddLearner(ctx context.Context, member *lilacv1.RaftMember) error {
	return n.submit(ctx, ChangeMembers{Kind: AddLearner, Member: member}).Err
}

// Promote makes a learner that has caught up a voter.
func (n *Node) Promote(ctx context.Context, id string) error {
	return n.submit(ctx, ChangeMembers{Kind: Promote, Member: &lilacv1.RaftMember{Id: id}}).Err
}

// Remove takes a member out.
func (n *Node) Remove(ctx context.Context, id string) error {
	return n.submit(ctx, ChangeMembers{Kind: Remove, Member: &lilacv1.RaftMember{Id: id}}).Err
}

// SetPeers replaces the processes that are asked for a group.
func (n *Node) SetPeers(peers []Peer) {
	select {
	case n.events <- Request{Event: SetPeers{Peers: peers}}:
	case <-n.done:
	}
}

// Receive takes messages of other processes from the transport. It drops them
// when the node is too busy, as a network would.
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
		return Outcome{Err: fault.Wrap(ctx.Err(), lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, "the state process is too busy; come back later", notRun)}
	case <-n.done:
		return Outcome{Err: stoppedError(notRun)}
	}
	select {
	case o := <-reply:
		return o
	case <-ctx.Done():
		return Outcome{Err: fault.Wrap(ctx.Err(), lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "no quorum confirmed it in time; it may still be accepted: send it again with the same command id")}
	case <-n.done:
		select {
		case o := <-reply:
			return o
		default:
			return Outcome{Err: stoppedError()}
		}
	}
}

// Close hands the leadership over if this process has it, and stops the node.
// It waits for the hand-over for at most an election timeout.
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

// Done is closed when the node has stopped; Err tells why.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns what stopped the node: nil after Close.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}
