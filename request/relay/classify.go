package relay

import (
	"errors"
	"net/http"

	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

// errPermanent marks a failure that would occur on any other server as well.
var errPermanent = errors.New("another server would fail in the same way")

// classify describes a failed attempt for the core, and as a label for Counter.Attempt.
func classify(err error, unsent bool) (policy.Failed, string) {
	failed := policy.Failed{Sent: !unsent}
	var status *upstream.StatusError
	var notAnswer *upstream.NotAnswerError
	switch {
	case errors.Is(err, errPermanent):
		failed.Permanent = true
		return failed, "final"
	case errors.As(err, &status):
		return classifyStatus(failed, status)
	case errors.Is(err, errServerFailed):
		failed.ServerError = true
		return failed, "server_failed"
	case errors.Is(err, errConnectionBroken):
		failed.ServerError = true
		return failed, "cut"
	case errors.Is(err, upstream.ErrUploadStalled):
		return failed, "upload_stalled"
	case errors.Is(err, errStalled):
		return failed, "stalled"
	case errors.Is(err, upstream.ErrIDMismatch), errors.Is(err, upstream.ErrMissingID):
		failed.ServerError = true
		return failed, "not_bound"
	case errors.As(err, &notAnswer):
		failed.ServerError = true
		return failed, "not_an_answer"
	case upstream.IsConnectionError(err):
		failed.Crashed, failed.Silent = true, unsent && !upstream.IsBroken(err)
		return failed, "crashed"
	}
	return failed, "failed"
}

func classifyStatus(failed policy.Failed, status *upstream.StatusError) (policy.Failed, string) {
	failed.RetryAfter = status.RetryAfter
	switch {
	case status.Busy() && (status.NotRun || status.Status == http.StatusTooManyRequests):
		failed.Refused, failed.Misdirected = true, status.Misdirected
		return failed, "refused"
	case status.Status == http.StatusNotFound, status.Status == http.StatusGone, status.Status == http.StatusRequestTimeout:
		// The engine has not loaded the model or has lost the request; other servers
		// may succeed.
		return failed, "failed"
	case status.Status < http.StatusInternalServerError:
		failed.Permanent = true
		return failed, "final"
	}
	return failed, "failed"
}
