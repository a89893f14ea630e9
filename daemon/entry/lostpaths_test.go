package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

// silentDialTimeout is the timeout of a dial that nothing answers.
const silentDialTimeout = 100 * time.Millisecond

// pathTo opens connections to backend servers unless the path is lost.
type pathTo struct {
	lost atomic.Bool
	// silent makes dials hang until they time out; otherwise they are refused.
	silent bool
}

func (p *pathTo) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !p.lost.Load() {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	if p.silent {
		ctx, cancel := context.WithTimeout(ctx, silentDialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
}

// startDaemons starts instances that know each other, in front of one service, and returns
// them with their paths to it.
func startDaemons(t *testing.T, count int, silent bool, server *lilacv1.Server) ([]*Daemon, []*pathTo) {
	is := is.New(t)
	const key = "a link key for tests"
	process := newStateProcess(t, key)
	process.start()
	var daemons []*Daemon
	var paths []*pathTo
	var peers []settings.Peer
	for i := range count {
		s := daemonSettings(t, key, process)
		s.Name = "entry-" + strconv.Itoa(i+1)
		d, err := NewDaemon(s, hclog.NewNullLogger(), nil)
		is.NoErr(err)
		path := &pathTo{silent: silent}
		d.entry.clients.SetDirect(path.dial)
		daemons, paths = append(daemons, d), append(paths, path)
		peers = append(peers, settings.Peer{Name: s.Name, DataCenter: s.DataCenter, Address: settings.Address{Value: d.listeners.link.Addr().String()}})
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, count)
	for _, d := range daemons {
		d.gossip.SetEntries(peers)
		go func() { ended <- d.Run(ctx) }()
	}
	t.Cleanup(func() {
		stop()
		for range daemons {
			is.NoErr(<-ended)
		}
	})
	_, err := daemons[0].state.Propose(t.Context(), &lilacv1.Proposal{Who: "ana", Changes: []*lilacv1.Change{
		{Op: &lilacv1.Change_SetClass{SetClass: &lilacv1.Class{Name: "default", FirstTokenMs: 1000}}},
		{Op: &lilacv1.Change_SetTeam{SetTeam: &lilacv1.Team{Name: "coop"}}},
		{Op: &lilacv1.Change_SetServer{SetServer: server}},
	}})
	is.NoErr(err)
	for _, d := range daemons {
		waitFor(t, func() bool { return d.watcher.Revision() == 1 && len(d.liveEntries()) == count-1 })
	}
	return daemons, paths
}

// Guards against an instance that answers 503 because it has lost its paths to all servers
// while another instance reaches them.
func TestInstanceWithoutPathsServesThroughAnother(t *testing.T) {
	for name, silent := range map[string]bool{"refused": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			backend := newFakeBackend(t, serveBooking)
			daemons, paths := startDaemons(t, 2, silent, backend.service("g1"))
			paths[0].lost.Store(true)
			for i := range 3 {
				f := &fixture{t: t, url: "http://" + daemons[0].listeners.callers.Addr().String()}
				resp, _ := f.post(bookingURL, booking, "Idempotency-Key", "k"+strconv.Itoa(i))
				is.Equal(resp.StatusCode, http.StatusCreated)
			}
			is.Equal(len(backend.calls("/book")), 3) // each ran once
		})
	}
}
