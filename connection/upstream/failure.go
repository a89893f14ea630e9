package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// maxErrorBody is how much of a server's error is read, in bytes.
const maxErrorBody = 8 << 10

// StatusError is an answer that is no success.
type StatusError struct {
	Status int
	// Body is the start of the server's own message.
	Body []byte
	// RetryAfter is the server's own; 0 if it gave none.
	RetryAfter time.Duration
	// NotRun is true where the server states that the request did not run.
	NotRun bool
}

func (e *StatusError) Error() string {
	return "backend server answered " + strconv.Itoa(e.Status)
}

// ReadStatusError makes a StatusError of an answer and closes its body.
func ReadStatusError(resp *http.Response) *StatusError {
	defer resp.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	return NewStatusError(resp.StatusCode, resp.Header, body)
}

// NewStatusError makes a StatusError of an answer that was read already.
func NewStatusError(status int, header http.Header, body []byte) *StatusError {
	e := &StatusError{Status: status, Body: body}
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil && seconds >= 0 {
		e.RetryAfter = time.Duration(seconds) * time.Second
	}
	e.NotRun = e.Busy() && saysNotRun(body)
	return e
}

// Busy tells whether the status is one of a server that takes no work now.
func (e *StatusError) Busy() bool {
	return e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable
}

func saysNotRun(body []byte) bool {
	var typed struct {
		Error struct {
			NotRun any `json:"not_run"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &typed) != nil {
		return false
	}
	notRun, ok := typed.Error.NotRun.(bool)
	return ok && notRun
}

// IsConnectionError tells whether the error means that the server itself went away:
// refused, reset, or closed in the middle of an answer.
func IsConnectionError(err error) bool {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return true
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// maxMessage is how much of a server's message is passed on, in bytes.
const maxMessage = 400

// Message returns the server's own message, without its wrapping.
func (e *StatusError) Message() string {
	var typed struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	text := string(e.Body)
	if json.Unmarshal(e.Body, &typed) == nil && typed.Error.Message != "" {
		text = typed.Error.Message
	}
	if len(text) > maxMessage {
		text = strings.ToValidUTF8(text[:maxMessage], "")
	}
	return text
}

// aliveTimeout is how long a server may take to accept a connection before it
// counts as dead.
const aliveTimeout = 500 * time.Millisecond

// Reachable tells whether a server accepts connections.
func Reachable(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: aliveTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
