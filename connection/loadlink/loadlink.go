// Package loadlink carries an instance's load board over the links: it sends the
// words that are due and answers those of others.
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

// Method is the link method of a word.
const Method = "entry.loads"

const (
	// callTimeout bounds one word and its answer: some ways between regions.
	callTimeout = 500 * time.Millisecond
	// tick is how often the board is asked for what is due.
	tick = 50 * time.Millisecond
)

// Options say whose board it is.
type Options struct {
	Self member.Peer
	// Dial returns the caller for an address; the same one each time.
	Dial func(address string) link.Caller
	// Own returns the own loads and the shared parts sent lately; false where they
	// are not known now.
	Own func() (loadboard.Report, bool)
	// OnLoads is given what all others run and sent, each Interval; once with empty
	// Loads when that isn't known any more.
	OnLoads func(loadboard.Report)
}

// Link runs one board.
type Link struct {
	options Options

	mu    sync.Mutex
	board *loadboard.Board
	busy  map[string]bool
	wg    sync.WaitGroup
}

// New returns a Link that does nothing until Run.
func New(o Options) *Link {
	return &Link{options: o, board: loadboard.New(o.Self), busy: make(map[string]bool)}
}

// SetPeers names the other instances that live.
func (l *Link) SetPeers(peers []member.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.board.SetPeers(peers)
}

// Register adds the method to mux.
func (l *Link) Register(mux *link.Mux) { mux.Handle(Method, link.Unary(l.receive)) }

func (l *Link) receive(_ context.Context, peer link.Peer, w *lilacv1.LoadWord) (*lilacv1.LoadWord, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	answer := l.board.Receive(now, peer.Process, peer.DataCenter, loadboard.DecodeReport(now, w))
	return answer.Encode(now, l.options.Self.DataCenter), nil
}

// Run sends what is due until ctx ends.
func (l *Link) Run(ctx context.Context) {
	defer l.wg.Wait()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var taken time.Time
	known := false
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.Sub(taken) >= loadboard.Interval {
				taken = now
				l.renew(now)
				known = l.tell(now, known)
			}
			l.send(ctx, now)
		}
	}
}

// renew takes the own loads anew.
func (l *Link) renew(now time.Time) {
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

// tell passes on what the others run, and once that it isn't known any more.
func (l *Link) tell(now time.Time, known bool) bool {
	l.mu.Lock()
	others, fresh := l.board.Others(now)
	l.mu.Unlock()
	switch {
	case fresh:
		l.options.OnLoads(others)
	case known:
		l.options.OnLoads(loadboard.Report{})
	}
	return fresh
}

func (l *Link) send(ctx context.Context, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ask := range l.board.Due(now) {
		if l.busy[ask.Peer.Name] {
			continue
		}
		l.busy[ask.Peer.Name] = true
		word := ask.Report.Encode(now, l.options.Self.DataCenter)
		l.wg.Go(func() { l.call(ctx, ask.Peer, word) })
	}
}

// call sends one word; one at a time to each peer.
func (l *Link) call(ctx context.Context, peer member.Peer, word *lilacv1.LoadWord) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer := &lilacv1.LoadWord{}
	err := l.options.Dial(peer.Address).Call(limited, Method, word, answer)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.busy, peer.Name)
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	if err != nil {
		l.board.MarkFailed(now, peer)
		return
	}
	l.board.HandleReply(now, peer, loadboard.DecodeReport(now, answer))
}
