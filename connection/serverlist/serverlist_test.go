package serverlist

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

// platform is a fake ServerList with a settable list or error.
type platform struct {
	mu    sync.Mutex
	list  []routing.Server
	err   error
	calls int
	// refused are the entries that the list refuses.
	refused gateway.Refusals
}

func (p *platform) Fetch(context.Context) ([]routing.Server, gateway.Refusals, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return p.list, p.refused, p.err
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

// node is a process that updates its store from upstream nodes or from the platform.
type node struct {
	store  *Store
	caller link.Caller
	mu     sync.Mutex
	names  []string
}

func newNode(ctx context.Context, p *platform, upstream ...*node) *node {
	n := &node{store: NewStore()}
	mux := link.NewMux()
	n.store.Register(mux)
	n.caller = &link.Local{Mux: mux, Self: link.Peer{Process: "test", DataCenter: "a"}}
	updater := NewUpdater(n.store, Options{
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
	go updater.Run(ctx)
	return n
}

func (n *node) servers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names
}

// Guards against an entry that learns of a leaving server later than a second after the state
// processes, and against more than one process that reads the platform's list.
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
		is.Equal(entry.servers(), []string{"i-1", "i-2"})
		p.set(nil, "i-2")
		time.Sleep(1100 * time.Millisecond)
		is.Equal(entry.servers(), []string{"i-2"})
		before := unread.called()
		time.Sleep(time.Minute)
		is.Equal(unread.called(), before)
		is.True(p.called() < 70)
		cancel()
		synctest.Wait()
	})
}

// Guards against an entry that sends requests to servers that have left, since the state
// processes are unavailable or have no current list: it must read the platform's list itself.
func TestEntryReadsTheListItselfIfNoStateProcessHasIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		broken, own := &platform{}, &platform{}
		broken.set(errors.New("list unreachable"))
		own.set(nil, "i-1")
		entry := newNode(ctx, own, newNode(ctx, broken))
		time.Sleep(5 * time.Second)
		is.Equal(entry.servers(), []string{"i-1"})
		cancel()
		synctest.Wait()
	})
}

// Guards against dropping the last list, or serving it as current, while the platform's list
// can't be read.
func TestOutdatedListStaysInForceAndIsNotServed(t *testing.T) {
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
		is.Equal(state.servers(), []string{"i-1"})
		is.Equal(entry.servers(), []string{"i-1", "i-2"})
		cancel()
		synctest.Wait()
	})
}

// Guards against a field of a server that is lost between the processes, such as its software
// version, and against a change of one field that is not passed on.
func TestAllFieldsOfAServerArePassedOn(t *testing.T) {
	is := is.New(t)
	server := routing.Server{
		Name: "i-1/2", Identity: "i-1", Service: "s", Address: "10.0.0.1:80", DataCenter: "a", Slots: 4,
		Draining: true, Reclaimable: true, SoftwareVersion: "v1.2",
	}
	is.Equal(decode(encode([]routing.Server{server})), []routing.Server{server})
	changed := server
	changed.SoftwareVersion = "v1.3"
	is.True(encode([]routing.Server{server}).GetVersion() != encode([]routing.Server{changed}).GetVersion())
}

// Guards against a line for each read of a list with odd entries, and against none.
func TestRefusedEntriesAreLoggedWhenTheyChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var odd, other gateway.Refusals
		for i := range 1000 {
			odd.Add(strings.Repeat("i", i), gateway.AddressField)
		}
		other.Add("i-2", gateway.SlotsField)
		var text strings.Builder
		counts := make(map[string]int)
		p := &platform{}
		u := NewUpdater(NewStore(), Options{
			List: p, Logger: hclog.New(&hclog.LoggerOptions{Output: &text}),
			CountRefused: func(field string, count int) { counts[field] += count },
		})
		lines := func(refused ...gateway.Refusals) int {
			text.Reset()
			for _, p.refused = range refused {
				is.NoErr(u.read(t.Context()))
			}
			return strings.Count(text.String(), "refused=")
		}
		is.Equal(lines(odd, odd, gateway.Refusals{}, odd, other), 1)
		is.True(len(text.String()) < 2000)
		is.Equal(counts, map[string]int{"address": 3000, "slots": 1})
		time.Sleep(refusedLogInterval)
		is.Equal(lines(other, other), 1)
		is.True(strings.Contains(text.String(), "i-2"))
		is.True(strings.Contains(text.String(), "slots"))
		time.Sleep(refusedLogInterval)
		is.Equal(lines(gateway.Refusals{}), 0)
		is.True(strings.Contains(text.String(), "no refused entry"))
	})
}
