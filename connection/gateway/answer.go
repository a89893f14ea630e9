package gateway

import (
	"net/http"
	"strconv"

	"github.com/lilacbridge/lilacbridge/connection/upstream"
)

// promisesNotRun holds the statuses by which callers take a request as not run.
var promisesNotRun = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// checkAnswer returns an error unless the response is a backend server's answer to the attempt.
// Nothing of another response may be used: neither its status and body nor what it says of the
// request or the server.
func checkAnswer(attemptID string, resp *Response) error {
	_, encoded := resp.Header["Content-Encoding"]
	status := strconv.Itoa(resp.StatusCode)
	switch {
	case resp.Info.AttemptID != attemptID:
		return &upstream.NotAnswerError{Reason: "status " + status + " without the id of the attempt"}
	case encoded:
		return &upstream.NotAnswerError{Reason: "status " + status + " with an encoded body"}
	case resp.Info.NotRun && resp.StatusCode < http.StatusBadRequest:
		return &upstream.NotAnswerError{Reason: "status " + status + " for a request that was not run"}
	case resp.Info.NotRun:
		return nil
	case promisesNotRun[resp.StatusCode]:
		return &upstream.NotAnswerError{Reason: "status " + status + " without the statement that the request was not run"}
	case !resp.Info.Signed:
		return &upstream.NotAnswerError{Reason: "status " + status + " without the server's signature"}
	}
	return nil
}
