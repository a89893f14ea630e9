package originlink

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/streamorigin"
	"github.com/lilacbridge/lilacbridge/version/admission"
)

// state is how an instance behaves towards others.
type state int

const (
	up state = iota
	gone
	silent
)

// fleet is instances in data centres a, b and c that exchange origins.
type fleet struct {
	links []*Link
	muxes []*link.Mux
	peers []member.Peer

	mu     sync.Mutex
	states map[string]state
	// known is what each instance knows of the versions of the service llm.
	known []knowledge
	// keepers are state processes by address; instances don't know them before addKeepers.
	keepers map[string]*Link
}

// knowledge is an instance's record of versions. It was confirmed at the given time, or always is
// if that is zero.
type knowledge struct {
	versions  []string
	confirmed time.Time
}

// see tells instances the record of versions, which they then know to be the newest.
func (f *fleet) see(versions []string, instances ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range instances {
		f.known[i] = knowledge{versions: versions}
	}
}

// lose cuts an instance off from the state processes.
func (f *fleet) lose(instance int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known[instance].confirmed = time.Now()
}

func (f *fleet) record(instance int, service string) admission.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	var r admission.Record
	if service != "llm" {
		return r
	}
	known := f.known[instance]
	for _, version := range known.versions {
		r.Counted = append(r.Counted, &lilacv1.ServiceVersion{Service: service, Version: version})
	}
	if !known.confirmed.IsZero() {
		r.Age = time.Since(known.confirmed)
	}
	return r
}

// all returns the numbers of all instances.
func (f *fleet) all() []int {
	var numbers []int
	for i := range f.peers {
		numbers = append(numbers, i)
	}
	return numbers
}

// caller is the connection from one instance to another.
type caller struct {
	fleet *fleet
	local link.Local
	name  string
}

func (f *fleet) set(name string, s state) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states[name] = s
}

func (f *fleet) state(name string) state {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.states[name]
}

func (c *caller) Call(ctx context.Context, method string, req, resp proto.Message) error {
	switch c.fleet.state(c.name) {
	case gone:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "gone")
	case silent:
		<-ctx.Done()
		return ctx.Err()
	}
	return c.local.Call(ctx, method, req, resp)
}

func (c *caller) Open(ctx context.Context, method string, req proto.Message) (link.Stream, error) {
	return c.local.Open(ctx, method, req)
}

// newFleet starts so many instances in each of the data centres a, b and c.
func newFleet(ctx context.Context, perDataCenter int) *fleet {
	f := &fleet{states: make(map[string]state)}
	for _, dataCenter := range []string{"a", "b", "c"} {
		for i := range perDataCenter {
			name := dataCenter + strconv.Itoa(i)
			f.peers = append(f.peers, member.Peer{Name: name, Address: name, DataCenter: dataCenter})
		}
	}
	f.known = make([]knowledge, len(f.peers))
	f.see([]string{"v1", "v2"}, f.all()...)
	for i, self := range f.peers {
		mux := link.NewMux()
		versions := func(service string) admission.Record { return f.record(i, service) }
		l := New(Options{Self: self, Versions: versions, Dial: func(address string) link.Caller {
			if keeper := f.keepers[address]; keeper != nil {
				mux := link.NewMux()
				keeper.Register(mux)
				return &caller{fleet: f, local: link.Local{Mux: mux}, name: address}
			}
			index := slices.IndexFunc(f.peers, func(p member.Peer) bool { return p.Name == address })
			return &caller{fleet: f, local: link.Local{Mux: f.muxes[index]}, name: address}
		}})
		l.Register(mux)
		l.SetPeers(f.peers)
		f.links, f.muxes = append(f.links, l), append(f.muxes, mux)
		go f.links[i].Run(ctx)
	}
	return f
}

func inBubble(t *testing.T, perDataCenter int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, perDataCenter)
		synctest.Wait()
		test(t, f)
		cancel()
		synctest.Wait()
	})
}

// addKeepers starts three state processes.
func (f *fleet) addKeepers(ctx context.Context) {
	f.keepers = make(map[string]*Link)
	var peers []member.Peer
	for _, name := range []string{"state/1", "state/2", "state/3"} {
		f.keepers[name] = NewKeeper()
		go f.keepers[name].Run(ctx)
		peers = append(peers, member.Peer{Name: name, Address: name, DataCenter: "a"})
	}
	for _, l := range f.links {
		l.SetKeepers(peers)
	}
}

// record0 records an origin at the first instance.
func (f *fleet) record0(t *testing.T, attempt string, origin streamorigin.Origin, number int, ttl time.Duration) {
	is.New(t).NoErr(f.links[0].Record(t.Context(), attempt, origin, true, number, ttl))
}

// restart replaces an instance by a new one that has its name and no memory.
func (f *fleet) restart(ctx context.Context, instance int) {
	started, mux := New(f.links[instance].options), link.NewMux()
	started.Register(mux)
	started.SetPeers(f.peers)
	f.links[instance], f.muxes[instance] = started, mux
	go started.Run(ctx)
}
