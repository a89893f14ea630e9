// Package replicalink carries the messages of the replicated log over
// connection/link.
package replicalink

import (
	"context"
	"sync"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/replica"
)

// Method is the link method under which messages arrive.
const Method = "raft.send"

const (
	// queueBatches bounds the batches that wait for one process; more are dropped.
	queueBatches = 1024
	// sendTimeout bounds one call; the log sends again what is lost.
	sendTimeout = 2 * time.Second
	// batchBytes is when a batch is full; well under link.MaxFrame together
	// with the largest single message.
	batchBytes = 1 << 20
	// callsInFlight is how many calls to one process may wait for their answer.
	callsInFlight = 4
	// openFor is how long a first connection is tried for, openPause the pause between
	// two tries: processes of one group start some tenths of a second apart.
	openFor      = 2 * time.Second
	openPause    = 50 * time.Millisecond
	messageBytes = 128
)

// Dial makes a caller of the process at an address.
type Dial func(address string) link.Caller

// Transport sends messages to other processes; it makes one connection to each.
type Transport struct {
	dial   Dial
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	peers   map[string]chan []*lilacv1.RaftMessage
	callers map[string]link.Caller
}

var _ replica.Transport = (*Transport)(nil)

// New returns a Transport that reaches other processes by dial.
func New(dial Dial) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{dial: dial, ctx: ctx, cancel: cancel, peers: map[string]chan []*lilacv1.RaftMessage{}, callers: map[string]link.Caller{}}
}

// Send queues messages for the process at address, and drops them if too many wait.
func (t *Transport) Send(address string, messages []*lilacv1.RaftMessage) {
	select {
	case t.peer(address) <- messages:
	default:
	}
}

// Connect connects to the processes at the addresses before there is anything to send,
// again and again for some time. A first question between regions otherwise waits for
// a connection there, and its answer for one back.
func (t *Transport) Connect(addresses []string) {
	for _, address := range addresses {
		t.wg.Go(func() { t.connect(t.callerOf(address)) })
	}
}

func (t *Transport) connect(caller link.Caller) {
	ctx, cancel := context.WithTimeout(t.ctx, openFor)
	defer cancel()
	for ctx.Err() == nil {
		if err := caller.Call(ctx, Method, &lilacv1.RaftBatch{}, &lilacv1.RaftBatchReply{}); err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(openPause):
		}
	}
}

// callerOf returns the caller of the process at the address.
func (t *Transport) callerOf(address string) link.Caller {
	t.peer(address)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.callers[address]
}

func (t *Transport) peer(address string) chan []*lilacv1.RaftMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue, ok := t.peers[address]
	if ok {
		return queue
	}
	queue = make(chan []*lilacv1.RaftMessage, queueBatches)
	t.peers[address] = queue
	caller := t.dial(address)
	t.callers[address] = caller
	for range callsInFlight {
		t.wg.Go(func() { t.serve(queue, caller) })
	}
	return queue
}

func (t *Transport) serve(queue chan []*lilacv1.RaftMessage, caller link.Caller) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case messages := <-queue:
			t.call(caller, gather(messages, queue))
		}
	}
}

// gather joins batches that wait into one call.
func gather(messages []*lilacv1.RaftMessage, queue chan []*lilacv1.RaftMessage) []*lilacv1.RaftMessage {
	messages = append([]*lilacv1.RaftMessage(nil), messages...)
	for size(messages) < batchBytes {
		select {
		case more := <-queue:
			messages = append(messages, more...)
		default:
			return messages
		}
	}
	return messages
}

func size(messages []*lilacv1.RaftMessage) int {
	total := 0
	for _, m := range messages {
		total += messageBytes + len(m.GetChunk())
		for _, entry := range m.GetEntries() {
			total += len(entry.GetData())
		}
	}
	return total
}

// call sends the messages in parts that fit a frame; failures are losses, which
// the log's own retries make good.
func (t *Transport) call(caller link.Caller, messages []*lilacv1.RaftMessage) {
	for len(messages) > 0 {
		n := 1
		for n < len(messages) && size(messages[:n+1]) < 2*batchBytes {
			n++
		}
		ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
		err := caller.Call(ctx, Method, &lilacv1.RaftBatch{Messages: messages[:n]}, &lilacv1.RaftBatchReply{})
		cancel()
		if err != nil {
			return
		}
		messages = messages[n:]
	}
}

// Close stops sending.
func (t *Transport) Close() error {
	t.cancel()
	t.wg.Wait()
	return nil
}

// Receiver takes messages that arrive; a replica.Node is one.
type Receiver interface {
	Receive(messages []*lilacv1.RaftMessage)
}

// Handle answers Method on mux by handing messages to receiver.
func Handle(mux *link.Mux, receiver Receiver) {
	mux.Handle(Method, link.Unary(func(_ context.Context, _ link.Peer, batch *lilacv1.RaftBatch) (*lilacv1.RaftBatchReply, error) {
		receiver.Receive(batch.GetMessages())
		return &lilacv1.RaftBatchReply{}, nil
	}))
}
