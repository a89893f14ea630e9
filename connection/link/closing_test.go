package link

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/secret"
)

// blockingCloseConn is a connection whose Close blocks until release is closed, like a Close
// that waits for a read or write in progress.
type blockingCloseConn struct {
	net.Conn
	closing chan struct{}
	release chan struct{}
	once    sync.Once
}

func newBlockingCloseConn(conn net.Conn) *blockingCloseConn {
	return &blockingCloseConn{Conn: conn, closing: make(chan struct{}), release: make(chan struct{})}
}

func (c *blockingCloseConn) Close() error {
	c.once.Do(func() { close(c.closing) })
	<-c.release
	return c.Conn.Close()
}

// requireEndBeforeClose requires that the reader ends while its connection is still closing.
func (c *blockingCloseConn) requireEndBeforeClose(is *is.I, ended <-chan struct{}) {
	is.Helper()
	<-c.closing
	inTime := true
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		inTime = false
	}
	close(c.release)
	is.True(inTime) // otherwise the reader spins
}

// waitMux serves the method "wait", which lasts until its caller aborts it. It closes started
// and ended when the handler starts and ends.
func waitMux(started, ended chan struct{}) *Mux {
	mux := NewMux()
	mux.Handle("wait", func(ctx context.Context, _ *Exchange) error {
		close(started)
		<-ctx.Done()
		close(ended)
		return nil
	})
	return mux
}

var testIdentity = Identity{Peer: Peer{Process: "p", DataCenter: "dc"}, Keys: secret.StaticKeys([]byte("one key of all"))}

// A client's pending reads spun between the end of the session and the close of its
// connection. On a single CPU they prevented the close.
func TestClientStreamsEndBeforeConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewServer(testIdentity, waitMux(make(chan struct{}), make(chan struct{})))
	go server.Serve(listener)
	defer func() { listener.Close(); server.Close() }()
	client := NewClient(listener.Addr().String(), testIdentity)
	var conn *blockingCloseConn
	client.dialer = func(ctx context.Context, address string) (net.Conn, error) {
		dialed, err := dialTCP(ctx, address)
		if err == nil {
			conn = newBlockingCloseConn(dialed)
		}
		return conn, err
	}
	stream, err := client.Open(t.Context(), "wait", &lilacv1.QueryRequest{})
	is.NoErr(err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		is.True(stream.Recv(&lilacv1.QueryReply{}) != nil)
	}()
	closed := make(chan struct{})
	go func() { defer close(closed); client.Close() }()
	conn.requireEndBeforeClose(is, ended)
	<-closed
}

// The server's goroutine that waits for the caller to close the stream outlived an answered
// call, and spun once the session ended.
func TestAnsweredStreamHasNoReader(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	out := newCoalescingConn(near)
	ours, err := yamux.Server(out, sessionConfig())
	is.NoErr(err)
	theirs, err := yamux.Client(far, sessionConfig())
	is.NoErr(err)
	defer theirs.Close()
	defer ours.Close()
	opened, err := theirs.OpenStream()
	is.NoErr(err)
	is.NoErr(writeFrames(opened, &lilacv1.LinkOpen{Method: "refuse"}, messageFrame(nil)))
	stream, err := ours.AcceptStream()
	is.NoErr(err)
	NewServer(testIdentity, testMux()).serveStream(context.Background(), Peer{}, stream, out)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, err := stream.Read(make([]byte, 1))
		is.True(err != nil)
	}()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		is.Fail()
	}
}

// The server's goroutines that wait for callers to close their streams must end before the
// connection is closed, as in TestClientStreamsEndBeforeConnection.
func TestServerStreamsEndBeforeConnection(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	conn := newBlockingCloseConn(near)
	out := newCoalescingConn(conn)
	ours, err := yamux.Server(out, sessionConfig())
	is.NoErr(err)
	theirs, err := yamux.Client(far, sessionConfig())
	is.NoErr(err)
	started, ended := make(chan struct{}), make(chan struct{})
	go func() {
		stream, err := ours.AcceptStream()
		is.NoErr(err)
		NewServer(testIdentity, waitMux(started, ended)).serveStream(context.Background(), Peer{}, stream, out)
	}()
	stream, err := theirs.OpenStream()
	is.NoErr(err)
	is.NoErr(writeFrames(stream, &lilacv1.LinkOpen{Method: "wait"}, messageFrame(nil)))
	<-started
	go theirs.Close()
	conn.requireEndBeforeClose(is, ended)
}
