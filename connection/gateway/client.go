package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/lilacbridge/lilacbridge/connection/upstream"
)

// Client forwards requests to backend servers with path, query and body unchanged.
type Client struct {
	upstream *upstream.Client
	protocol Protocol
}

// NewClient returns a Client that uses the connections of up.
func NewClient(up *upstream.Client, protocol Protocol) *Client {
	return &Client{upstream: up, protocol: protocol}
}

// Reachable reports whether the server at address (host:port) accepts connections.
func (c *Client) Reachable(ctx context.Context, address string) bool {
	return c.upstream.Reachable(ctx, address)
}

// Call is one attempt to run a request on a backend server.
type Call struct {
	// Address is host:port.
	Address string
	Method  string
	// URI is the path and query, forwarded byte for byte.
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	Info    *ForwardInfo
	Attempt *upstream.Attempt
	// NonIdempotent is set for calls that must not be repeated. They use a connection that
	// was used very recently, or a new one, which the server is not about to close.
	NonIdempotent bool
	// Repeated is set for calls to an address that got an earlier attempt of the request. They use
	// new connections: all attempts have one id, so an answer to the earlier one that comes once
	// more would pass for the answer to this one.
	Repeated bool
}

// Response is a backend server's response.
type Response struct {
	*http.Response
	Info ResponseInfo
}

// requestURL returns a URL that net/http writes with path and query byte for byte as in
// uri.
func requestURL(address, uri string) (*url.URL, error) {
	path, query, hasQuery := strings.Cut(uri, "?")
	target := &url.URL{Scheme: "http", Host: address, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if !strings.HasPrefix(path, "//") {
		// net/http writes Opaque unchanged; it may escape Path differently.
		target.Opaque = path
		return target, nil
	}
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return nil, err
	}
	target.Path, target.RawPath = decoded, path
	return target, nil
}

// Do sends the call. The caller must close the body of the response. A response that is not an
// answer to the attempt is an *upstream.NotAnswerError.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	target, err := requestURL(call.Address, call.URI)
	if err != nil {
		return nil, err
	}
	var body io.ReadCloser = http.NoBody
	if len(call.Body) > 0 {
		body = io.NopCloser(bytes.NewReader(call.Body))
	}
	req := (&http.Request{
		Method: call.Method, URL: target, Host: call.Host, Body: body, ContentLength: int64(len(call.Body)),
		Header: c.protocol.RequestHeader(call.Header, call.Info), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	if req.Header.Get("User-Agent") == "" {
		// An empty value keeps net/http from sending its own User-Agent.
		req.Header.Set("User-Agent", "")
	}
	do := c.upstream.Do
	switch {
	case call.Repeated:
		do = c.upstream.DoNewConn
	case call.NonIdempotent:
		do = c.upstream.DoRecentConn
	}
	received, err := do(req, call.Attempt)
	if err != nil {
		return nil, err
	}
	resp := &Response{Response: received, Info: c.protocol.ParseResponse(received.Header, received.StatusCode)}
	if err := checkAnswer(call.Header.Get(c.protocol.IDHeader()), resp); err != nil {
		// Closing a body before its end also closes the connection.
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
