package gossip

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

var testKey = []byte("one key for all tests")

// newsKept is more than an entry tells in a test: a line that finds no room is
// lost, and who waits for it waits for ever.
const newsKept = 1 << 16

// node is an entry with only its membership.
type node struct {
	peer   settings.Peer
	gossip *Gossip
	// news gets a line for each callback.
	news chan string
	// others is the last combined digest of all others.
	others atomic.Pointer[lilacv1.Digest]
	server *link.Server
	stop   context.CancelFunc
	// traffic is that of its links.
	traffic *link.Traffic
}

// start starts n entries of one data centre that know each other, of which the
// first reads the list.
func start(t *testing.T, n int, list string, own func(i int) *lilacv1.Digest) []*node {
	return startIn(t, []string{"dakar-a"}, time.Now, n, list, own)
}

// startIn spreads the entries over the data centres in turn; now is their clock.
func startIn(t testing.TB, dataCenters []string, now func() time.Time, n int, list string, own func(i int) *lilacv1.Digest) []*node {
	var all []*node
	var peers []settings.Peer
	var listeners []net.Listener
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		listeners = append(listeners, listener)
		peers = append(peers, settings.Peer{Name: fmt.Sprint("entry-", i), Address: settings.Address{Value: listener.Addr().String()}, DataCenter: dataCenters[i%len(dataCenters)]})
	}
	for i, peer := range peers {
		id := link.Identity{Peer: link.Peer{Process: peer.Name, DataCenter: peer.DataCenter}, Keys: secret.Always(testKey), Traffic: &link.Traffic{}}
		x := &node{peer: peer, news: make(chan string, newsKept), traffic: id.Traffic}
		o := Options{
			Self:    member.Peer{Name: peer.Name, Address: peer.Address.Value, DataCenter: peer.DataCenter},
			Entries: peers, Dial: dialer(t, id), OwnDigest: func() *lilacv1.Digest { return own(i) }, Now: now,
			OnDigest: func(d *lilacv1.Digest, _ time.Time) {
				if d.GetInstance() == member.Others {
					x.others.Store(d)
				}
				x.tell("digest %s", d.GetInstance())
			},
			OnDigestExpired: func(name string) { x.tell("gone %s", name) },
			OnServerState:   func(name string, leaving bool) { x.tell("server %s %v", name, leaving) },
			OnLivePeers:     func(live []settings.Peer) { x.tell("live %d", len(live)) },
		}
		if i == 0 {
			o.InstanceList = list
		}
		x.gossip = New(o)
		mux := link.NewMux()
		x.gossip.Register(mux)
		x.server = link.NewServer(id, mux)
		go x.server.Serve(listeners[i])
		ctx, stop := context.WithCancel(t.Context())
		x.stop = stop
		done := make(chan struct{})
		go func() {
			defer close(done)
			x.gossip.Run(ctx)
		}()
		t.Cleanup(func() {
			stop()
			<-done
			listeners[i].Close()
			x.server.Close()
		})
		all = append(all, x)
	}
	return all
}

func (x *node) tell(format string, args ...any) {
	select {
	case x.news <- fmt.Sprintf(format, args...):
	default:
	}
}

func (x *node) waitFor(line string) {
	for got := range x.news {
		if got == line {
			return
		}
	}
}

func dialer(t testing.TB, id link.Identity) func(string) link.Caller {
	var mu sync.Mutex
	clients := make(map[string]*link.Client)
	return func(address string) link.Caller {
		mu.Lock()
		defer mu.Unlock()
		if clients[address] == nil {
			client := link.NewClient(address, id)
			clients[address] = client
			t.Cleanup(func() { client.Close() })
		}
		return clients[address]
	}
}

func nothing(int) *lilacv1.Digest { return &lilacv1.Digest{} }

// An entry process is killed. The others hear nothing from it any more and must
// tell their policies, or they would go on counting on its word.
func TestKilledEntryIsGone(t *testing.T) {
	all := start(t, 3, "", nothing)
	all[0].waitFor("digest entry-1")
	all[0].waitFor("digest entry-2")
	// An entry that was never heard is not told as gone.
	all[1].waitFor("digest entry-2")
	all[2].stop()
	all[2].server.Close()
	all[0].waitFor("gone entry-2")
	all[1].waitFor("gone entry-2")
}

// The platform's list says that a server leaves, and only one entry can read the
// list. The others must learn it from that one.
func TestListedAsLeavingIsToldToAll(t *testing.T) {
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"instances":[{"name":"r7","role":"server","state":"leaving"},{"name":"r8","role":"server","state":"live"}]}`)
	}))
	defer platform.Close()
	for _, x := range start(t, 3, platform.URL, nothing) {
		x.waitFor("server r7 true")
	}
}

func TestFaultsOfTheList(t *testing.T) {
	const one = `{"instances":[{"name":"r7","role":"server","state":"leaving"}]}`
	for name, c := range map[string]struct {
		answer http.HandlerFunc
		length int
		fails  bool
	}{
		"fine":          {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, one) }, 1, false},
		"empty":         {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{}`) }, 0, false},
		"error":         {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", 500) }, 0, true},
		"no JSON":       {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "<html>") }, 0, true},
		"cut":           {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, one[:30]) }, 0, true},
		"not modified":  {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotModified) }, 0, false},
		"gone mid-body": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			platform := httptest.NewServer(c.answer)
			defer platform.Close()
			g := New(Options{InstanceList: platform.URL})
			list, _, _, err := g.readList(t.Context(), http.DefaultClient, "tag")
			is.Equal(err != nil, c.fails)
			is.Equal(len(list), c.length)
		})
	}
}

// A process whose settings carry another's name would speak for it, and so hide
// that the other is dead. The link knows who called.
func TestDigestInAnothersNameIsRefused(t *testing.T) {
	is := is.New(t)
	g := New(Options{Self: member.Peer{Name: "entry-0"}})
	mux := link.NewMux()
	g.Register(mux)
	caller := &link.Local{Mux: mux, Self: link.Peer{Process: "entry-1"}}
	err := caller.Call(t.Context(), Method, &lilacv1.Digest{Instance: "entry-2"}, &lilacv1.DigestReply{})
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_FORBIDDEN))
	is.NoErr(caller.Call(t.Context(), Method, &lilacv1.Digest{Instance: "entry-1"}, &lilacv1.DigestReply{}))
}
