package httpserver

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/lilacbridge/lilacbridge/connection/connguard"
)

const (
	// defaultHeaderTimeout bounds the time to read a complete request header.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout is much longer than callers keep an idle connection, so that the server
	// does not close one on which a request is in transit.
	defaultIdleTimeout = 2 * time.Minute
	// noRoomRetry is the Retry-After of a request whose header was not read for lack of room, and
	// retryJitter the maximum random addition, so that callers don't return at the same time.
	noRoomRetry = time.Second
	retryJitter = 400 * time.Millisecond
)

// DefaultLimits returns the limits of a server that has none of its own.
func DefaultLimits() connguard.HeadLimits {
	return connguard.HeadLimits{Bytes: http.DefaultMaxHeaderBytes, Time: defaultHeaderTimeout, Idle: defaultIdleTimeout}
}

// DefaultPolicy returns the policy of a server without limits of its own.
func DefaultPolicy() connguard.Policy {
	return connguard.Policy{Limits: DefaultLimits, Response: PlainResponse}
}

// rejectionStatuses are the statuses of rejections. Clients don't repeat a request after
// http.StatusRequestHeaderFieldsTooLarge; the others state that it has not run.
var rejectionStatuses = map[connguard.Rejection]int{
	connguard.TooLarge: http.StatusRequestHeaderFieldsTooLarge,
	connguard.TooSlow:  http.StatusRequestTimeout,
	connguard.NoRoom:   http.StatusServiceUnavailable,
}

var rejectionMessages = map[connguard.Rejection]string{
	connguard.TooLarge: "the request header is larger than this server allows; send a smaller one",
	connguard.TooSlow:  "the request header did not arrive in time; send it faster",
	connguard.NoRoom:   "this instance has no room for the request header; retry after Retry-After",
}

// PlainResponse returns the response of a rejection with a message in plain text.
func PlainResponse(r connguard.Rejection) []byte {
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if r == connguard.NoRoom {
		header.Set("Retry-After", strconv.FormatFloat((noRoomRetry+rand.N(retryJitter)).Seconds(), 'f', 3, 64))
	}
	return Response(rejectionStatuses[r], header, []byte(rejectionMessages[r]+"\n"))
}

// Response returns a complete response after which the connection is closed.
func Response(status int, header http.Header, body []byte) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	_ = header.Write(&text)
	text.WriteString("\r\n")
	text.Write(body)
	return text.Bytes()
}
