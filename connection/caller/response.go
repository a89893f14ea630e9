package caller

import (
	"net/http"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	requestIDHeader = "X-Request-Id"
	instanceHeader  = "X-Lilac-Instance"
	serverHeader    = "X-Lilac-Server"
	eventStream     = "text/event-stream"
	// writeTimeout is how long a caller may take to accept one write.
	writeTimeout = 30 * time.Second
	// deadlineStep is how often the write deadline moves, so that not each
	// token costs a timer.
	deadlineStep = 5 * time.Second
)

// ResponseWriter writes one answer to a caller. It is used by one goroutine.
type ResponseWriter struct {
	// RequestID is the request's id towards the caller.
	RequestID string

	w        http.ResponseWriter
	control  *http.ResponseController
	headerWritten    bool
	stream   bool
	writeDeadline time.Time
}

func newResponseWriter(w http.ResponseWriter, requestID, instance string) *ResponseWriter {
	w.Header().Set(requestIDHeader, requestID)
	w.Header().Set(instanceHeader, instance)
	return &ResponseWriter{RequestID: requestID, w: w, control: http.NewResponseController(w)}
}

// Header returns the headers, to be changed before Begin.
func (a *ResponseWriter) Header() http.Header { return a.w.Header() }

// HeaderWritten tells whether the status has gone out.
func (a *ResponseWriter) HeaderWritten() bool { return a.headerWritten }

// WriteHeader sends the status and headers; a second call does nothing.
func (a *ResponseWriter) WriteHeader(status int, contentType, server string) {
	if a.headerWritten {
		return
	}
	a.headerWritten = true
	a.stream = contentType == eventStream
	header := a.w.Header()
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	if server != "" {
		header.Set(serverHeader, server)
	}
	if a.stream {
		header.Set("Cache-Control", "no-cache")
	}
	a.w.WriteHeader(status)
}

// WriteStreamHeader is Begin for server-sent events.
func (a *ResponseWriter) WriteStreamHeader(server string) { a.WriteHeader(http.StatusOK, eventStream, server) }

// Write sends a part. A caller that accepts nothing for writeTimeout is cut.
func (a *ResponseWriter) Write(b []byte) (int, error) {
	if now := time.Now(); a.writeDeadline.Sub(now) < writeTimeout-deadlineStep {
		a.writeDeadline = now.Add(writeTimeout)
		_ = a.control.SetWriteDeadline(a.writeDeadline)
	}
	return a.w.Write(b)
}

// Flush hands what was written to the network.
func (a *ResponseWriter) Flush() error { return a.control.Flush() }

// WriteEvent writes one server-sent event and flushes it.
func (a *ResponseWriter) WriteEvent(frame []byte) error {
	if _, err := a.Write(frame); err != nil {
		return err
	}
	return a.Flush()
}

// Fail ends the answer with a typed error: as JSON where nothing went out yet,
// as an event and without "[DONE]" in a stream, else by cutting the connection,
// so that a part never looks like the whole.
func (a *ResponseWriter) Fail(err error) {
	body := encodeError(err, a.RequestID)
	if !a.headerWritten {
		a.failWhole(err, body)
		return
	}
	if !a.stream {
		panic(http.ErrAbortHandler)
	}
	_ = a.WriteEvent(append(append([]byte("data: "), body...), '\n', '\n'))
}

func (a *ResponseWriter) failWhole(err error, body []byte) {
	if after := fault.RetryAfterOf(err); after > 0 {
		a.w.Header().Set("Retry-After", retryAfterSeconds(after))
	}
	if fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_SLOW_CALLER) || fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE) {
		a.w.Header().Set("Connection", "close")
	}
	a.WriteHeader(StatusOf(err), "application/json", "")
	_, _ = a.Write(body)
}
