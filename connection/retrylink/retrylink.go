// Package retrylink carries loans of retries between instances; see request/retry.
package retrylink

import (
	"context"
	"sync"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/member"
)

// Method is the link method by which retries are lent.
const Method = "entry.lend_retries"

// callTimeout bounds one call: several times the latency between regions.
const callTimeout = 150 * time.Millisecond

// Options configure a Link. All fields are required.
type Options struct {
	// Dial returns the caller for an address; the same one each time.
	Dial func(address string) link.Caller
	// Lend lends up to the wanted number of this instance's retries and returns how many.
	Lend func(ctx context.Context, pool string, wanted int) int
	// OnAnswer is called once for each instance asked, with a count of 0 if it did not answer.
	// askedAt is a time before it was asked.
	OnAnswer func(pool string, count int, askedAt time.Time)
}

// Link asks other instances for retries and answers them. It is safe for concurrent use.
type Link struct {
	options Options

	// mu guards the fields below. No call is made while it is held.
	mu sync.Mutex
	// addresses holds the addresses of the live instances by name.
	addresses map[string]string
	// ctx ends with Run; closed is set before Run waits for its goroutines.
	ctx    context.Context
	closed bool
	wg     sync.WaitGroup
}

// New returns a Link that knows no other instances.
func New(o Options) *Link {
	return &Link{options: o, addresses: make(map[string]string), ctx: context.Background()}
}

// Register adds the method to mux.
func (l *Link) Register(mux *link.Mux) { mux.Handle(Method, link.Unary(l.lend)) }

// SetPeers replaces the live instances.
func (l *Link) SetPeers(peers []member.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.addresses)
	for _, peer := range peers {
		l.addresses[peer.Name] = peer.Address
	}
}

// Run waits for ctx to end, and then for the calls in progress.
func (l *Link) Run(ctx context.Context) {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	<-ctx.Done()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.wg.Wait()
}

// Ask asks the named instances for retries, each for the wanted number. It does not block.
func (l *Link) Ask(names []string, pool string, wanted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	ctx, askedAt := l.ctx, time.Now()
	for _, name := range names {
		address := l.addresses[name]
		l.wg.Go(func() { l.options.OnAnswer(pool, l.ask(ctx, address, pool, wanted), askedAt) })
	}
}

// ask returns how many retries the instance at the address lends; 0 if it does not answer.
func (l *Link) ask(ctx context.Context, address, pool string, wanted int) int {
	if address == "" {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &lilacv1.LendRetriesReply{}
	request := &lilacv1.LendRetriesRequest{Pool: pool, Wanted: uint32(wanted)}
	if err := l.options.Dial(address).Call(ctx, Method, request, reply); err != nil {
		return 0
	}
	return min(int(reply.GetCount()), wanted)
}

func (l *Link) lend(ctx context.Context, _ link.Peer, request *lilacv1.LendRetriesRequest) (*lilacv1.LendRetriesReply, error) {
	count := l.options.Lend(ctx, request.GetPool(), int(request.GetWanted()))
	return &lilacv1.LendRetriesReply{Count: uint32(count)}, nil
}
