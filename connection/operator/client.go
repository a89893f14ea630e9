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
	// clientTries is how often a statement is sent when no answer comes; the
	// command id makes the resends safe.
	clientTries = 3
	clientPause = 300 * time.Millisecond
	// clientTimeout is longer than the server's own, so that its answer comes first.
	clientTimeout = proposeTimeout + 5*time.Second
)

// Client sends statements to the first of its endpoints that answers.
type Client struct {
	// Endpoints are host:port of entry instances' operators' addresses.
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

// Statement sends one statement. A change must carry a command id.
func (c *Client) Statement(ctx context.Context, request *StatementRequest) (*Reply, error) {
	return c.send(ctx, "/v1/statements", request)
}

// Apply sends a fleet file. The request must carry a command id.
func (c *Client) Apply(ctx context.Context, request *ApplyRequest) (*Reply, error) {
	return c.send(ctx, "/v1/apply", request)
}

// send tries each endpoint in turn, several times. An answer that may have
// been lost stays so: a later refusal to connect does not turn it into "not sent".
func (c *Client) send(ctx context.Context, path string, request any) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	var lost, last error
	for try := range clientTries {
		if try > 0 {
			time.Sleep(clientPause)
		}
		for _, endpoint := range c.Endpoints {
			reply, err := c.post(ctx, endpoint, path, body)
			if err == nil || answered(err) {
				return reply, err
			}
			if !fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE) {
				lost = err
			}
			last = err
		}
	}
	if lost != nil {
		return nil, lost
	}
	return nil, last
}

// answered tells whether err is a final answer: asking again would not help.
func answered(err error) bool {
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
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "the endpoint is wrong; give host:port")
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.HTTP.Do(r)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "can't reach "+endpoint+"; name other instances with --endpoint")
	}
	if err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "the answer of "+endpoint+" was lost")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "the answer of "+endpoint+" broke off")
	}
	return decodeReply(resp.StatusCode, data)
}

func decodeReply(status int, data []byte) (*Reply, error) {
	if status == http.StatusOK {
		reply := &Reply{}
		if err := json.Unmarshal(data, reply); err != nil {
			return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "the answer does not decode; use the client of the same version")
		}
		return reply, nil
	}
	problem := &Problem{}
	if err := json.Unmarshal(data, problem); err != nil || problem.Error.Kind == "" {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "status %d without a typed error; is this an operators' address?", status)
	}
	return nil, fault.New(kindByName[problem.Error.Kind], problem.Error.Message,
		fault.WithRetryAfter(time.Duration(problem.Error.RetryAfterMs)*time.Millisecond))
}
