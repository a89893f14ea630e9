package caller

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/holding"
	"github.com/lilacbridge/lilacbridge/connection/httpserver"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	classHeader    = "X-Lilac-Class"
	deadlineHeader = "X-Lilac-Deadline-Ms"
	keyHeader      = "Idempotency-Key"
	defaultClass   = "default"
	// maxKeyBytes bounds the Idempotency-Key.
	maxKeyBytes = 255
	// maxDeadline bounds the time that a caller may set in deadlineHeader.
	maxDeadline = 24 * time.Hour
	// notReadyRetry is the Retry-After of an instance that has no configuration yet.
	notReadyRetry = 2 * time.Second
)

func (h *Handler) checkHeader(r *http.Request) error {
	if bytes, _ := httpserver.HeaderSize(r); bytes > h.limits.HeaderBytes {
		return h.errHeaderTooLarge()
	}
	return nil
}

func (h *Handler) errHeaderTooLarge() error {
	return refused(lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE, "request header is longer than "+strconv.Itoa(h.limits.HeaderBytes)+" bytes; shorten it")
}

// checkMeta sets the team, class, idempotency key and deadline of the request.
func (h *Handler) checkMeta(r *http.Request, view *model.View, meta *Meta) error {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return refused(lilacv1.ErrorKind_ERROR_KIND_UNAUTHENTICATED, "no caller token; send Authorization: Bearer <token>")
	}
	if meta.Team, ok = secret.TeamOf(h.callerKey.Get(), strings.TrimSpace(token)); !ok {
		return refused(lilacv1.ErrorKind_ERROR_KIND_UNAUTHENTICATED, "caller token is not valid; ask the operators for a valid one")
	}
	if view.Teams[meta.Team] == nil {
		return refused(lilacv1.ErrorKind_ERROR_KIND_UNKNOWN_TEAM, "team "+strconv.Quote(meta.Team)+" is not configured; ask the operators to add it")
	}
	if meta.Class = r.Header.Get(classHeader); meta.Class == "" {
		meta.Class = defaultClass
	}
	if view.Classes[meta.Class] == nil {
		return refused(lilacv1.ErrorKind_ERROR_KIND_UNKNOWN_CLASS, "class "+strconv.Quote(meta.Class)+" is not configured; set a configured class in "+classHeader)
	}
	if meta.Key = r.Header.Get(keyHeader); len(meta.Key) > maxKeyBytes {
		return refused(lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE, "Idempotency-Key is longer than "+strconv.Itoa(maxKeyBytes)+" bytes; shorten it")
	}
	meta.Path = r.URL.RequestURI()
	return checkDeadline(r, meta)
}

func checkDeadline(r *http.Request, meta *Meta) error {
	text := r.Header.Get(deadlineHeader)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return refused(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, deadlineHeader+" must be whole milliseconds between 1 and "+strconv.FormatInt(maxDeadline.Milliseconds(), 10))
	}
	meta.Deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	return nil
}

// readBody reads the complete body within the read timeout.
//
// The deadline covers the whole body and not each read, so that callers can't hold
// connections and memory by sending single bytes (slow loris).
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, hold *holding.Hold) ([]byte, error) {
	if r.ContentLength > h.limits.BodyBytes {
		return nil, h.errBodyTooLarge()
	}
	limits := httpserver.BodyLimits{Bytes: h.limits.BodyBytes, Time: h.limits.ReadTimeout.Duration, RoomWait: maxRoomWait}
	body, err := httpserver.ReadBody(w, r, hold, limits)
	var tooLarge *http.MaxBytesError
	var network net.Error
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, holding.ErrNoRoom):
		return nil, errNoRoom("body")
	case errors.As(err, &tooLarge):
		return nil, h.errBodyTooLarge()
	case errors.As(err, &network) && network.Timeout():
		return nil, refused(lilacv1.ErrorKind_ERROR_KIND_SLOW_CALLER, "request body did not arrive within "+h.limits.ReadTimeout.String()+"; send it faster")
	}
	return nil, refused(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "request body is incomplete; send it again")
}

func (h *Handler) errBodyTooLarge() error {
	return refused(lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE, "request body is larger than "+strconv.FormatInt(h.limits.BodyBytes, 10)+" bytes; shorten it")
}
