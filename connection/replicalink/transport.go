// Package replicalink carries the messages of the replicated log between state processes
// over connection/link.
package replicalink

import (
	"context"
	"sync"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/replica"
)

// Method is the link method that receives messages.
const Method = "raft.send"

const (
	// queueLength bounds the batches queued for one process; more are dropped.
	queueLength = 1024
	// sendTimeout bounds one call; the log retransmits lost messages.
	sendTimeout = 2 * time.Second
	// renewalsPerElectionTimeout determines when the connection of an unanswered call is
	// renewed: early enough that followers hear from their leader before they campaign.
	renewalsPerElectionTimeout = 2
	// maxBatchBytes is the size at which a batch is full. Together with the largest single
	// message it must stay well below link.MaxFrame.
	maxBatchBytes = 1 << 20
	// maxInFlight bounds the concurrent calls to one process.
	maxInFlight = 4
	// connectTimeout bounds the attempts of Connect, and connectRetryDelay is the pause
	// between two: processes of one group start some tenths of a second apart.
	connectTimeout    = 2 * time.Second
	connectRetryDelay = 50 * time.Millisecond
	// messageOverhead is an estimate of the bytes of a message besides its data.
	messageOverhead = 128
)

// Dial returns a caller for the process at address.
type Dial func(address string) link.Caller

// Transport sends messages to other processes, over one connection to each. It implements
// replica.Transport and is safe for concurrent use.
type Transport struct {
	dial Dial
	// answerTimeout is the time after which the connection of an unanswered call is renewed.
	answerTimeout time.Duration

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// queues and callers are keyed by address.
	queues  map[string]chan []*lilacv1.RaftMessage
	callers map[string]link.Caller
}

var _ replica.Transport = (*Transport)(nil)

// New returns a Transport that connects by dial, for a group with the given minimum election
// timeout. The caller closes it.
func New(dial Dial, election time.Duration) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{dial: dial, answerTimeout: election / renewalsPerElectionTimeout, ctx: ctx, cancel: cancel, queues: map[string]chan []*lilacv1.RaftMessage{}, callers: map[string]link.Caller{}}
}

// Send queues messages for the process at address, or drops them if its queue is full. It
// never blocks.
func (t *Transport) Send(address string, messages []*lilacv1.RaftMessage) {
	select {
	case t.queue(address) <- messages:
	default:
	}
}

// Connect opens connections to the processes at the addresses in the background and
// retries for connectTimeout. Otherwise the first vote request between regions waits for a
// connection, and its answer for a connection back.
func (t *Transport) Connect(addresses []string) {
	for _, address := range addresses {
		t.wg.Go(func() { t.connect(t.caller(address)) })
	}
}

func (t *Transport) connect(caller link.Caller) {
	ctx, cancel := context.WithTimeout(t.ctx, connectTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if err := caller.Call(ctx, Method, &lilacv1.RaftBatch{}, &lilacv1.RaftBatchReply{}); err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(connectRetryDelay):
		}
	}
}

// caller returns the caller for the process at address.
func (t *Transport) caller(address string) link.Caller {
	t.queue(address)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.callers[address]
}

func (t *Transport) queue(address string) chan []*lilacv1.RaftMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue, ok := t.queues[address]
	if ok {
		return queue
	}
	queue = make(chan []*lilacv1.RaftMessage, queueLength)
	t.queues[address] = queue
	caller := t.dial(address)
	t.callers[address] = caller
	for range maxInFlight {
		t.wg.Go(func() { t.sendLoop(queue, caller) })
	}
	return queue
}

func (t *Transport) sendLoop(queue chan []*lilacv1.RaftMessage, caller link.Caller) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case messages := <-queue:
			t.call(caller, coalesce(messages, queue))
		}
	}
}

// coalesce appends queued batches to messages until they fill a call. It returns a copy.
func coalesce(messages []*lilacv1.RaftMessage, queue chan []*lilacv1.RaftMessage) []*lilacv1.RaftMessage {
	messages = append([]*lilacv1.RaftMessage(nil), messages...)
	for size(messages) < maxBatchBytes {
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
		total += messageOverhead + len(m.GetChunk())
		for _, entry := range m.GetEntries() {
			total += len(entry.GetData())
		}
	}
	return total
}

// call sends the messages in parts that fit a frame. After an error the rest is dropped;
// the log retransmits it.
func (t *Transport) call(caller link.Caller, messages []*lilacv1.RaftMessage) {
	for len(messages) > 0 {
		n := 1
		for n < len(messages) && size(messages[:n+1]) < 2*maxBatchBytes {
			n++
		}
		ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
		stop := t.renewUnanswered(caller)
		err := caller.Call(ctx, Method, &lilacv1.RaftBatch{Messages: messages[:n]}, &lilacv1.RaftBatchReply{})
		stop()
		cancel()
		if err != nil {
			return
		}
		messages = messages[n:]
	}
}

// renewer is a link.Caller that can replace a connection that went silent.
type renewer interface{ Renew(idle time.Duration) }

// renewUnanswered renews the caller's connection unless stop is called within answerTimeout.
//
// The receiver answers before it syncs anything. Without renewal, a connection that went silent
// is noticed only by the keep-alive of the link, and the group has no leader, or a lost voter no
// replacement, for seconds.
func (t *Transport) renewUnanswered(caller link.Caller) (stop func() bool) {
	r, ok := caller.(renewer)
	if !ok {
		return func() bool { return false }
	}
	return time.AfterFunc(t.answerTimeout, func() { r.Renew(t.answerTimeout) }).Stop
}

// Close stops sending and waits for calls in progress to end.
func (t *Transport) Close() error {
	t.cancel()
	t.wg.Wait()
	return nil
}

// Receiver handles received messages; replica.Node implements it.
type Receiver interface {
	Receive(messages []*lilacv1.RaftMessage)
}

// Handle registers Method on mux and passes received messages to receiver.
func Handle(mux *link.Mux, receiver Receiver) {
	mux.Handle(Method, link.Unary(func(_ context.Context, _ link.Peer, batch *lilacv1.RaftBatch) (*lilacv1.RaftBatchReply, error) {
		receiver.Receive(batch.GetMessages())
		return &lilacv1.RaftBatchReply{}, nil
	}))
}
