package caller

import (
	"context"
	"net/http"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/httpserver"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	requestIDHeader = "X-Request-Id"
	instanceHeader  = "X-Lilac-Instance"
	serverHeader    = "X-Lilac-Server"
	eventStream     = "text/event-stream"
	// writeTimeout bounds one write to a caller.
	writeTimeout = 30 * time.Second
	// deadlineInterval is the minimum time between two updates of the write deadline, so
	// that not every token sets a timer.
	deadlineInterval = 5 * time.Second
)

// ResponseWriter writes the response to one request. It is not safe for concurrent use.
type ResponseWriter struct {
	// RequestID is the request id that the caller gets.
	RequestID string

	w             http.ResponseWriter
	control       *http.ResponseController
	headerWritten bool
	stream        bool
	// ctx is the request's.
	ctx context.Context
	// unframed is set if the body ends with the connection.
	unframed bool
	// confirmEnd is set while the end of the connection would not be the end of the body.
	confirmEnd    func()
	writeDeadline time.Time
}

func newResponseWriter(w http.ResponseWriter, r *http.Request, requestID, instance string) *ResponseWriter {
	w.Header().Set(requestIDHeader, requestID)
	w.Header().Set(instanceHeader, instance)
	// HTTP/1.0 has no chunks.
	return &ResponseWriter{ctx: r.Context(), RequestID: requestID, w: w, control: http.NewResponseController(w), unframed: !r.ProtoAtLeast(1, 1)}
}

// Header returns the response header. Changes after WriteHeader have no effect.
func (rw *ResponseWriter) Header() http.Header { return rw.w.Header() }

// HeaderWritten reports whether the status has been sent.
func (rw *ResponseWriter) HeaderWritten() bool { return rw.headerWritten }

// EndWithConnection makes the body end with the connection, without a length or chunks, as
// that of a server whose response does not show whether it is complete. It must be called
// before WriteHeader.
func (rw *ResponseWriter) EndWithConnection() {
	rw.unframed = true
	httpserver.EndWithConnection(rw.w.Header())
}

// WriteHeader sends the status and the header; a second call does nothing. It leaves out
// the headers of contentType and server if these are empty.
func (rw *ResponseWriter) WriteHeader(status int, contentType, server string) {
	if rw.headerWritten {
		return
	}
	rw.headerWritten = true
	rw.stream = contentType == eventStream
	header := rw.w.Header()
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	if server != "" {
		header.Set(serverHeader, server)
	}
	if rw.stream {
		header.Set("Cache-Control", "no-cache")
	}
	if rw.unframed && header.Get("Content-Length") == "" {
		rw.confirmEnd = httpserver.ResetIfKilled(rw.ctx)
	}
	rw.w.WriteHeader(status)
}

// End ends a complete response.
func (rw *ResponseWriter) End() {
	// A caller that has left needs no regular end.
	if rw.confirmEnd != nil && rw.Flush() == nil {
		rw.confirmEnd()
	}
}

// WriteStreamHeader is WriteHeader for a stream of server-sent events.
func (rw *ResponseWriter) WriteStreamHeader(server string) {
	rw.WriteHeader(http.StatusOK, eventStream, server)
}

// Write sends a part of the body. It fails if the caller accepts no data for
// writeTimeout.
func (rw *ResponseWriter) Write(b []byte) (int, error) {
	if now := time.Now(); rw.writeDeadline.Sub(now) < writeTimeout-deadlineInterval {
		rw.writeDeadline = now.Add(writeTimeout)
		_ = rw.control.SetWriteDeadline(rw.writeDeadline)
	}
	return rw.w.Write(b)
}

// Flush sends buffered data to the caller.
func (rw *ResponseWriter) Flush() error { return rw.control.Flush() }

// WriteEvent writes one server-sent event and flushes it.
func (rw *ResponseWriter) WriteEvent(frame []byte) error {
	if _, err := rw.Write(frame); err != nil {
		return err
	}
	return rw.Flush()
}

// Fail ends the response with a typed error: as JSON if the status has not been sent, and
// as an event without "[DONE]" in a stream. Otherwise it aborts the connection by a panic
// with http.ErrAbortHandler, so that the caller does not take a partial response for a
// complete one.
func (rw *ResponseWriter) Fail(err error) {
	body := encodeError(err, rw.RequestID)
	if !rw.headerWritten {
		rw.writeError(err, body)
		rw.End()
		return
	}
	if !rw.stream {
		if rw.unframed {
			httpserver.Reset(rw.control)
		}
		panic(http.ErrAbortHandler)
	}
	_ = rw.WriteEvent(append(append([]byte("data: "), body...), '\n', '\n'))
	rw.End()
}

func (rw *ResponseWriter) writeError(err error, body []byte) {
	if retryAfter := fault.RetryAfterOf(err); retryAfter > 0 {
		rw.w.Header().Set("Retry-After", retryAfterSeconds(retryAfter))
	}
	if fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_SLOW_CALLER) || fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE) {
		rw.w.Header().Set("Connection", "close")
	}
	rw.WriteHeader(StatusOf(err), "application/json", "")
	_, _ = rw.Write(body)
}
