package serverpath

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/secret"
)

// instance is a dialer with a link server, and a direct path that can be lost.
type instance struct {
	*Dialer
	peer  Peer
	lost  atomic.Bool
	dials atomic.Int64
	// silent makes dials on a lost path time out; otherwise they are refused.
	silent bool
	// accepted are the connections of the link server, for breakLinks.
	accepted connSet
}

// connSet holds accepted connections.
type connSet struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

// Accept implements net.Listener.
func (s *connSet) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err == nil {
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
	}
	return conn, err
}

// breakLinks closes all links of other instances to this one.
func (i *instance) breakLinks() {
	i.accepted.mu.Lock()
	defer i.accepted.mu.Unlock()
	for _, conn := range i.accepted.conns {
		conn.Close()
	}
	i.accepted.conns = nil
}

func (i *instance) direct(ctx context.Context, network, address string) (net.Conn, error) {
	i.dials.Add(1)
	if i.lost.Load() && i.silent {
		ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	if i.lost.Load() {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// startInstances starts instances of data centre "dc" that know each other and the server at
// address.
func startInstances(t *testing.T, count int, address string) []*instance {
	dataCenters := make([]string, count)
	for i := range dataCenters {
		dataCenters[i] = "dc"
	}
	return startInstancesIn(t, dataCenters, address)
}

// clientSet holds the links between instances.
type clientSet struct {
	mu      sync.Mutex
	clients map[string]*link.Client
}

func (s *clientSet) get(from, to string, id link.Identity) *link.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	client := s.clients[from+"/"+to]
	if client == nil {
		client = link.NewClient(to, id)
		s.clients[from+"/"+to] = client
	}
	return client
}

func (s *clientSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, client := range s.clients {
		client.Close()
	}
}

// startInstancesIn starts one instance in each of the data centres. The server is in "dc".
func startInstancesIn(t *testing.T, dataCenters []string, address string) []*instance {
	is := is.New(t)
	keys := secret.StaticKeys([]byte("one key of all"))
	var instances []*instance
	var peers []Peer
	clients := &clientSet{clients: make(map[string]*link.Client)}
	t.Cleanup(clients.close)
	for i, dataCenter := range dataCenters {
		name := string(rune('a' + i))
		id := link.Identity{Peer: link.Peer{Process: name}, Keys: keys}
		one := &instance{}
		one.Dialer = New(Options{
			Self: Peer{Name: name, DataCenter: dataCenter}, Logger: hclog.NewNullLogger(),
			Connector:  func(to string) link.Connector { return clients.get(name, to, id) },
			DataCenter: func(asked string) (string, bool) { return "dc", asked == address },
		})
		mux := link.NewMux()
		one.Register(mux, one.direct)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		links := link.NewServer(id, mux)
		one.accepted.Listener = listener
		go links.Serve(&one.accepted)
		t.Cleanup(func() { listener.Close(); links.Close() })
		one.peer = Peer{Name: name, Address: listener.Addr().String(), DataCenter: dataCenter}
		instances, peers = append(instances, one), append(peers, one.peer)
	}
	for _, one := range instances {
		one.SetPeers(peers)
	}
	return instances
}

// echoServer returns the address of a server that sends back what it receives.
func echoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func checkEcho(t *testing.T, conn net.Conn) {
	is := is.New(t)
	_, err := conn.Write([]byte("hello"))
	is.NoErr(err)
	got := make([]byte, len("hello"))
	_, err = io.ReadFull(conn, got)
	is.NoErr(err)
	is.Equal(string(got), "hello")
}

func waitFor(t *testing.T, condition func() bool) {
	for !condition() && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

// Guards against an instance that stays without a server which another instance reaches, while
// some of the instances that it asks have lost their paths too.
func TestConnectionsTakeAnotherWayWhilePathIsLost(t *testing.T) {
	is := is.New(t)
	address := echoServer(t)
	instances := startInstances(t, 4, address)
	first := instances[0]
	for _, one := range instances[:3] {
		one.lost.Store(true)
	}
	for range 4 {
		conn, err := first.Dial(t.Context(), first.direct, "tcp", address)
		is.NoErr(err)
		checkEcho(t, conn)
		is.Equal(conn.(*forwardedConn).Forwarder(), "d")
		conn.Close()
	}
	waitFor(t, func() bool { return first.IsLost(address) })
	_, served := instances[3].Counts()
	is.Equal(served, uint64(4))
	first.lost.Store(false)
	waitFor(t, func() bool {
		conn, err := first.Dial(t.Context(), first.direct, "tcp", address)
		is.NoErr(err)
		conn.Close()
		return !first.IsLost(address)
	})
}

// Guards against instances of a data centre that take a server for down because none of them
// reaches it, although those of another data centre do.
func TestDataCentreWithoutPathsConnectsThroughAnother(t *testing.T) {
	for name, silent := range map[string]bool{"refused": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := echoServer(t)
			instances := startInstancesIn(t, []string{"dc", "dc", "dc", "dc", "other"}, address)
			for _, one := range instances[:4] {
				one.lost.Store(true)
				one.silent = silent
			}
			conn, err := instances[0].Dial(t.Context(), instances[0].direct, "tcp", address)
			is.NoErr(err)
			checkEcho(t, conn)
			conn.Close()
			_, served := instances[4].Counts()
			is.Equal(served, uint64(1))
		})
	}
}

// Guards against an instance without own requests that never learns that its path is back, and
// forwards nothing.
func TestInstanceForwardsOnceItsPathIsBack(t *testing.T) {
	is := is.New(t)
	address := echoServer(t)
	one := startInstances(t, 1, address)[0]
	one.core.Dialled(time.Now().Add(-time.Hour), address, false, true)
	is.True(one.IsLost(address))
	conn, err := one.serve(t.Context(), one.direct, address)
	is.NoErr(err)
	conn.Close()
	is.True(!one.IsLost(address))
	one.core.Dialled(time.Now(), address, false, true)
	_, err = one.serve(t.Context(), one.direct, address)
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE)) // not before the next retry
}

