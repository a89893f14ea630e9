package gossip

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
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

// eventBuffer exceeds the number of events of one entry in a test. An event that does
// not fit is dropped, and a test that waits for it would block until its timeout.
const eventBuffer = 1 << 16

// node is an entry that runs only the membership protocol.
type node struct {
	peer   settings.Peer
	gossip *Gossip
	// events receives a line for each callback.
	events chan string
	// combined is the last combined digest of all other entries.
	combined atomic.Pointer[lilacv1.Digest]
	server   *link.Server
	stop     context.CancelFunc
	// traffic counts the traffic of the node's links.
	traffic *link.Traffic
}

// start starts n entries in one data centre that know each other. Only the first reads
// the platform's list.
func start(t *testing.T, n int, list string, buildOwn func(i int) *lilacv1.Digest) []*node {
	return startNodesIn(t, []string{"dakar-a"}, time.Now, n, list, buildOwn)
}

// startNodesIn distributes the entries over the data centres round-robin; now is their
// clock.
func startNodesIn(t testing.TB, dataCenters []string, now func() time.Time, n int, list string, buildOwn func(i int) *lilacv1.Digest) []*node {
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
		id := link.Identity{Peer: link.Peer{Process: peer.Name, DataCenter: peer.DataCenter}, Keys: secret.StaticKeys(testKey), Traffic: &link.Traffic{}}
		x := &node{peer: peer, events: make(chan string, eventBuffer), traffic: id.Traffic}
		o := Options{
			Self:    member.Peer{Name: peer.Name, Address: peer.Address.Value, DataCenter: peer.DataCenter},
			Entries: peers, Dial: dialer(t, id), OwnDigest: func() *lilacv1.Digest { return buildOwn(i) }, Now: now,
			OnDigest: func(d *lilacv1.Digest, _ time.Time) {
				if d.GetInstance() == member.Others {
					x.combined.Store(d)
				}
				x.record("digest %s", d.GetInstance())
			},
			OnDigestExpired: func(name string) { x.record("gone %s", name) },
			OnServerState:   func(name string, leaving bool) { x.record("server %s %v", name, leaving) },
			OnLivePeers:     func(live []settings.Peer) { x.record("live %d", len(live)) },
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

func (x *node) record(format string, args ...any) {
	select {
	case x.events <- fmt.Sprintf(format, args...):
	default:
	}
}

func (x *node) waitFor(line string) {
	for got := range x.events {
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

func emptyDigest(int) *lilacv1.Digest { return &lilacv1.Digest{} }

// An entry process is killed. The others must report its digest as expired, or their
// policies would keep relying on its promises.
func TestKilledEntryExpires(t *testing.T) {
	all := start(t, 3, "", emptyDigest)
	all[0].waitFor("digest entry-1")
	all[0].waitFor("digest entry-2")
	// An entry from which no digest was received is not reported as expired.
	all[1].waitFor("digest entry-2")
	all[2].stop()
	all[2].server.Close()
	all[0].waitFor("gone entry-2")
	all[1].waitFor("gone entry-2")
}

// The platform's list shows a server as leaving, and only one entry can read the list.
// That entry must propagate the state to the others.
func TestLeavingServerIsPropagated(t *testing.T) {
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"instances":[{"name":"r7","role":"server","state":"leaving"},{"name":"r8","role":"server","state":"live"}]}`)
	}))
	defer platform.Close()
	for _, x := range start(t, 3, platform.URL, emptyDigest) {
		x.waitFor("server r7 true")
	}
}

func TestListErrors(t *testing.T) {
	const one = `{"instances":[{"name":"r7","role":"server","state":"leaving"}]}`
	for name, c := range map[string]struct {
		answer http.HandlerFunc
		length int
		fails  bool
	}{
		"fine":         {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, one) }, 1, false},
		"empty":        {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{}`) }, 0, false},
		"error":        {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", 500) }, 0, true},
		"no JSON":      {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "<html>") }, 0, true},
		"cut":          {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, one[:30]) }, 0, true},
		"not modified": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotModified) }, 0, false},
		"spaces without end after it": {func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, one)
			for spaces := strings.Repeat(" ", 64<<10); ; {
				if _, err := fmt.Fprint(w, spaces); err != nil {
					return
				}
			}
		}, 0, true},
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

// A process configured with the name of another one would send digests in its name and
// hide its death. The digest must match the name authenticated by the link.
func TestDigestWithForeignNameIsRefused(t *testing.T) {
	is := is.New(t)
	g := New(Options{Self: member.Peer{Name: "entry-0"}})
	mux := link.NewMux()
	g.Register(mux)
	caller := &link.Local{Mux: mux, Self: link.Peer{Process: "entry-1"}}
	err := caller.Call(t.Context(), Method, &lilacv1.Digest{Instance: "entry-2"}, &lilacv1.DigestReply{})
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_FORBIDDEN))
	is.NoErr(caller.Call(t.Context(), Method, &lilacv1.Digest{Instance: "entry-1"}, &lilacv1.DigestReply{}))
}
