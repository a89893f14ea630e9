package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	// clientAttempts is the number of times that a statement is sent to each endpoint
	// until one replies. The command id makes the repetition safe.
	clientAttempts      = 3
	clientRetryInterval = 300 * time.Millisecond
	// clientTimeout is longer than the server's timeout, so that the server's reply
	// arrives first.
	clientTimeout = proposeTimeout + 5*time.Second
)

// Client sends statements to the first of its endpoints that replies.
type Client struct {
	// Endpoints are the operator addresses (host:port) of entry instances.
	Endpoints []string
	Token     string
	HTTP      http.Client
}

var kindByName = func() map[string]fault.Kind {
	byName := make(map[string]fault.Kind)
	for number := range lilacv1.ErrorKind_name {
		kind := fault.Kind(number)
		byName[fault.Name(kind)] = kind
	}
	return byName
}()

// Statement sends one statement. A change must have a command id.
func (c *Client) Statement(ctx context.Context, request *StatementRequest) (*Reply, error) {
	return c.send(ctx, "/v1/statements", request)
}

// Apply sends a fleet file. The request must have a command id.
func (c *Client) Apply(ctx context.Context, request *ApplyRequest) (*Reply, error) {
	return c.send(ctx, "/v1/apply", request)
}

// send tries each endpoint up to clientAttempts times. If an outcome is unknown, it returns
// that error rather than that of a later attempt that could not connect.
func (c *Client) send(ctx context.Context, path string, request any) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	var unknown, last error
	for attempt := range clientAttempts {
		if attempt > 0 {
			time.Sleep(clientRetryInterval)
		}
		for _, endpoint := range c.Endpoints {
			reply, err := c.post(ctx, endpoint, path, body)
			if err == nil || isFinal(err) {
				return reply, err
			}
			if !fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE) {
				unknown = err
			}
			last = err
		}
	}
	if unknown != nil {
		return nil, unknown
	}
	return nil, last
}

// isFinal reports whether err is a final reply, after which a retry is useless.
func isFinal(err error) bool {
	switch fault.KindOf(err) {
	case lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN,
		lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM, lilacv1.ErrorKind_ERROR_KIND_TIMEOUT:
		return false
	}
	return true
}

func (c *Client) post(ctx context.Context, endpoint, path string, body []byte) (*Reply, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "the endpoint is invalid; give host:port")
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.HTTP.Do(r)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "can't connect to "+endpoint+"; name other instances with --endpoint")
	}
	if err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "the reply of "+endpoint+" was lost")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "the reply of "+endpoint+" is incomplete")
	}
	return decodeReply(resp.StatusCode, data)
}

func decodeReply(status int, data []byte) (*Reply, error) {
	if status == http.StatusOK {
		reply := &Reply{}
		if err := json.Unmarshal(data, reply); err != nil {
			return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "the reply does not decode; use a client of the same version")
		}
		return reply, nil
	}
	problem := &Problem{}
	if err := json.Unmarshal(data, problem); err != nil || problem.Error.Kind == "" {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "status %d without a typed error; check that the endpoint is an operator address", status)
	}
	return nil, fault.New(kindByName[problem.Error.Kind], problem.Error.Message,
		fault.WithRetryAfter(time.Duration(problem.Error.RetryAfterMs)*time.Millisecond))
}