// Guards against a connection that is passed on from instance to instance.
func TestForwardedConnectionTakesOneHop(t *testing.T) {
	is := is.New(t)
	address := echoServer(t)
	instances := startInstances(t, 3, address)
	for _, one := range instances {
		one.lost.Store(true)
	}
	_, err := instances[0].Dial(t.Context(), instances[0].direct, "tcp", address)
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	var op *net.OpError
	is.True(errors.As(err, &op) && op.Op == "dial")
	for _, one := range instances[1:] {
		is.True(one.dials.Load() <= 1)
	}
}

// Guards against an instance that connects others to addresses which are no backend servers.
func TestOnlyBackendServersAreReachedThroughAnInstance(t *testing.T) {
	is := is.New(t)
	one := startInstances(t, 1, "10.0.0.1:80")[0]
	_, err := one.serve(t.Context(), one.direct, echoServer(t))
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_FORBIDDEN))
	is.Equal(one.dials.Load(), int64(0))
}

// Guards against an instance that forwards more connections for others than it has room for.
func TestForwardedConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	address := echoServer(t)
	one := startInstances(t, 1, address)[0]
	one.open.Store(maxServed)
	_, err := one.serve(t.Context(), one.direct, address)
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_OVERLOADED))
	is.Equal(one.open.Load(), int64(maxServed))
}

// Guards against a graceful shutdown that cuts off requests of other instances.
func TestDrainWaitsForForwardedConnections(t *testing.T) {
	is := is.New(t)
	address := echoServer(t)
	instances := startInstances(t, 2, address)
	instances[0].lost.Store(true)
	conn, err := instances[0].Dial(t.Context(), instances[0].direct, "tcp", address)
	is.NoErr(err)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		instances[1].Drain(t.Context())
	}()
	waitFor(t, instances[1].leaving.Load)
	checkEcho(t, conn)
	_, err = instances[1].serve(t.Context(), instances[1].direct, address)
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_DRAINING))
	select {
	case <-drained:
		t.Fatal("drained with an open connection")
	default:
	}
	conn.Close()
	<-drained
}

// Guards against a server that is taken for crashed since the link to an instance broke that was to
// forward the connection.
func TestBrokenLinkToAnotherInstanceIsNoBrokenConnection(t *testing.T) {
	for _, cause := range []error{io.ErrUnexpectedEOF, io.EOF, syscall.ECONNREFUSED, syscall.ECONNRESET} {
		is := is.New(t)
		err := (&dial{network: "tcp", forwarderErr: cause}).err()
		is.True(!errors.Is(err, cause))
		var op *net.OpError
		is.True(errors.As(err, &op) && op.Op == "dial")
	}
}
