// Package engine speaks with model engines: streamed answers, resume, cancel,
// KV cache moves, load reports and cache events.
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
	// maxKVBytes is the largest KV cache that is moved, in bytes.
	maxKVBytes = 256 << 20
	// maxReport is the largest report that is read, in bytes.
	maxReport = 4 << 20
)

// ErrMissingID is the error of an engine that sends the request's id back neither
// as X-Request-Id nor in its chunks' id, so that its answer can't be told from
// another's.
var ErrMissingID = errors.New("engine's answer names no request; switch its request id headers on")

// Client calls engines by address (host:port).
type Client struct{ up *upstream.Client }

// NewClient returns a Client over the connections of up.
func NewClient(up *upstream.Client) *Client { return &Client{up: up} }

// Call names one attempt at one engine.
type Call struct {
	Address string
	// RequestID is the request's id and the attempt's number.
	RequestID string
	// Priority is 0 for the most urgent.
	Priority int
	Attempt  *upstream.Attempt
}

// Chat opens the streamed answer to a chat completions body.
func (c *Client) Chat(ctx context.Context, call Call, body []byte) (*Stream, error) {
	return c.open(ctx, call, "/v1/chat/completions", body)
}

type resumeRequest struct {
	RequestID   string `json:"request_id"`
	AfterTokens int    `json:"after_tokens"`
}

// Resume opens the rest of the answer that the engine holds under heldID.
func (c *Client) Resume(ctx context.Context, call Call, heldID string, afterTokens int) (*Stream, error) {
	body, err := json.Marshal(resumeRequest{RequestID: heldID, AfterTokens: afterTokens})
	if err != nil {
		return nil, err
	}
	stream, err := c.open(ctx, call, "/v1/resume", body)
	if err != nil {
		return nil, err
	}
	stream.id = heldID
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
	resp, err := c.up.Do(req, call.Attempt)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, upstream.ReadStatusError(resp)
	}
	if kind := resp.Header.Get("Content-Type"); !strings.HasPrefix(kind, eventStream) {
		resp.Body.Close()
		return nil, fmt.Errorf("engine answered %q where a stream was asked for", kind)
	}
	stream := newStream(resp)
	stream.bound = resp.Header.Get(upstream.RequestIDHeader) != ""
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

// Cancel frees the slot of the request that the engine runs under id.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	body, err := json.Marshal(map[string]string{"request_id": id})
	if err != nil {
		return err
	}
	_, err = c.control(ctx, http.MethodPost, address, "/v1/cancel", body)
	return err
}

// ExportKV takes the KV cache of the request id out of the engine that ran it.
// The call is attempt callID.
func (c *Client) ExportKV(ctx context.Context, address, id, callID string) ([]byte, error) {
	body, err := json.Marshal(map[string]string{"request_id": id})
	if err != nil {
		return nil, err
	}
	return c.move(ctx, address, "/v1/kv/export", callID, body)
}

// ImportKV gives a KV cache to an engine, which can then resume the request.
// The call is attempt callID.
func (c *Client) ImportKV(ctx context.Context, address, callID string, cache []byte) error {
	_, err := c.move(ctx, address, "/v1/kv/import", callID, cache)
	return err
}

// move makes one call of a caller's request that carries or brings its KV cache.
func (c *Client) move(ctx context.Context, address, path, callID string, body []byte) ([]byte, error) {
	req, err := newRequest(ctx, http.MethodPost, address, path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(upstream.RequestIDHeader, callID)
	resp, err := c.up.Do(req, nil)
	if err != nil {
		return nil, err
	}
	return readAll(resp, maxKVBytes)
}

// control makes one short call of lilacbridge's own and reads the whole answer.
func (c *Client) control(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	req, err := newRequest(ctx, method, address, path, body)
	if err != nil {
		return nil, err
	}
	resp, err := c.up.Control(req)
	if err != nil {
		return nil, err
	}
	return readAll(resp, maxReport)
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
		return nil, fmt.Errorf("engine answered more than %d bytes to %s", limit, resp.Request.URL.Path)
	}
	return data, nil
}
