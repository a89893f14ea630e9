package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// statuses maps each kind of error to an HTTP status.
var statuses = map[fault.Kind]int{
	lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST:     http.StatusBadRequest,
	lilacv1.ErrorKind_ERROR_KIND_UNAUTHENTICATED: http.StatusUnauthorized,
	lilacv1.ErrorKind_ERROR_KIND_FORBIDDEN:       http.StatusForbidden,
	lilacv1.ErrorKind_ERROR_KIND_UNKNOWN_CLASS:   http.StatusNotFound,
	lilacv1.ErrorKind_ERROR_KIND_UNKNOWN_TEAM:    http.StatusNotFound,
	lilacv1.ErrorKind_ERROR_KIND_UNKNOWN_MODEL:   http.StatusNotFound,
	lilacv1.ErrorKind_ERROR_KIND_NOT_FOUND:       http.StatusNotFound,
	lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE:       http.StatusRequestEntityTooLarge,
	lilacv1.ErrorKind_ERROR_KIND_SLOW_CALLER:     http.StatusRequestTimeout,
	lilacv1.ErrorKind_ERROR_KIND_OVERLOADED:      http.StatusTooManyRequests,
	lilacv1.ErrorKind_ERROR_KIND_LIMIT:           http.StatusTooManyRequests,
	lilacv1.ErrorKind_ERROR_KIND_LATE:            http.StatusTooManyRequests,
	lilacv1.ErrorKind_ERROR_KIND_CONVICTED:       http.StatusUnprocessableEntity,
	lilacv1.ErrorKind_ERROR_KIND_IN_PROGRESS:     http.StatusConflict,
	lilacv1.ErrorKind_ERROR_KIND_KEY_REUSED:      http.StatusConflict,
	lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN: http.StatusConflict,
	lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM:       http.StatusServiceUnavailable,
	lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER:      http.StatusServiceUnavailable,
	lilacv1.ErrorKind_ERROR_KIND_DISK_FULL:       http.StatusInsufficientStorage,
	lilacv1.ErrorKind_ERROR_KIND_DRAINING:        http.StatusServiceUnavailable,
	lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE:     http.StatusServiceUnavailable,
	lilacv1.ErrorKind_ERROR_KIND_BACKEND_FAILED:  http.StatusBadGateway,
	lilacv1.ErrorKind_ERROR_KIND_BROKEN_STREAM:   http.StatusBadGateway,
	lilacv1.ErrorKind_ERROR_KIND_TIMEOUT:         http.StatusGatewayTimeout,
}

// StatusOf returns the HTTP status of err; 500 if its kind has none.
func StatusOf(err error) int {
	if status, ok := statuses[fault.KindOf(err)]; ok {
		return status
	}
	return http.StatusInternalServerError
}

type errorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// NotRun is true, false or "unknown".
	NotRun       any    `json:"not_run"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id"`
}

type errorResponse struct {
	Error errorBody `json:"error"`
}

func notRunValue(notRun fault.NotRun) any {
	switch notRun {
	case lilacv1.NotRun_NOT_RUN_TRUE:
		return true
	case lilacv1.NotRun_NOT_RUN_FALSE:
		return false
	}
	return "unknown"
}

func encodeError(err error, requestID string) []byte {
	kind := fault.Name(fault.KindOf(err))
	body, _ := json.Marshal(errorResponse{Error: errorBody{
		Message:      err.Error(),
		Type:         kind,
		Code:         kind,
		NotRun:       notRunValue(fault.NotRunOf(err)),
		RetryAfterMs: fault.RetryAfterOf(err).Milliseconds(),
		RequestID:    requestID,
	}})
	return body
}

// retryAfterSeconds rounds up, so that callers don't retry too early.
func retryAfterSeconds(after time.Duration) string {
	return strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10)
}

// refused returns the error of a failed check. It states that the request did not run,
// since checks come before any backend server gets the request.
func refused(kind fault.Kind, message string, options ...fault.Option) error {
	return fault.New(kind, message, append(options, fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))...)
}
