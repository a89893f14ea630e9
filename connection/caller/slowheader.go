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
	"github.com/lilacbridge/lilacbridge/connection/httpserver"
)

// WrapListener returns a listener whose connections send a typed error to a caller whose
// request header does not arrive in time; net/http closes such a connection without a
// response.
func (h *Handler) WrapListener(listener net.Listener) net.Listener {
	return &headerTimeoutListener{listener, h}
}

type connKey struct{}

// ConnContext is an http.Server.ConnContext function that gives the handler access to the
// connection of a request.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return httpserver.ConnContext(context.WithValue(ctx, connKey{}, conn), conn)
}

// markHeaderRead records that a request header was read on the connection. The handler
// reports later timeouts itself.
func markHeaderRead(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(*headerTimeoutConn); ok {
		conn.handled.Store(true)
	}
}

type headerTimeoutListener struct {
	net.Listener
	handler *Handler
}

// Accept returns the next connection, wrapped in a headerTimeoutConn.
func (l *headerTimeoutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headerTimeoutConn{Conn: conn, handler: l.handler}, nil
}

// headerTimeoutConn sends a typed error if reading the first request header times out. It
// does not do so after net/http has written to the connection or a handler has a request.
type headerTimeoutConn struct {
	net.Conn
	handler *Handler
	// received is set when the first byte is read. handled is set when the first byte is
	// written or a handler has the request.
	received atomic.Bool
	handled  atomic.Bool
}

func (c *headerTimeoutConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.received.Load() && c.handled.CompareAndSwap(false, true) {
		c.writeTimeoutError()
	}
	return n, err
}

func (c *headerTimeoutConn) Write(b []byte) (int, error) {
	c.handled.Store(true)
	return c.Conn.Write(b)
}

// SetLinger implements the method of net.TCPConn, for other connections without effect.
func (c *headerTimeoutConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

func (c *headerTimeoutConn) writeTimeoutError() {
	c.handler.counter.Refused("slow_caller")
	id := newRequestID()
	body := encodeError(refused(lilacv1.ErrorKind_ERROR_KIND_SLOW_CALLER, "request header did not arrive within "+c.handler.limits.ReadTimeout.String()+"; send it faster"), id)
	head := "HTTP/1.1 " + strconv.Itoa(http.StatusRequestTimeout) + " " + http.StatusText(http.StatusRequestTimeout) +
		"\r\nConnection: close\r\nContent-Type: application/json\r\nX-Request-Id: " + id +
		"\r\nX-Lilac-Instance: " + c.handler.instance + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	_, _ = c.Conn.Write(append([]byte(head), body...))
}
