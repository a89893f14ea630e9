package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/httpserver"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	// defaultWriteTimeout bounds one write to a caller. It is several times as long as
	// callers wait for a response.
	defaultWriteTimeout = 30 * time.Second
	// deadlineDivisor sets the minimum time between two updates of the write deadline, as a
	// part of its timeout, so that not every event sets a timer.
	deadlineDivisor = 6
)

// ErrInterrupted is the error of a write that Interrupt ended, and of all later ones.
var ErrInterrupted = errors.New("write to the caller was ended, since the caller did not read")

// ResponseWriter writes the response to one request. Only BlockedSince and Interrupt are safe
// for concurrent use.
type ResponseWriter struct {
	w             http.ResponseWriter
	control       *http.ResponseController
	headerWritten bool
	// ctx is the request's.
	ctx context.Context
	// unframed is set if the body ends with the connection.
	unframed bool
	// confirmEnd is set while the end of the connection would not be the end of the body.
	confirmEnd    func()
	status        int
	writeTimeout  time.Duration
	writeDeadline time.Time
	// writing is when the write in progress began, in Unix nanoseconds; 0 without one.
	writing     atomic.Int64
	interrupted atomic.Bool
}

func newResponseWriter(w http.ResponseWriter, r *http.Request, writeTimeout time.Duration) *ResponseWriter {
	// HTTP/1.0 has no chunks.
	return &ResponseWriter{ctx: r.Context(), w: w, control: http.NewResponseController(w), unframed: !r.ProtoAtLeast(1, 1), writeTimeout: writeTimeout}
}

// Header returns the response header. Changes after WriteHeader have no effect.
func (rw *ResponseWriter) Header() http.Header { return rw.w.Header() }

// HeaderWritten reports whether the status has been sent.
func (rw *ResponseWriter) HeaderWritten() bool { return rw.headerWritten }

// Status returns the status sent, or 0 before WriteHeader.
func (rw *ResponseWriter) Status() int { return rw.status }

// EndWithConnection makes the body end with the connection, without a length or chunks, as
// that of a server whose response does not show whether it is complete. It must be called
// before WriteHeader.
func (rw *ResponseWriter) EndWithConnection() {
	rw.unframed = true
	httpserver.EndWithConnection(rw.w.Header())
}

// Unframed reports whether the body ends with the connection.
func (rw *ResponseWriter) Unframed() bool { return rw.unframed }

// WriteHeader sends the status and the header.
func (rw *ResponseWriter) WriteHeader(status int) {
	rw.headerWritten, rw.status = true, status
	header := rw.w.Header()
	// A nil value keeps net/http from adding a Content-Type that the backend server
	// did not send.
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
	if rw.unframed && header.Get("Content-Length") == "" {
		rw.confirmEnd = httpserver.ResetIfKilled(rw.ctx)
	}
	rw.w.WriteHeader(status)
}

// End ends a complete response.
func (rw *ResponseWriter) End() {
	// A caller that has left needs no regular end.
	if rw.confirmEnd != nil && rw.Send(nil) == nil {
		rw.confirmEnd()
	}
}

// Write sends a part of the body. It fails if the caller accepts no data for the write
// timeout.
func (rw *ResponseWriter) Write(b []byte) (int, error) {
	rw.beginWrite()
	n, err := rw.w.Write(b)
	return n, rw.endWrite(err)
}

// Send sends a part of the body at once.
func (rw *ResponseWriter) Send(b []byte) error {
	rw.beginWrite()
	_, err := rw.w.Write(b)
	if err == nil {
		err = rw.control.Flush()
	}
	return rw.endWrite(err)
}

func (rw *ResponseWriter) beginWrite() {
	now := time.Now()
	rw.writing.Store(now.UnixNano())
	if rw.writeDeadline.Sub(now) < rw.writeTimeout-rw.writeTimeout/deadlineDivisor {
		rw.writeDeadline = now.Add(rw.writeTimeout)
		_ = rw.control.SetWriteDeadline(rw.writeDeadline)
	}
}

func (rw *ResponseWriter) endWrite(err error) error {
	rw.writing.Store(0)
	if rw.interrupted.Load() {
		return ErrInterrupted
	}
	return err
}

// BlockedSince returns when the write in progress began; zero without one.
func (rw *ResponseWriter) BlockedSince() time.Time {
	if at := rw.writing.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Interrupt ends the write in progress, if any, with ErrInterrupted. It must not be called
// after the request's handler has returned.
func (rw *ResponseWriter) Interrupt() {
	if rw.writing.Load() == 0 {
		return
	}
	rw.interrupted.Store(true)
	_ = rw.control.SetWriteDeadline(time.Unix(1, 0))
}

// Fail ends the response with an error. If the status has been sent, it aborts the
// connection by a panic with http.ErrAbortHandler, so that the caller does not take a
// partial response for a complete one.
func (rw *ResponseWriter) Fail(err error) {
	if rw.headerWritten && rw.unframed {
		httpserver.Reset(rw.control)
	}
	if rw.headerWritten {
		panic(http.ErrAbortHandler)
	}
	if retryAfter := fault.RetryAfterOf(err); retryAfter > 0 {
		rw.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	rw.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	rw.WriteHeader(statusOf(err))
	_, _ = rw.Write([]byte(err.Error() + "\n"))
	rw.End()
}

// permanentStatuses maps the kinds of errors for which a retry is useless to HTTP
// statuses.
var permanentStatuses = map[fault.Kind]int{
	lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST:     http.StatusBadRequest,
	lilacv1.ErrorKind_ERROR_KIND_UNAUTHENTICATED: http.StatusUnauthorized,
	lilacv1.ErrorKind_ERROR_KIND_NOT_FOUND:       http.StatusNotFound,
	lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE:       http.StatusRequestEntityTooLarge,
}

// statusOf returns the HTTP status of err. 429 and 503 state that the request has not
// run and will not run, so they are used only if err proves that.
func statusOf(err error) int {
	kind := fault.KindOf(err)
	if status, ok := permanentStatuses[kind]; ok {
		return status
	}
	if fault.NotRunOf(err) == lilacv1.NotRun_NOT_RUN_TRUE {
		if kind == lilacv1.ErrorKind_ERROR_KIND_LIMIT {
			return http.StatusTooManyRequests
		}
		return http.StatusServiceUnavailable
	}
	if kind == lilacv1.ErrorKind_ERROR_KIND_TIMEOUT {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
