// Package originlink exchanges the origins of streams between instances, so that a caller may
// resume a stream at any of them; see package streamorigin.
package originlink

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/streamorigin"
	"github.com/lilacbridge/lilacbridge/version/admission"
)

// The link methods.
const (
	recordMethod = "entry.record_origins"
	findMethod   = "entry.find_origin"
)

const (
	// sendTimeout bounds one call that leaves copies with another instance.
	sendTimeout = time.Second
	// resendDelay is the pause after a failed one.
	resendDelay = 200 * time.Millisecond
	// maxUnsent bounds the copies that wait for one instance.
	maxUnsent = 1024
	// findTimeout bounds the search for an origin: several round trips between regions.
	findTimeout = 250 * time.Millisecond
	// otherAnswersWait is how long others are awaited once an instance has the origin: one of
	// them may have a newer one.
	otherAnswersWait = 10 * time.Millisecond
	// confirmTimeout bounds the replacement of an origin that others may hold.
	confirmTimeout = 250 * time.Millisecond
	expireInterval = time.Second
	// copiesInterval is the pause between two looks whether others can still infer origins.
	copiesInterval = 250 * time.Millisecond
	// copiesBatch bounds the origins whose copies are queued while requests wait.
	copiesBatch = 64
)

// Options configure a Link.
type Options struct {
	Self member.Peer
	// Dial returns the caller for an address; the same one each time.
	Dial func(address string) link.Caller
	// Versions returns what is known of the service's software versions.
	Versions func(service string) admission.Record
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Link holds origins for this instance and others. It is safe for concurrent use.
type Link struct {
	options Options
	// copies counts those left with other instances, failures the calls that left none.
	copies, failures atomic.Uint64
	// look tells Run to look whether copies are to be sent.
	look chan struct{}

	// mu guards the fields below. No call is made while it is held.
	mu    sync.Mutex
	table *streamorigin.Table
	peers []member.Peer
	// keepers are the state processes.
	keepers   []member.Peer
	allowance allowance
	unsent    map[string]*outbox
	// uncopied holds this instance's origins that others can infer, by service and attempt id.
	uncopied map[string]map[string]unsentOrigin
	// short holds, by attempt id, those of which copies were sent to fewer than there should be;
	// moreHolders is set if there may be more now.
	short       map[string]unsentOrigin
	moreHolders bool
	// copied holds, by attempt id, this instance's origins that others may hold.
	copied map[string]copied
	// ctx ends with Run.
	ctx context.Context
	// closed is set before Run waits for its goroutines.
	closed bool
	wg     sync.WaitGroup
}

// outbox holds the copies for one instance, in order. They are sent one batch at a time.
type outbox struct {
	origins []unsentOrigin
	sending bool
}

type unsentOrigin struct {
	message *lilacv1.StreamOrigin
	expires time.Time
}

// New returns a Link that knows no other instances.
func New(o Options) *Link {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Link{
		options: o, table: streamorigin.NewTable(), unsent: make(map[string]*outbox), uncopied: make(map[string]map[string]unsentOrigin),
		short: make(map[string]unsentOrigin), copied: make(map[string]copied), look: make(chan struct{}, 1), ctx: context.Background(),
	}
}

// Register adds the methods to mux.
func (l *Link) Register(mux *link.Mux) {
	mux.Handle(recordMethod, link.Unary(l.receive))
	mux.Handle(findMethod, link.Unary(l.answer))
}

// SetPeers replaces the live instances.
func (l *Link) SetPeers(peers []member.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.peers
	l.peers = l.peers[:0:0]
	for _, peer := range peers {
		if peer.Name != l.options.Self.Name {
			l.peers = append(l.peers, peer)
		}
	}
	l.holdersChanged(before, l.peers)
}

// Run drops what has expired, and sends copies once others can't infer an origin, until ctx ends.
func (l *Link) Run(ctx context.Context) {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	expiry, copies := time.NewTicker(expireInterval), time.NewTicker(copiesInterval)
	defer expiry.Stop()
	defer copies.Stop()
	for {
		select {
		case <-ctx.Done():
			l.mu.Lock()
			l.closed = true
			l.mu.Unlock()
			l.wg.Wait()
			return
		case <-expiry.C:
			l.expire()
		case <-copies.C:
			l.sendDue()
		case <-l.look:
			l.sendDue()
		}
	}
}

func (l *Link) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	l.table.Expire(now)
	for _, origins := range l.uncopied {
		maps.DeleteFunc(origins, func(_ string, origin unsentOrigin) bool { return !now.Before(origin.expires) })
	}
	maps.DeleteFunc(l.short, func(_ string, origin unsentOrigin) bool { return !now.Before(origin.expires) })
	maps.DeleteFunc(l.copied, func(_ string, c copied) bool { return !now.Before(c.expires) })
}

