// Package upstream sends HTTP requests to backend servers and knows, for each
// attempt, whether a byte of it may have been written.
package upstream

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
)

// RequestIDHeader carries the id of an attempt or control call there and back.
const RequestIDHeader = "X-Request-Id"

// Client sends requests to all backend servers.
type Client struct {
	requests *pool
	control  *pool
	// calls numbers the control calls.
	calls atomic.Uint64
}

// NewClient returns a Client of its own connections.
func NewClient() *Client { return NewClientWithIDHeader(RequestIDHeader) }

// NewClientWithIDHeader is NewClient for servers that echo the id of a request in the
// given header.
func NewClientWithIDHeader(idHeader string) *Client {
	return &Client{requests: newPool(idHeader), control: newPool(RequestIDHeader)}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.requests.kept.CloseIdleConnections()
	c.requests.recent.CloseIdleConnections()
	c.control.kept.CloseIdleConnections()
}

// ControlBytes returns what Control's connections sent and received so far.
func (c *Client) ControlBytes() (sent, received uint64) {
	return c.control.sent.Load(), c.control.received.Load()
}

// ControlPackets returns how many packets Control's connections sent and
// received so far.
func (c *Client) ControlPackets() (sent, received uint64) { return c.control.packets.Packets() }

// sendOnce keeps net/http from sending the request twice.
//
// It guards against a second run of a non-idempotent call: net/http sends a
// POST again by itself after a broken connection when it carries an
// Idempotency-Key and a body that can be had again (also an empty one). It
// shows as two runs under one key. It holds because a body without GetBody is
// never sent twice, once the kind of an empty one is hidden. A full one keeps
// its kind, so that net/http writes it together with its header.
func sendOnce(req *http.Request) {
	req.GetBody = nil
	if req.Body == http.NoBody {
		req.Body = onceBody{req.Body}
	}
}

// onceBody hides that a body is empty.
type onceBody struct{ io.Reader }

// Close has nothing to free: the body stands in memory.
func (onceBody) Close() error { return nil }

// Do sends the request as the attempt, which may be nil for calls that no
// caller waits for, over a kept connection where the server is known to echo
// request ids. See ErrIDMismatch and ErrMissingID for answers that are discarded.
func (c *Client) Do(req *http.Request, attempt *Attempt) (*http.Response, error) {
	address := req.URL.Host
	return c.requests.do(c.requests.clientFor(address), req, attempt)
}

// DoNewConn is Do over a connection of its own.
//
// It guards against a request that must not be repeated and meets a kept
// connection at the moment at which the server closes it: nobody can tell then
// whether it ran. It shows as an unknown outcome while the server is well. It
// holds because a connection that was just opened is not idle.
func (c *Client) DoNewConn(req *http.Request, attempt *Attempt) (*http.Response, error) {
	return c.requests.do(c.requests.fresh, req, attempt)
}

// DoRecentConn is Do for a request that must not be repeated, over a connection that was in
// use just now, or a new one.
//
// It guards against the same as DoNewConn, without a new connection each time: one that
// was used within recentIdle is not about to be closed for being idle. A server that
// gave an answer to another request gets new connections for a while.
func (c *Client) DoRecentConn(req *http.Request, attempt *Attempt) (*http.Response, error) {
	return c.requests.do(c.requests.recentFor(req.URL.Host), req, attempt)
}

// Control sends a call of lilacbridge's own, such as a poll, over connections
// that no caller's request uses. It gives the call an id of its own.
func (c *Client) Control(req *http.Request) (*http.Response, error) {
	req.Header.Set(RequestIDHeader, "control-"+strconv.FormatUint(c.calls.Add(1), 10))
	address := req.URL.Host
	return c.control.do(c.control.clientFor(address), req, nil)
}

func (p *pool) do(client *http.Client, req *http.Request, attempt *Attempt) (*http.Response, error) {
	sendOnce(req)
	var reused bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		reused = info.Reused
		if conn, ok := info.Conn.(*trackedConn); ok {
			conn.attempt.Store(attempt)
		}
	}}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := p.bind(req, resp, reused); err != nil {
		// A body that was not read to its end takes its connection along.
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// ErrIDMismatch is the error of an answer that belongs to another request.
var ErrIDMismatch = errors.New("answer carries another request's X-Request-Id; it was discarded")

// ErrMissingID is the error of an answer on a kept connection that names no
// request, from a server that named them before. The next call to that server
// has a connection of its own.
var ErrMissingID = errors.New("answer on a kept connection carries no X-Request-Id and may be another's; it was discarded")

// bind checks that an answer belongs to its request.
//
// It guards against a late answer of a replaced attempt on a reused
// connection: a server that writes a second answer where it owed one makes the
// next request on that connection read it. It would show as one caller's
// answer at another. It holds because each call has an id of its own, and an
// answer on a reused connection must carry it. Servers that have not echoed
// an id yet, or once did not, get a new connection for each call. Closing a
// connection after its answer instead is too late: the library may have handed
// it to the next call already, which then fails.
func (p *pool) bind(req *http.Request, resp *http.Response, reused bool) error {
	want := req.Header.Get(p.idHeader)
	got := resp.Header.Get(p.idHeader)
	if got != "" && want != "" && got != want {
		p.distrust(req.URL.Host)
		return ErrIDMismatch
	}
	echoed := want != "" && got == want
	p.learn(req.URL.Host, echoed)
	if reused && !echoed {
		return ErrMissingID
	}
	return nil
}
