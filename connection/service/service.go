// Package service is a client for plain HTTP services.
package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/lilacbridge/lilacbridge/connection/upstream"
)

// Client calls services by address (host:port).
type Client struct{ upstream *upstream.Client }

// NewClient returns a Client that uses the connections of up.
func NewClient(up *upstream.Client) *Client { return &Client{upstream: up} }

// Reachable reports whether the service at address (host:port) accepts connections.
func (c *Client) Reachable(ctx context.Context, address string) bool {
	return c.upstream.Reachable(ctx, address)
}

// Call is one attempt on one service.
type Call struct {
	// Address is host:port.
	Address string
	Method  string
	// URI is the path and query to send.
	URI    string
	Header http.Header
	Body   []byte
	// RequestID consists of the request's id and the number of the attempt.
	RequestID string
	Attempt   *upstream.Attempt
	// NonIdempotent is set for calls that must not be repeated; they use a new connection.
	NonIdempotent bool
}

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// internalHeaders are not forwarded: they are meant for lilacbridge, or set by Do or
// net/http.
var internalHeaders = []string{
	"Authorization", "X-Lilac-Class", "X-Lilac-Deadline-Ms", upstream.RequestIDHeader, "Content-Length", "Host", "Expect",
}

// CopyHeader copies all headers except the hop-by-hop ones: hopByHopHeaders and those
// listed in the Connection header.
func CopyHeader(to, from http.Header) {
	listed := strings.Split(strings.Join(from.Values("Connection"), ","), ",")
	for key, values := range from {
		if slices.Contains(hopByHopHeaders, key) || listedInConnection(listed, key) {
			continue
		}
		to[key] = slices.Clone(values)
	}
}

func listedInConnection(listed []string, key string) bool {
	return slices.ContainsFunc(listed, func(name string) bool {
		return strings.EqualFold(strings.TrimSpace(name), key)
	})
}

// Do sends the call. The caller must close the body of the response.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	var body io.Reader
	if len(call.Body) > 0 || !hasNoBody(call.Method) {
		body = bytes.NewReader(call.Body)
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.URI, body)
	if err != nil {
		return nil, err
	}
	CopyHeader(req.Header, call.Header)
	for _, key := range internalHeaders {
		req.Header.Del(key)
	}
	req.Header.Set(upstream.RequestIDHeader, call.RequestID)
	if req.Header.Get("User-Agent") == "" {
		// An empty value keeps net/http from sending its own User-Agent.
		req.Header.Set("User-Agent", "")
	}
	if call.NonIdempotent {
		return c.upstream.DoNewConn(req, call.Attempt)
	}
	return c.upstream.Do(req, call.Attempt)
}

func hasNoBody(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}
