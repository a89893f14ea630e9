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

// slowToClose is a connection whose Close takes until release is closed, as one does that
// waits for a read or write in progress.
type slowToClose struct {
	net.Conn
	closing chan struct{}
	release chan struct{}
	once    sync.Once
}

func newSlowToClose(conn net.Conn) *slowToClose {
	return &slowToClose{Conn: conn, closing: make(chan struct{}), release: make(chan struct{})}
}

func (c *slowToClose) Close() error {
	c.once.Do(func() { close(c.closing) })
	<-c.release
	return c.Conn.Close()
}

// endsBeforeRelease checks that the reader ends while its connection is still being closed.
func (c *slowToClose) endsBeforeRelease(is *is.I, ended <-chan struct{}) {
	is.Helper()
	<-c.closing
	inTime := true
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		inTime = false
	}
	close(c.release)
	is.True(inTime) // else the reader spins
}

// waiting serves a call that lasts until its caller gives it up; begun and ended are closed.
func waiting(begun, ended chan struct{}) *Mux {
	mux := NewMux()
	mux.Handle("wait", func(ctx context.Context, _ *Exchange) error {
		close(begun)
		<-ctx.Done()
		close(ended)
		return nil
	})
	return mux
}

var sharedKey = Identity{Peer: Peer{Process: "p", DataCenter: "dc"}, Keys: secret.Always([]byte("one key of all"))}

// A client's readers spun from the end of its session until the connection was closed, and
// on one processor kept it from being closed.
func TestAClientsStreamsEndBeforeItsConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewServer(sharedKey, waiting(make(chan struct{}), make(chan struct{})))
	go server.Serve(listener)
	defer func() { listener.Close(); server.Close() }()
	client := NewClient(listener.Addr().String(), sharedKey)
	var conn *slowToClose
	client.dialer = func(ctx context.Context, address string) (net.Conn, error) {
		dialed, err := dialTCP(ctx, address)
		if err == nil {
			conn = newSlowToClose(dialed)
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
	conn.endsBeforeRelease(is, ended)
	<-closed
}

// The goroutine that waits for a caller to give up outlived the call that was answered, and
// spun once its session ended.
func TestNobodyReadsAStreamThatWasAnswered(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	out := newGathering(near)
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
	NewServer(sharedKey, testMux()).serveStream(context.Background(), Peer{}, stream, out)
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

// The same for the goroutines of a server that wait for their callers to give up.
func TestAServersStreamsEndBeforeItsConnection(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	conn := newSlowToClose(near)
	out := newGathering(conn)
	ours, err := yamux.Server(out, sessionConfig())
	is.NoErr(err)
	theirs, err := yamux.Client(far, sessionConfig())
	is.NoErr(err)
	begun, ended := make(chan struct{}), make(chan struct{})
	go func() {
		stream, err := ours.AcceptStream()
		is.NoErr(err)
		NewServer(sharedKey, waiting(begun, ended)).serveStream(context.Background(), Peer{}, stream, out)
	}()
	stream, err := theirs.OpenStream()
	is.NoErr(err)
	is.NoErr(writeFrames(stream, &lilacv1.LinkOpen{Method: "wait"}, messageFrame(nil)))
	<-begun
	go theirs.Close()
	conn.endsBeforeRelease(is, ended)
}
