package link

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/secret"
)

// silentConn loses what either side writes while it is silent.
type silentConn struct {
	net.Conn
	silent, closed atomic.Bool
}

func (c *silentConn) Read(b []byte) (int, error) {
	for {
		if n, err := c.Conn.Read(b); err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *silentConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// renewedAfter is longer than any test runs.
const renewedAfter = time.Hour

// silentLink is a client of a server. Its dials, but for the first, wait for permission.
type silentLink struct {
	*Client
	permit chan struct{}
	dialed chan *silentConn
}

func newSilentLink(t *testing.T) *silentLink {
	key := "one key of all"
	l := &silentLink{Client: NewClient(serve(t, key), Identity{Keys: secret.StaticKeys([]byte(key))}), permit: make(chan struct{}, 1), dialed: make(chan *silentConn, 2)}
	l.permit <- struct{}{}
	l.dialer = func(ctx context.Context, address string) (net.Conn, error) {
		<-l.permit
		conn, err := dialTCP(ctx, address)
		wrapped := &silentConn{Conn: conn}
		l.dialed <- wrapped
		return wrapped, err
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func (l *silentLink) call() error {
	return l.Call(context.Background(), "echo", &lilacv1.QueryRequest{}, &lilacv1.QueryReply{})
}

// age makes the last read from the connection older than renewedAfter.
func (l *silentLink) age() { l.session.out.readActivity.lastRead.Store(-int64(2 * renewedAfter)) }

// Guards against calls that wait for the keep-alive while their connection is silent and new ones
// work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	l := newSilentLink(t)
	is.NoErr(l.call())
	old := <-l.dialed
	old.silent.Store(true)
	waiting := make(chan error, 1)
	go func() { waiting <- l.call() }()
	l.age()
	l.permit <- struct{}{}
	l.Renew(renewedAfter)
	is.True(<-waiting != nil)
	is.Equal(len(l.dialed), 1) // the keep-alive dials only for the next call
	is.True(old.closed.Load())
	is.NoErr(l.call())
	is.Equal(len(l.dialed), 1)
}

// Guards against the loss of a sound connection to a peer that is slow.
func TestConnectionThatIsReadFromIsKept(t *testing.T) {
	is := is.New(t)
	l := newSilentLink(t)
	is.NoErr(l.call())
	kept := <-l.dialed
	l.Renew(renewedAfter)
	is.True(!l.renewing)
	l.age()
	l.Renew(renewedAfter)
	l.Renew(renewedAfter)
	is.True(l.renewing)
	is.NoErr(l.call()) // on the old connection, while the new one is dialled
	l.permit <- struct{}{}
	refused := <-l.dialed
	for !refused.closed.Load() {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(l.call())
	is.True(!kept.closed.Load())
	is.Equal(len(l.dialed), 0) // one dial at a time
}
