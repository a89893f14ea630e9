// Package service speaks with plain HTTP services.
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
type Client struct{ up *upstream.Client }

// NewClient returns a Client over the connections of up.
func NewClient(up *upstream.Client) *Client { return &Client{up: up} }

// Call is one attempt at one service.
type Call struct {
	Address string
	Method  string
	// URI is the path with the query, as the service shall see it.
	URI    string
	Header http.Header
	Body   []byte
	// RequestID is the request's id and the attempt's number.
	RequestID string
	Attempt   *upstream.Attempt
	// NonIdempotent is set for calls that must not be repeated.
	NonIdempotent bool
}

// perConnection are the headers that are meant for one connection only.
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownHeaders are between callers and lilacbridge, never passed on.
var ownHeaders = []string{
	"Authorization", "X-Lilac-Class", "X-Lilac-Deadline-Ms", upstream.RequestIDHeader, "Content-Length", "Host", "Expect",
}

// CopyHeader copies the headers that go from one connection to another.
func CopyHeader(to, from http.Header) {
	named := strings.Split(strings.Join(from.Values("Connection"), ","), ",")
	for key, values := range from {
		if slices.Contains(perConnection, key) || connectionNames(named, key) {
			continue
		}
		to[key] = slices.Clone(values)
	}
}

func connectionNames(named []string, key string) bool {
	return slices.ContainsFunc(named, func(name string) bool {
		return strings.EqualFold(strings.TrimSpace(name), key)
	})
}

// Do sends the call; the caller of Do closes the answer's body.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	var body io.Reader
	if len(call.Body) > 0 || !withoutBody(call.Method) {
		body = bytes.NewReader(call.Body)
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.URI, body)
	if err != nil {
		return nil, err
	}
	CopyHeader(req.Header, call.Header)
	for _, key := range ownHeaders {
		req.Header.Del(key)
	}
	req.Header.Set(upstream.RequestIDHeader, call.RequestID)
	if req.Header.Get("User-Agent") == "" {
		// Keeps net/http from adding its own.
		req.Header.Set("User-Agent", "")
	}
	if call.NonIdempotent {
		return c.up.DoNewConn(req, call.Attempt)
	}
	return c.up.Do(req, call.Attempt)
}

func withoutBody(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}
