package gateway

import (
	"net/http"
	"strconv"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	// writeTimeout is how long a caller may take to accept one write; in that time
	// its own patience has ended several times over.
	writeTimeout = 30 * time.Second
	// deadlineStep is how often the write deadline moves, so that not each event
	// costs a timer.
	deadlineStep = 5 * time.Second
)

// ResponseWriter writes one answer to a caller. It is used by one goroutine.
type ResponseWriter struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	headerWritten    bool
	status   int
	writeDeadline time.Time
}

func newResponseWriter(w http.ResponseWriter) *ResponseWriter {
	return &ResponseWriter{w: w, control: http.NewResponseController(w)}
}

// Header returns the headers, to be changed before Begin.
func (a *ResponseWriter) Header() http.Header { return a.w.Header() }

// HeaderWritten tells whether the status has gone out.
func (a *ResponseWriter) HeaderWritten() bool { return a.headerWritten }

// Status is what was sent; 0 before Begin.
func (a *ResponseWriter) Status() int { return a.status }

// WriteHeader sends the status and the headers.
func (a *ResponseWriter) WriteHeader(status int) {
	a.headerWritten, a.status = true, status
	header := a.w.Header()
	// Keeps the library from adding what the backend server didn't send.
	if _, has := header["Content-Type"]; !has {
		header["Content-Type"] = nil
	}
	a.w.WriteHeader(status)
}

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

// Fail ends the answer with an error: as a status where nothing went out yet,
// else by cutting the connection, so that a part never looks like the whole.
func (a *ResponseWriter) Fail(err error) {
	if a.headerWritten {
		panic(http.ErrAbortHandler)
	}
	if after := fault.RetryAfterOf(err); after > 0 {
		a.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	a.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	a.WriteHeader(statusOf(err))
	_, _ = a.Write([]byte(err.Error() + "\n"))
}

// refusals are the statuses of errors that no later attempt mends.
var refusals = map[fault.Kind]int{
	lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST:     http.StatusBadRequest,
	lilacv1.ErrorKind_ERROR_KIND_UNAUTHENTICATED: http.StatusUnauthorized,
	lilacv1.ErrorKind_ERROR_KIND_NOT_FOUND:       http.StatusNotFound,
	lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE:       http.StatusRequestEntityTooLarge,
}

// statusOf gives an error its status. 429 and 503 promise that the request has
// not run and never will; they stand only where the error proves that.
func statusOf(err error) int {
	kind := fault.KindOf(err)
	if status, final := refusals[kind]; final {
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
