package caller

import (
	"net/http"
	"strconv"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/connguard"
	"github.com/lilacbridge/lilacbridge/connection/httpserver"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// idleTimeout is how long a caller's connection may stay open without a request.
const idleTimeout = 2 * time.Minute

// ConnectionPolicy returns the limits of request headers, and the typed errors for those that exceed
// them.
func (h *Handler) ConnectionPolicy() connguard.Policy {
	limits := connguard.HeadLimits{Bytes: h.limits.HeaderBytes, Time: h.limits.ReadTimeout.Duration, Idle: idleTimeout}
	return connguard.Policy{Limits: func() connguard.HeadLimits { return limits }, Response: h.rejection}
}

// rejection returns the response to a request whose header was not read.
func (h *Handler) rejection(r connguard.Rejection) []byte {
	err := h.rejectionError(r)
	h.counter.Refused(fault.Name(fault.KindOf(err)))
	id := newRequestID()
	header := http.Header{"Content-Type": {"application/json"}, "X-Request-Id": {id}, "X-Lilac-Instance": {h.instance}}
	if retryAfter := fault.RetryAfterOf(err); retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	return httpserver.Response(StatusOf(err), header, encodeError(err, id))
}

func (h *Handler) rejectionError(r connguard.Rejection) error {
	switch r {
	case connguard.TooLarge:
		return h.errHeaderTooLarge()
	case connguard.TooSlow:
		return refused(lilacv1.ErrorKind_ERROR_KIND_SLOW_CALLER, "request header did not arrive within "+h.limits.ReadTimeout.String()+"; send it faster")
	}
	return errNoRoom("header")
}
