package policy

import "maps"

// RetryCause is why a request starts again after an attempt that may have reached a server.
type RetryCause string

// The causes of retries.
const (
	// RetryAfterFailure: the attempt failed.
	RetryAfterFailure RetryCause = "failure"
	// RetryAfterRejection: the server stated that it did not run the request.
	RetryAfterRejection RetryCause = "rejection"
	// RetryUnanswered: the server stopped responding.
	RetryUnanswered RetryCause = "no response"
	// RetryMoved: another server continues the answer or is expected to be faster.
	RetryMoved RetryCause = "move"
	// RetryPreempted: the attempt was stopped for a more urgent request.
	RetryPreempted RetryCause = "preempted"
	// RetryQuarantined: the attempt was stopped because its request is suspected of crashing
	// servers.
	RetryQuarantined RetryCause = "quarantine"
)

// RetryDenial is why a request was not retried.
type RetryDenial string

// The reasons for which requests are not retried.
const (
	// RetryNotDenied: no retry was denied.
	RetryNotDenied RetryDenial = ""
	// RetryDeniedByAttempts: the request was sent to as many servers as it may be.
	RetryDeniedByAttempts RetryDenial = "attempts"
	// RetryDeniedByBudget: the retry budget is exhausted.
	RetryDeniedByBudget RetryDenial = "budget"
)

// RetryStats counts the retries of a pool.
type RetryStats struct {
	// ByCause counts retries, Uncharged those of them that took nothing from the budget.
	ByCause   map[RetryCause]uint64
	Uncharged uint64
	// Denied counts requests that were not retried.
	Denied map[RetryDenial]uint64
	// Left is the number of retries left in the budget.
	Left float64
}

func newRetryStats() RetryStats {
	return RetryStats{ByCause: make(map[RetryCause]uint64), Denied: make(map[RetryDenial]uint64)}
}

func (s RetryStats) clone() RetryStats {
	s.ByCause, s.Denied = maps.Clone(s.ByCause), maps.Clone(s.Denied)
	return s
}

const (
	attemptsMessage = "the backend server failed and the request was sent to as many servers as its class allows; send the request again after Retry-After"
	budgetMessage   = "the backend server failed and the retry budget is exhausted; send the request again after Retry-After"
)

// message returns the message for the caller.
func (d RetryDenial) message() string {
	if d == RetryDeniedByAttempts {
		return attemptsMessage
	}
	return budgetMessage
}

// chargeRetry takes a retry from the budget and reports whether one was left.
func (c *core) chargeRetry(r *request, cause RetryCause) bool {
	if !c.budget.Take() {
		return false
	}
	c.check(InvariantBudget, c.budget.WithinBudget())
	r.retryCause, r.retryCharged = cause, true
	return true
}

// denyRetry records that the request is not retried.
func (c *core) denyRetry(r *request, denial RetryDenial) {
	r.retryDenied = denial
	r.pool.retries.Denied[denial]++
}

// recordRetry counts a start of the request if it is a retry.
func (r *request) recordRetry() {
	if r.reached {
		r.pool.retries.ByCause[r.retryCause]++
		if !r.retryCharged {
			r.pool.retries.Uncharged++
		}
	}
	r.retryCharged = false
}
