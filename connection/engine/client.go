// Package engine is a client for model engines: streamed completions, resumption,
// cancellation, KV cache transfer, load reports and cache events.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/lilacbridge/lilacbridge/connection/upstream"
)

const (
	priorityHeader = "X-Priority"
	eventStream    = "text/event-stream"
	// maxKVBytes bounds a KV cache transfer.
	maxKVBytes = 256 << 20
	// maxReportBytes bounds a load or cache report.
	maxReportBytes = 4 << 20
)

// ErrMissingID is the error of a response that carries the request's id neither in
// X-Request-Id nor in the chunks' id, so that it may belong to another request.
var ErrMissingID = errors.New("engine's response carries no request id; enable request id headers on the engine")

// Client calls engines by address (host:port).
type Client struct{ upstream *upstream.Client }

// NewClient returns a Client that uses the connections of up.
func NewClient(up *upstream.Client) *Client { return &Client{upstream: up} }

// Call identifies one attempt on one engine.
type Call struct {
	// Address is host:port.
	Address string
	// RequestID consists of the request's id and the number of the attempt.
	RequestID string
	// Priority orders requests at the engine; 0 is the most urgent.
	Priority int
	Attempt  *upstream.Attempt
}

// Chat sends a chat completions body and returns the streamed response. The caller must
// close the stream.
func (c *Client) Chat(ctx context.Context, call Call, body []byte) (*Stream, error) {
	return c.open(ctx, call, "/v1/chat/completions", body)
}

type resumeRequest struct {
	RequestID   string `json:"request_id"`
	AfterTokens int    `json:"after_tokens"`
}

// Resume returns the rest of the completion that the engine holds under originalID, after
// the first afterTokens tokens. The caller must close the stream.
func (c *Client) Resume(ctx context.Context, call Call, originalID string, afterTokens int) (*Stream, error) {
	body, err := json.Marshal(resumeRequest{RequestID: originalID, AfterTokens: afterTokens})
	if err != nil {
		return nil, err
	}
	stream, err := c.open(ctx, call, "/v1/resume", body)
	if err != nil {
		return nil, err
	}
	stream.id = originalID
	return stream, nil
}

func (c *Client) open(ctx context.Context, call Call, path string, body []byte) (*Stream, error) {
	req, err := newRequest(ctx, http.MethodPost, call.Address, path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", eventStream)
	req.Header.Set(upstream.RequestIDHeader, call.RequestID)
	req.Header.Set(priorityHeader, strconv.Itoa(call.Priority))
	resp, err := c.upstream.Do(req, call.Attempt)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, upstream.ReadStatusError(resp)
	}
	if kind := resp.Header.Get("Content-Type"); !strings.HasPrefix(kind, eventStream) {
		resp.Body.Close()
		return nil, fmt.Errorf("engine sent content type %q instead of an event stream", kind)
	}
	stream := newStream(resp)
	stream.idChecked = resp.Header.Get(upstream.RequestIDHeader) != ""
	stream.id = call.RequestID
	return stream, nil
}

func newRequest(ctx context.Context, method, address, path string, body []byte) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	return http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
}

// Cancel makes the engine stop the request that it runs under id and free its slot.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	body, err := json.Marshal(map[string]string{"request_id": id})
	if err != nil {
		return err
	}
	_, err = c.control(ctx, http.MethodPost, address, "/v1/cancel", body)
	return err
}

// errUnframedKV is the error of a KV cache that came without a length or chunks. Its bytes
// don't show whether any are missing.
var errUnframedKV = fmt.Errorf("engine sent a KV cache without a length, so it may be incomplete: %w", io.ErrUnexpectedEOF)

// ExportKV fetches the KV cache of request id from the engine that ran it. callID is the
// request id of the call itself.
func (c *Client) ExportKV(ctx context.Context, address, id, callID string) ([]byte, error) {
	body, err := json.Marshal(map[string]string{"request_id": id})
	if err != nil {
		return nil, err
	}
	return c.transferKV(ctx, address, "/v1/kv/export", callID, body)
}

// ImportKV sends a KV cache to an engine, which can then resume the request. callID is the
// request id of the call itself.
func (c *Client) ImportKV(ctx context.Context, address, callID string, cache []byte) error {
	_, err := c.transferKV(ctx, address, "/v1/kv/import", callID, cache)
	return err
}

// transferKV makes a call that sends or fetches the KV cache of a caller's request.
func (c *Client) transferKV(ctx context.Context, address, path, callID string, body []byte) ([]byte, error) {
	req, err := newRequest(ctx, http.MethodPost, address, path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(upstream.RequestIDHeader, callID)
	resp, err := c.upstream.Do(req, nil)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK && upstream.FramingOf(resp) == upstream.Unframed {
		resp.Body.Close()
		return nil, errUnframedKV
	}
	return readAll(resp, maxKVBytes)
}

// control makes an internal call and returns the complete response body.
func (c *Client) control(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	req, err := newRequest(ctx, method, address, path, body)
	if err != nil {
		return nil, err
	}
	resp, err := c.upstream.Control(req)
	if err != nil {
		return nil, err
	}
	return readAll(resp, maxReportBytes)
}

func readAll(resp *http.Response, limit int64) ([]byte, error) {
	if resp.StatusCode/100 != 2 {
		return nil, upstream.ReadStatusError(resp)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("engine sent more than %d bytes in response to %s", limit, resp.Request.URL.Path)
	}
	return data, nil
}
