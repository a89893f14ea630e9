package serverlist

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

// platform is a list that the test changes, and that may fail.
type platform struct {
	mu    sync.Mutex
	list  []routing.Server
	err   error
	calls int
}

func (p *platform) Fetch(context.Context) ([]routing.Server, int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return p.list, 0, p.err
}

func (p *platform) called() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *platform) set(err error, names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list, p.err = nil, err
	for _, name := range names {
		p.list = append(p.list, routing.Server{Name: name, Identity: name, Service: "s", Address: "10.0.0.1:80", DataCenter: "a", Slots: 4})
	}
}

// node follows the list from others or from the platform.
type node struct {
	holder *Store
	caller link.Caller
	mu     sync.Mutex
	names  []string
}

func newNode(ctx context.Context, p *platform, upstream ...*node) *node {
	n := &node{holder: NewStore()}
	mux := link.NewMux()
	n.holder.Register(mux)
	n.caller = &link.Local{Mux: mux, Self: link.Peer{Process: "test", DataCenter: "a"}}
	follower := NewUpdater(n.holder, Options{
		Upstream: func() []link.Caller {
			var callers []link.Caller
			for _, other := range upstream {
				callers = append(callers, other.caller)
			}
			return callers
		},
		List: p, Every: time.Second, Logger: hclog.NewNullLogger(),
		OnList: func(servers []routing.Server) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.names = nil
			for _, s := range servers {
				n.names = append(n.names, s.Name)
			}
		},
	})
	go follower.Run(ctx)
	return n
}

func (n *node) holds() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names
}

// A server begins to leave. Entries hear it through the state processes within a
// second, and the platform is asked by one process only.
func TestChangesReachAllThroughOneReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		p, unread := &platform{}, &platform{}
		p.set(nil, "i-1", "i-2")
		leader := newNode(ctx, p)
		follower := newNode(ctx, unread, leader)
		entry := newNode(ctx, unread, follower)
		time.Sleep(3 * time.Second)
		is.Equal(entry.holds(), []string{"i-1", "i-2"})
		p.set(nil, "i-2")
		time.Sleep(1100 * time.Millisecond)
		is.Equal(entry.holds(), []string{"i-2"})
		before := unread.called()
		time.Sleep(time.Minute)
		is.Equal(unread.called(), before)
		is.True(p.called() < 70)
		cancel()
		synctest.Wait()
	})
}

// The state processes are gone, or know nothing themselves. The entry must read
// the platform's list itself, or it would send work to servers that left.
func TestEntryReadsTheListItselfWhereNobodyKnowsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		broken, own := &platform{}, &platform{}
		broken.set(errors.New("cut off"))
		own.set(nil, "i-1")
		entry := newNode(ctx, own, newNode(ctx, broken))
		time.Sleep(5 * time.Second)
		is.Equal(entry.holds(), []string{"i-1"})
		cancel()
		synctest.Wait()
	})
}

// The platform's list fails for a while. What is known must stay in force, and
// be given to nobody as fresh.
func TestLostListStaysInForceAndIsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		p, own := &platform{}, &platform{}
		p.set(nil, "i-1")
		own.set(nil, "i-1", "i-2")
		state := newNode(ctx, p)
		entry := newNode(ctx, own, state)
		time.Sleep(2 * time.Second)
		p.set(errors.New("slow"))
		time.Sleep(10 * time.Second)
		is.Equal(state.holds(), []string{"i-1"})
		is.Equal(entry.holds(), []string{"i-1", "i-2"})
		cancel()
		synctest.Wait()
	})
}
