// Package upstream sends HTTP requests to backend servers and records, for each
// attempt, whether a byte of it may have been written.
package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"
)

// RequestIDHeader carries the id of an attempt or control call in requests and responses.
const RequestIDHeader = "X-Request-Id"

// Client sends requests to all backend servers. It is safe for concurrent use.
type Client struct {
	requests *pool
	control  *pool
	// controlCalls counts the control calls, for their ids.
	controlCalls atomic.Uint64
}

// NewClient returns a Client with its own connections, for servers that echo
// RequestIDHeader.
func NewClient() *Client { return NewClientWithIDHeader(RequestIDHeader) }

// NewClientWithIDHeader is like NewClient for servers that echo the id of a request in
// idHeader.
func NewClientWithIDHeader(idHeader string) *Client {
	return &Client{requests: newPool(idHeader), control: newPool(RequestIDHeader)}
}

// Path opens connections to backend servers.
type Path interface {
	// Dial opens a connection, by direct or through another process.
	Dial(ctx context.Context, direct DialFunc, network, address string) (net.Conn, error)
	// IsLost reports whether the server is not reached directly.
	IsLost(address string) bool
}

// SetPath has path open all connections. It must be called before the first request.
func (c *Client) SetPath(path Path) { c.requests.path, c.control.path = path, path }

// SetUploadStall bounds each write of a large request body; a longer one fails with
// ErrUploadStalled. It must be called before the first request; 0 means no bound.
func (c *Client) SetUploadStall(bound time.Duration) { c.requests.uploadStall = bound }

// SetOnSurplus sets a function that is called with the host:port of a server that sent bytes after
// the end of an answer. They belong to no request, and their connection is closed. It must be
// called before the first request.
func (c *Client) SetOnSurplus(f func(address string)) {
	c.requests.onSurplus, c.control.onSurplus = f, f
}

// SetDirect replaces the function that opens direct connections. It must be called before
// the first request.
func (c *Client) SetDirect(dial DialFunc) { c.requests.direct, c.control.direct = dial, dial }

// DialDirect opens a direct connection to the server at address (host:port).
func (c *Client) DialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	return c.requests.direct(ctx, network, address)
}

// CloseIdle closes the idle connections to the server at address (host:port): on a path that
// is lost they get no answer.
func (c *Client) CloseIdle(address string) {
	c.requests.closeIdle(address)
	c.control.closeIdle(address)
}

// Reachable reports whether the server at address (host:port) accepts connections.
func (c *Client) Reachable(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, reachableTimeout)
	defer cancel()
	conn, err := c.requests.dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.requests.keepAlive.CloseIdleConnections()
	c.requests.recent.CloseIdleConnections()
	c.control.keepAlive.CloseIdleConnections()
}

// ControlBytes returns the number of bytes that Control's connections have sent and
// received.
func (c *Client) ControlBytes() (sent, received uint64) {
	return c.control.sent.Load(), c.control.received.Load()
}

// ControlPackets returns the number of packets that Control's connections have sent and
// received.
func (c *Client) ControlPackets() (sent, received uint64) { return c.control.packets.Packets() }

// preventResend keeps net/http from sending the request twice.
//
// After a connection failure, net/http resends a POST that has an Idempotency-Key and
// either GetBody or http.NoBody, so that a non-idempotent call could run twice. It never
// resends a body without GetBody; the type of an empty one must be hidden too. Other
// bodies keep their type, so that net/http writes header and body together.
func preventResend(req *http.Request) {
	req.GetBody = nil
	if req.Body == http.NoBody {
		req.Body = opaqueBody{req.Body}
	}
}

// opaqueBody hides the type of http.NoBody from net/http.
type opaqueBody struct{ io.Reader }

// Close does nothing, since the body is in memory.
func (opaqueBody) Close() error { return nil }

// Do sends the request, over a reused connection if the server is known to echo request
// ids. attempt may be nil for calls without a waiting caller. See ErrIDMismatch and
// ErrMissingID for responses that are discarded.
func (c *Client) Do(req *http.Request, attempt *Attempt) (*http.Response, error) {
	address := req.URL.Host
	return c.requests.do(c.requests.clientFor(address), req, attempt)
}

// DoNewConn is like Do over a new connection.
//
// It is for requests that must not be repeated: if the server closes an idle connection
// just when such a request is sent on it, its outcome is unknown although the server is
// healthy. A new connection is not idle.
func (c *Client) DoNewConn(req *http.Request, attempt *Attempt) (*http.Response, error) {
	return c.requests.do(c.requests.singleUse, req, attempt)
}

// DoRecentConn is like DoNewConn, but may reuse a connection that was used within
// maxRecentIdle, which the server is not about to close as idle. For distrustPeriod after a
// server sent the response to another request, it uses only new connections to it.
func (c *Client) DoRecentConn(req *http.Request, attempt *Attempt) (*http.Response, error) {
	return c.requests.do(c.requests.recentClientFor(req.URL.Host), req, attempt)
}

// Control sends an internal call, such as a poll, over connections that are not shared with
// callers' requests. It sets the request id.
func (c *Client) Control(req *http.Request) (*http.Response, error) {
	req.Header.Set(RequestIDHeader, "control-"+strconv.FormatUint(c.controlCalls.Add(1), 10))
	address := req.URL.Host
	return c.control.do(c.control.clientFor(address), req, nil)
}

func (p *pool) do(client *http.Client, req *http.Request, attempt *Attempt) (*http.Response, error) {
	preventResend(req)
	var reused bool
	var conn *trackedConn
	var use uint64
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			reused = info.Reused
			var ok bool
			if conn, ok = info.Conn.(*trackedConn); ok {
				use = conn.acquire(attempt)
				conn.boundWrites(req.ContentLength)
			}
		},
		PutIdleConn: func(err error) {
			if err == nil && conn != nil {
				conn.release(use)
			}
		},
	}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		if conn != nil && conn.headErr.Load() != nil {
			err = *conn.headErr.Load()
		}
		return nil, err
	}
	err = p.checkID(req, resp, reused)
	if err == nil && conn != nil {
		err = conn.headError(use)
	}
	if err == nil && resp.StatusCode < http.StatusOK {
		err = &NotAnswerError{Reason: "status " + strconv.Itoa(resp.StatusCode) + " is not final"}
	}
	if err != nil {
		// Closing a body before its end also closes the connection.
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// ErrIDMismatch is the error of a response that belongs to another request.
var ErrIDMismatch = errors.New("response carries the request id of another request; discarded")

// ErrMissingID is the error of a response without request id on a reused connection, from
// a server that echoed request ids before. Later calls to that server use new connections.
var ErrMissingID = errors.New("response on a reused connection carries no request id and may belong to another request; discarded")

// checkID checks that a response belongs to its request.
//
// A server that writes two responses to one request makes the next request on that
// connection read the second one, so that a caller would get the response to another
// caller's request. Each call therefore has a unique id, which a response on a reused
// connection must carry. Servers that have not echoed an id yet, or once did not, get a
// new connection for each call. Closing a connection after such a response is too late:
// net/http may already have assigned it to the next call, which then fails.
func (p *pool) checkID(req *http.Request, resp *http.Response, reused bool) error {
	want := req.Header.Get(p.idHeader)
	got := resp.Header.Get(p.idHeader)
	if got != "" && want != "" && got != want {
		p.distrust(req.URL.Host)
		return ErrIDMismatch
	}
	echoed := want != "" && got == want
	p.setEchoesID(req.URL.Host, echoed)
	if reused && !echoed {
		return ErrMissingID
	}
	return nil
}
