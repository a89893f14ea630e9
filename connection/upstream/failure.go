package upstream

import (
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

// NotAnswerError is the error of bytes that a backend server sent and that are not an answer to the
// request. The request may have run.
type NotAnswerError struct{ Reason string }

// Error implements error.
func (e *NotAnswerError) Error() string {
	return "backend server sent bytes that are not an answer: " + e.Reason
}

// maxErrorBodyBytes bounds the part of an error response that is read.
const maxErrorBodyBytes = 8 << 10

// maxRetryAfter is the longest Retry-After that is returned, in seconds.
const maxRetryAfter = 3600

// StatusError is a response with a status that is not a success.
type StatusError struct {
	Status int
	// Body is the beginning of the response body.
	Body []byte
	// RetryAfter is the value of the Retry-After header; 0 if it is absent or invalid.
	RetryAfter time.Duration
	// NotRun is true if the server states that the request did not run.
	NotRun bool
	// Misdirected is true if another server than the expected one answered.
	Misdirected bool
}

func (e *StatusError) Error() string {
	return "backend server answered " + strconv.Itoa(e.Status)
}

// ReadStatusError returns the StatusError of a response and closes its body.
func ReadStatusError(resp *http.Response) *StatusError {
	defer resp.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	return NewStatusError(resp.StatusCode, resp.Header, body)
}

// NewStatusError returns the StatusError of a response whose body has been read.
func NewStatusError(status int, header http.Header, body []byte) *StatusError {
	e := &StatusError{Status: status, Body: body}
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil && seconds >= 0 {
		e.RetryAfter = time.Duration(min(seconds, maxRetryAfter)) * time.Second
	}
	e.NotRun = e.Busy() && statesNotRun(body)
	return e
}

// Busy reports whether the status means that the server accepts no work at present.
func (e *StatusError) Busy() bool {
	return e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable
}

func statesNotRun(body []byte) bool {
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

// IsConnectionError reports whether err means that the connection to the server failed: refused,
// reset, closed before the end of a response, or not opened.
func IsConnectionError(err error) bool {
	var op *net.OpError
	return IsBroken(err) || errors.As(err, &op) && op.Op == "dial"
}

// IsBroken reports whether err means that the connection to the server was refused, reset or closed
// before the end of a response. A connection that could not be opened in time, by this instance or
// another one that would forward it, says less: the server's queue of new ones may be full, or the
// way to it lost.
func IsBroken(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF)
}

// maxMessageBytes bounds the result of StatusError.Message.
const maxMessageBytes = 400

// Message returns the message of the server's JSON error, or the body if that is not a JSON
// error.
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
	if len(text) > maxMessageBytes {
		text = strings.ToValidUTF8(text[:maxMessageBytes], "")
	}
	return text
}

// reachableTimeout is how long a server may take to accept a connection before it
// is considered dead.
const reachableTimeout = 500 * time.Millisecond
