package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Listen wraps a listener so that a caller whose header does not come in time
// gets a typed error; the HTTP library would close its connection without a word.
func (h *Handler) Listen(listener net.Listener) net.Listener { return &slowListener{listener, h} }

type connKey struct{}

// ConnContext lets the handler know the connection of a request; it is the
// server's hook of that name.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// headerCame notes that the connection's header was read, so that what is late
// from now on is answered by the handler.
func headerCame(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(*slowConn); ok {
		conn.answered.Store(true)
	}
}

type slowListener struct {
	net.Listener
	handler *Handler
}

// Accept waits for the next connection.
func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, handler: l.handler}, nil
}

// slowConn answers when reading the first header times out. Once the library
// has written anything, it has a request, and speaks for itself.
type slowConn struct {
	net.Conn
	handler *Handler
	// begun is set with the first byte read, answered with the first written or
	// once a handler has the request.
	begun    atomic.Bool
	answered atomic.Bool
}

func (c *slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.begun.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.begun.Load() && c.answered.CompareAndSwap(false, true) {
		c.refuse()
	}
	return n, err
}

func (c *slowConn) Write(b []byte) (int, error) {
	c.answered.Store(true)
	return c.Conn.Write(b)
}

func (c *slowConn) refuse() {
	c.handler.counter.Refused("slow_caller")
	id := newRequestID()
	body := encodeError(refused(lilacv1.ErrorKind_ERROR_KIND_SLOW_CALLER, "header did not come within "+c.handler.limits.ReadTimeout.String()+"; send it faster"), id)
	head := "HTTP/1.1 " + strconv.Itoa(http.StatusRequestTimeout) + " " + http.StatusText(http.StatusRequestTimeout) +
		"\r\nConnection: close\r\nContent-Type: application/json\r\nX-Request-Id: " + id +
		"\r\nX-Lilac-Instance: " + c.handler.instance + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	_, _ = c.Conn.Write(append([]byte(head), body...))
}
