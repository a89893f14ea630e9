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

// Client sends requests to backend servers as they came.
type Client struct {
	up       *upstream.Client
	protocol Protocol
}

// NewClient returns a Client over the connections of up.
func NewClient(up *upstream.Client, protocol Protocol) *Client {
	return &Client{up: up, protocol: protocol}
}

// Call is one attempt at one backend server.
type Call struct {
	Address string
	Method  string
	// URI is path and query, passed on as they are.
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	Info    *ForwardInfo
	Attempt *upstream.Attempt
	// NonIdempotent calls must not be repeated: they have a connection that is known to live.
	NonIdempotent bool
}

// Response is a backend server's answer.
type Response struct {
	*http.Response
	Info ResponseInfo
}

// targetOf makes the URL that gives the server path and query byte for byte.
func targetOf(address, uri string) (*url.URL, error) {
	path, query, asked := strings.Cut(uri, "?")
	target := &url.URL{Scheme: "http", Host: address, RawQuery: query, ForceQuery: asked && query == ""}
	if !strings.HasPrefix(path, "//") {
		// An opaque part is written as it is; a path might be escaped anew.
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

// Do sends the call; the caller of Do closes the answer's body.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	target, err := targetOf(call.Address, call.URI)
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
		// Keeps net/http from adding its own.
		req.Header.Set("User-Agent", "")
	}
	do := c.up.Do
	if call.NonIdempotent {
		do = c.up.DoRecentConn
	}
	resp, err := do(req, call.Attempt)
	if err != nil {
		return nil, err
	}
	return &Response{Response: resp, Info: c.protocol.ParseResponse(resp.Header, resp.StatusCode)}, nil
}
