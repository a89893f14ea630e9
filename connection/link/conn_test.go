package link

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/secret"
)

// connectTo returns a connection that another process forwards to the one that open returns.
func connectTo(t *testing.T, open ConnHandler) (net.Conn, error) {
	_, client := startLink(t, open)
	return client.Connect(t.Context(), "connect", &lilacv1.ConnectRequest{Address: "x"})
}

// startLink starts a process that forwards connections, and a client of it.
func startLink(t *testing.T, open ConnHandler) (*Server, *Client) {
	is := is.New(t)
	mux := NewMux()
	mux.HandleConn("connect", open)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	keys := secret.StaticKeys([]byte("one key of all"))
	server := NewServer(Identity{Peer: Peer{Process: "s"}, Keys: keys}, mux)
	go server.Serve(listener)
	client := NewClient(listener.Addr().String(), Identity{Peer: Peer{Process: "c"}, Keys: keys})
	t.Cleanup(func() { client.Close(); listener.Close(); server.Close() })
	return server, client
}

// tcpPair returns the two ends of a TCP connection.
func tcpPair(t *testing.T) (near, far *net.TCPConn) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	accepted, err := listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() { dialed.Close(); accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// Guards against a response that looks complete after the forwarded connection was reset, and
// against bytes that are lost or reordered.
func TestForwardedConnTellsEndFromReset(t *testing.T) {
	for name, reset := range map[string]bool{"end": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			near, far := tcpPair(t)
			conn, err := connectTo(t, func(context.Context, *Exchange) (net.Conn, error) { return near, nil })
			is.NoErr(err)
			text := strings.Repeat("request ", 10*chunkBytes/8)
			go func() { _, _ = conn.Write([]byte(text)) }()
			got := make([]byte, len(text))
			_, err = io.ReadFull(far, got)
			is.NoErr(err)
			is.True(string(got) == text)
			_, err = far.Write([]byte("answer"))
			is.NoErr(err)
			answer := make([]byte, len("answer"))
			_, err = io.ReadFull(conn, answer)
			is.NoErr(err)
			if reset {
				is.NoErr(far.SetLinger(0))
			}
			far.Close()
			_, err = conn.Read(answer)
			is.Equal(err == io.EOF, !reset)
			is.Equal(errors.Is(err, syscall.ECONNRESET), reset)
			_, again := conn.Read(answer)
			is.Equal(again, err) // a reader may ask again
			is.NoErr(conn.Close())
		})
	}
}

// Guards against a caller that waits for the rest of an answer whose server reset the connection while
// the request was still being written.
func TestForwardedConnEndsWithATargetThatAcceptsNoMore(t *testing.T) {
	is := is.New(t)
	near, far := tcpPair(t)
	conn, err := connectTo(t, func(context.Context, *Exchange) (net.Conn, error) { return &refusingConn{near}, nil })
	is.NoErr(err)
	_, err = far.Write([]byte("part"))
	is.NoErr(err)
	part := make([]byte, len("part"))
	_, err = io.ReadFull(conn, part)
	is.NoErr(err)
	_, err = conn.Write([]byte("rest of the request"))
	is.NoErr(err)
	_, err = io.ReadFull(far, make([]byte, 1))
	is.Equal(err, io.EOF)
	is.NoErr(far.SetLinger(0))
	is.NoErr(far.Close())
	_, err = conn.Read(part)
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_BACKEND_FAILED)) // it was told at once
}

// refusingConn accepts no bytes and closes its direction.
type refusingConn struct{ *net.TCPConn }

func (c *refusingConn) Write([]byte) (int, error) {
	return 0, errors.Join(syscall.ECONNRESET, c.CloseWrite())
}

// Guards against a server that works on for a caller that has left.
func TestForwardedConnClosesTargetWithCaller(t *testing.T) {
	is := is.New(t)
	near, far := tcpPair(t)
	conn, err := connectTo(t, func(context.Context, *Exchange) (net.Conn, error) { return near, nil })
	is.NoErr(err)
	is.NoErr(conn.Close())
	_, err = far.Read(make([]byte, 1))
	is.True(err != nil)
}

// Guards against a refusal that looks like an open connection.
func TestRefusedForwardedConnIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := connectTo(t, func(context.Context, *Exchange) (net.Conn, error) {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "no path")
	})
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE))
}

// Guards against the end of a link that reads like the end of the target's bytes, to a reader that
// unwraps errors.
func TestForwardedConnOfABrokenLinkHasNoRegularEnd(t *testing.T) {
	for name, breakLink := range map[string]func(*Server, *Client){
		"other process ends": func(s *Server, _ *Client) { go s.Close() },
		"given up here":      func(_ *Server, c *Client) { c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			near, far := tcpPair(t)
			server, client := startLink(t, func(context.Context, *Exchange) (net.Conn, error) { return near, nil })
			conn, err := client.Connect(t.Context(), "connect", &lilacv1.ConnectRequest{Address: "x"})
			is.NoErr(err)
			_, err = far.Write([]byte("ans"))
			is.NoErr(err)
			part := make([]byte, len("answer"))
			_, err = io.ReadFull(conn, part[:3])
			is.NoErr(err)
			breakLink(server, client)
			// The first reads may meet the abort of the stream, later ones the end of the link.
			for err = yamux.ErrTimeout; errors.Is(err, yamux.ErrTimeout); _, err = conn.Read(part) {
				is.True(!errors.Is(err, io.EOF))
			}
			is.True(!errors.Is(err, io.EOF))
			is.True(errors.Is(err, syscall.ECONNRESET))
		})
	}
}
