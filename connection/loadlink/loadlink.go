// Package loadlink connects the load boards of the instances over links: it sends the
// reports that are due and replies to those of other instances.
package loadlink

import (
	"context"
	"sync"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/process/member"
)

// Method is the link method of a load report.
const Method = "entry.loads"

const (
	// callTimeout bounds one report and its reply. It is several times the latency between
	// regions.
	callTimeout = 500 * time.Millisecond
	// tick is the interval at which the reports that are due are sent.
	tick = 50 * time.Millisecond
)

// Options configure a Link. All fields are required.
type Options struct {
	// Self is this instance.
	Self member.Peer
	// Dial returns the caller for an address; always the same one per address.
	Dial func(address string) link.Caller
	// Own returns the load of this instance and its recently cached prefixes; false if they
	// are not available at present.
	Own func() (loadboard.Report, bool)
	// OnLoads is called with the combined report of all other instances once per
	// loadboard.Interval, and once with an empty report when that becomes unavailable.
	OnLoads func(loadboard.Report)
}

// Link exchanges the reports of one load board. It is safe for concurrent use.
type Link struct {
	options Options

	// mu guards board and inFlight, which holds the peers with a call in progress.
	mu       sync.Mutex
	board    *loadboard.Board
	inFlight map[string]bool
	wg       sync.WaitGroup
}

// New returns a Link that does nothing until Run.
func New(o Options) *Link {
	return &Link{options: o, board: loadboard.New(o.Self), inFlight: make(map[string]bool)}
}

// SetPeers sets the other live instances.
func (l *Link) SetPeers(peers []member.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.board.SetPeers(peers)
}

// Register adds the method to mux.
func (l *Link) Register(mux *link.Mux) { mux.Handle(Method, link.Unary(l.receive)) }

func (l *Link) receive(_ context.Context, peer link.Peer, message *lilacv1.LoadWord) (*lilacv1.LoadWord, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	reply := l.board.Receive(now, peer.Process, peer.DataCenter, loadboard.DecodeReport(now, message))
	return reply.Encode(now, l.options.Self.DataCenter), nil
}

// Run sends the reports that are due until ctx ends, and waits for calls in progress.
func (l *Link) Run(ctx context.Context) {
	defer l.wg.Wait()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var lastUpdate time.Time
	published := false
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.Sub(lastUpdate) >= loadboard.Interval {
				lastUpdate = now
				l.updateOwn(now)
				published = l.publish(now, published)
			}
			l.send(ctx, now)
		}
	}
}

// updateOwn updates this instance's load on the board, and drops expired reports.
func (l *Link) updateOwn(now time.Time) {
	if !l.active() {
		return
	}
	own, known := l.options.Own()
	l.mu.Lock()
	defer l.mu.Unlock()
	if known {
		l.board.SetOwn(now, own)
	}
	l.board.Expire(now)
}

func (l *Link) active() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.board.Active()
}

// publish calls OnLoads and reports whether the load of the others is available. published
// is the result of the previous call.
func (l *Link) publish(now time.Time, published bool) bool {
	l.mu.Lock()
	others, fresh := l.board.Others(now)
	l.mu.Unlock()
	switch {
	case fresh:
		l.options.OnLoads(others)
	case published:
		l.options.OnLoads(loadboard.Report{})
	}
	return fresh
}

func (l *Link) send(ctx context.Context, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, outgoing := range l.board.Due(now) {
		if l.inFlight[outgoing.Peer.Name] {
			continue
		}
		l.inFlight[outgoing.Peer.Name] = true
		report := outgoing.Report.Encode(now, l.options.Self.DataCenter)
		l.wg.Go(func() { l.call(ctx, outgoing.Peer, report) })
	}
}

// call sends one report. Only one call per peer is in progress at a time.
func (l *Link) call(ctx context.Context, peer member.Peer, report *lilacv1.LoadWord) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &lilacv1.LoadWord{}
	err := l.options.Dial(peer.Address).Call(callCtx, Method, report, reply)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inFlight, peer.Name)
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	if err != nil {
		l.board.MarkFailed(now, peer)
		return
	}
	l.board.HandleReply(now, peer, loadboard.DecodeReport(now, reply))
}
