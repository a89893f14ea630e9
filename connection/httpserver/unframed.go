package httpserver

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// lingerer is implemented by TCP connections.
type lingerer interface{ SetLinger(seconds int) error }

// ConnContext is an http.Server.ConnContext function, which ResetIfKilled requires.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ResetIfKilled has the kernel reset the connection of a request, in place of a regular close, if
// the process ends before the returned function is called. ctx is the request's. It is for a body
// that ends with its connection.
func ResetIfKilled(ctx context.Context) (confirmEnd func()) {
	conn, ok := ctx.Value(connKey{}).(lingerer)
	if !ok {
		return func() {}
	}
	_ = conn.SetLinger(0)
	return func() { _ = conn.SetLinger(-1) }
}

// EndWithConnection makes the body of a response end with its connection, without a length
// or chunks, as that of a server whose response does not show whether it is complete. It must
// be called before the header is written.
func EndWithConnection(header http.Header) {
	header.Del("Content-Length")
	// net/http takes this value as a request to write the body as it is.
	header.Set("Transfer-Encoding", "identity")
}

// Reset closes the connection of a response that has begun with a TCP reset. A regular close
// would be the regular end of a body that ends with its connection.
func Reset(control *http.ResponseController) {
	conn, _, err := control.Hijack()
	if err != nil {
		// Not a connection of HTTP/1: the abort of the handler resets the stream.
		return
	}
	if tcp, ok := conn.(lingerer); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