// Len returns the number of origins held.
func (l *Link) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Len()
}

// Copies returns the number of copies left with other instances.
func (l *Link) Copies() uint64 { return l.copies.Load() }

// Failures returns the number of calls that left no copy with another instance.
func (l *Link) Failures() uint64 { return l.failures.Load() }

// enqueue adds a copy for the instance. The caller holds mu.
func (l *Link) enqueue(peer member.Peer, origin unsentOrigin) {
	box := l.unsent[peer.Name]
	if box == nil {
		box = &outbox{}
		l.unsent[peer.Name] = box
	}
	if len(box.origins) >= maxUnsent {
		box.origins = box.origins[1:]
	}
	box.origins = append(box.origins, origin)
	if box.sending || l.closed {
		return
	}
	box.sending = true
	ctx := l.ctx
	l.wg.Go(func() { l.send(ctx, peer, box) })
}

// send sends the copies for one instance until none is left. A copy that failed is sent again: a
// holder with an origin of a lower number would give a wrong one.
func (l *Link) send(ctx context.Context, peer member.Peer, box *outbox) {
	for {
		batch := l.take(ctx, box)
		if len(batch) == 0 {
			return
		}
		request := &lilacv1.RecordOriginsRequest{}
		for _, origin := range batch {
			request.Origins = append(request.Origins, origin.message)
		}
		callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
		err := l.options.Dial(peer.Address).Call(callCtx, recordMethod, request, &lilacv1.RecordOriginsReply{})
		cancel()
		if err == nil {
			l.copies.Add(uint64(len(batch)))
			continue
		}
		l.failures.Add(1)
		l.putBack(peer, box, batch)
		select {
		case <-time.After(resendDelay):
		case <-ctx.Done():
		}
	}
}

// take removes the copies that are still of use and not replaced by a later attempt's, or marks the
// outbox as idle if there are none.
func (l *Link) take(ctx context.Context, box *outbox) []unsentOrigin {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	var batch []unsentOrigin
	for _, origin := range box.origins {
		_, number, held := l.table.Get(now, origin.message.GetAttempt())
		if replaced := held && number > int(origin.message.GetNumber()); now.Before(origin.expires) && !replaced {
			batch = append(batch, origin)
		}
	}
	box.origins = nil
	box.sending = len(batch) > 0 && ctx.Err() == nil
	if !box.sending {
		return nil
	}
	return batch
}

// putBack returns a batch to the front of its outbox, unless the instance has left.
func (l *Link) putBack(peer member.Peer, box *outbox, batch []unsentOrigin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isLive(peer.Name) {
		box.origins = append(batch, box.origins...)
	}
}

// receive holds copies for another instance.
func (l *Link) receive(_ context.Context, _ link.Peer, request *lilacv1.RecordOriginsRequest) (*lilacv1.RecordOriginsReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, origin := range request.GetOrigins() {
		ttl := time.Duration(origin.GetTtlMs()) * time.Millisecond
		if !l.table.Put(l.options.Now(), origin.GetAttempt(), originOf(origin), int(origin.GetNumber()), ttl) {
			return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, "this instance holds as many origins of streams as it may; send it later")
		}
	}
	return &lilacv1.RecordOriginsReply{}, nil
}

func originOf(m *lilacv1.StreamOrigin) streamorigin.Origin {
	return streamorigin.Origin{Service: m.GetService(), Version: m.GetSoftwareVersion()}
}

// answer tells another instance what this one knows of a stream.
func (l *Link) answer(_ context.Context, _ link.Peer, request *lilacv1.FindOriginRequest) (*lilacv1.FindOriginReply, error) {
	return l.local(request.GetAttempt()), nil
}

func (l *Link) local(attempt string) *lilacv1.FindOriginReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &lilacv1.FindOriginReply{}
	if origin, number, ok := l.table.Get(l.options.Now(), attempt); ok {
		reply.Origin = &lilacv1.StreamOrigin{Attempt: attempt, Service: origin.Service, SoftwareVersion: origin.Version, Number: uint32(number)}
	}
	return reply
}
