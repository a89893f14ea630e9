// Package upstream sends HTTP requests to backend servers and knows, for each
// attempt, whether a byte of it may have been written.
package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// A server behind a silent cut is noticed after keepAliveIdle plus
	// keepAliveCount times keepAliveGap.
	keepAliveIdle  = 5 * time.Second
	keepAliveGap   = 2 * time.Second
	keepAliveCount = 3
	// idleTimeout is below the 5 s after which common servers close a kept
	// connection, so that no request meets one that is being closed.
	idleTimeout     = 4 * time.Second
	idlePerServer   = 64
	maxHeaderBytes  = 64 << 10
	readBufferBytes = 4 << 10
	// RequestIDHeader carries the attempt's id there and back.
	RequestIDHeader = "X-Request-Id"
)

// ErrSealed is the error of a write that came after its attempt was sealed.
var ErrSealed = errors.New("attempt was given up before its first byte")

const (
	fresh int32 = iota
	written
	sealed
)

// Attempt is one try at one backend server. It moves from fresh to written or
// to sealed, and never back.
type Attempt struct {
	// OnWrite is called once, just before the first byte may go out; may be nil.
	OnWrite func()
	state   atomic.Int32
}

// Seal gives the attempt up and reports whether none of its bytes was written.
//
// It guards against a refusal that says "not run" while the HTTP library's own
// goroutine is still about to write: the library reports an ended context
// before its writer has looked. It shows as a request that ran although its
// caller was told otherwise. It holds because the writer must first move the
// same word from fresh to written, and a sealed attempt fails that.
func (a *Attempt) Seal() bool {
	return a.state.CompareAndSwap(fresh, sealed) || a.state.Load() == sealed
}

// Written reports whether a byte may have been written.
func (a *Attempt) Written() bool { return a.state.Load() == written }

func (a *Attempt) mayWrite() bool {
	if a.state.CompareAndSwap(fresh, written) {
		if a.OnWrite != nil {
			a.OnWrite()
		}
		return true
	}
	return a.state.Load() == written
}

// trackedConn reports its writes to the attempt that uses it.
type trackedConn struct {
	net.Conn
	attempt atomic.Pointer[Attempt]
}

func (c *trackedConn) Write(b []byte) (int, error) {
	if a := c.attempt.Load(); a != nil && !a.mayWrite() {
		return 0, ErrSealed
	}
	return c.Conn.Write(b)
}

// Client sends requests to all backend servers.
type Client struct {
	kept  *http.Client
	fresh *http.Client
}

// NewClient returns a Client of its own pool of connections.
func NewClient() *Client {
	kept := newTransport()
	fresh := newTransport()
	fresh.DisableKeepAlives = true
	return &Client{
		kept:  &http.Client{Transport: kept, CheckRedirect: noRedirect},
		fresh: &http.Client{Transport: fresh, CheckRedirect: noRedirect},
	}
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveGap, Count: keepAliveCount,
	}}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         readBufferBytes,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c *Client) Close() { c.kept.CloseIdleConnections() }

// onceBody hides the body's kind from net/http.
//
// It guards against a second run of a non-idempotent call: net/http sends a
// POST again by itself after a broken connection when it carries an
// Idempotency-Key and a body that can be had again (also an empty one). It
// shows as two runs under one key. It holds because a body of unknown kind
// without GetBody is never sent twice.
type onceBody struct{ io.Reader }

// Close has nothing to free: the body stands in memory.
func (onceBody) Close() error { return nil }

// Do sends the request as the attempt, which may be nil for calls that no
// caller waits for, over a kept connection where there is one. An answer that
// carries another X-Request-Id than the request is discarded, see ErrNotBound.
func (c *Client) Do(req *http.Request, attempt *Attempt) (*http.Response, error) {
	return do(c.kept, req, attempt)
}

// DoFresh is Do over a connection of its own.
//
// It guards against a request that must not be repeated and meets a kept
// connection at the moment at which the server closes it: nobody can tell then
// whether it ran. It shows as an unknown outcome while the server is well. It
// holds because a connection that was just opened is not idle.
func (c *Client) DoFresh(req *http.Request, attempt *Attempt) (*http.Response, error) {
	return do(c.fresh, req, attempt)
}

func do(client *http.Client, req *http.Request, attempt *Attempt) (*http.Response, error) {
	if req.Body != nil {
		req.Body = onceBody{req.Body}
		req.GetBody = nil
	}
	var conn *trackedConn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, _ = info.Conn.(*trackedConn)
		if conn != nil {
			conn.attempt.Store(attempt)
		}
	}}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := bound(req, resp); err != nil {
		if conn != nil {
			conn.Close()
		}
		resp.Body.Close()
		return nil, err
	}
	if resp.Header.Get(RequestIDHeader) == "" && conn != nil {
		resp.Body = &lastBody{ReadCloser: resp.Body, conn: conn}
	}
	return resp, nil
}

// ErrNotBound is the error of an answer that belongs to another request.
var ErrNotBound = errors.New("answer carries another request's X-Request-Id; it was discarded")

// bound checks that an answer belongs to its request.
//
// It guards against a late answer of a replaced attempt on a reused
// connection: a server that writes a second answer where it owed one makes the
// next request on that connection read it. It would show as one caller's
// answer at another. It holds because each attempt has an id of its own, which
// the server echoes, and connections of servers that echo none are not reused.
func bound(req *http.Request, resp *http.Response) error {
	want := req.Header.Get(RequestIDHeader)
	got := resp.Header.Get(RequestIDHeader)
	if want != "" && got != "" && got != want {
		return ErrNotBound
	}
	return nil
}

// lastBody closes the connection of a server that echoes no id with the body.
type lastBody struct {
	io.ReadCloser
	conn *trackedConn
}

func (b *lastBody) Close() error {
	b.conn.Close()
	return b.ReadCloser.Close()
}
