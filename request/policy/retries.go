package policy

import (
	"maps"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// RetryCause is why a request starts again after an attempt that may have reached a server.
type RetryCause string

// The causes of retries.
const (
	// RetryAfterFailure: the attempt failed.
	RetryAfterFailure RetryCause = "failure"
	// RetryAfterRejection: the server stated that it did not run the request.
	RetryAfterRejection RetryCause = "rejection"
	// RetryUnanswered: the server stopped responding or is unreachable.
	RetryUnanswered RetryCause = "no response"
	// RetryMoved: another server is expected to be faster.
	RetryMoved RetryCause = "move"
	// RetryLeaving: the server is about to leave.
	RetryLeaving RetryCause = "leaving"
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
	// ByCause counts retries.
	ByCause map[RetryCause]uint64
	// Denied counts requests that were not retried.
	Denied map[RetryDenial]uint64
	// Lent and Borrowed count the retries of loans.
	Lent, Borrowed uint64
	// Part is this instance's part of the retries beyond the share of requests, Left the number
	// of retries left in its budget.
	Part, Left float64
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

// retryCause returns why a request is retried after the failure.
func (e Failed) retryCause() RetryCause {
	if e.Refused {
		return RetryAfterRejection
	}
	return RetryAfterFailure
}

// grantRetry takes a retry for a request that does not run, and reports whether one was left.
func (c *core) grantRetry(now time.Time, r *request, cause RetryCause) bool {
	r.grant, r.retryCause = r.pool.retryBudget.Take(now, 0), cause
	return r.grant != nil
}

// renewGrant replaces a borrowed grant whose term is over, and reports whether the request may
// start.
func (c *core) renewGrant(now time.Time, r *request) bool {
	if r.grant != nil && r.grant.Expired(now) && !c.grantRetry(now, r, r.retryCause) {
		return false
	}
	return c.check(InvariantBudget, !r.reached || r.grant != nil)
}

// leftForFailures is how many retries are left for failed requests by those that could go on where
// they are.
const leftForFailures = 1

// stopForRetry stops the running attempt if the request may go to another server and a retry is
// left for it, and reports whether it did.
func (c *core) stopForRetry(now time.Time, r *request, cause RetryCause) bool {
	if maxServers := int(r.class.GetMaxAttempts()); maxServers > 0 && r.serversTried+1 >= maxServers {
		return false
	}
	reserve := 0.0
	if cause == RetryMoved || cause == RetryPreempted {
		reserve = leftForFailures
	}
	grant := r.pool.retryBudget.Take(now, reserve)
	if grant == nil {
		return false
	}
	c.stop(now, r)
	r.serversTried++
	r.grant, r.retryCause = grant, cause
	return true
}

// markReached records that an attempt of the request may have reached its server.
func (c *core) markReached(now time.Time, r *request) {
	r.reached = true
	if r.grant != nil {
		r.pool.retryBudget.Use(now, r.grant)
		r.grant = nil
	}
}

// denyRetry records that the request is not retried.
func (c *core) denyRetry(r *request, denial RetryDenial) {
	r.retryDenied = denial
	r.pool.retries.Denied[denial]++
}

// endWithoutRetry ends a request that does not run and is not retried.
func (c *core) endWithoutRetry(now time.Time, r *request, denial RetryDenial) {
	c.denyRetry(r, denial)
	c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_BACKEND_FAILED, denial.message(), c.retryAfter(r.pool))
}

// endStopped ends a request whose attempt was stopped and that may not be retried. Its first
// byte may be on its way, so it is not reported as not run.
func (c *core) endStopped(now time.Time, r *request) {
	r.everSent = true
	r.serversTried++
	denial := RetryDeniedByBudget
	if r.attemptsExhausted() {
		denial = RetryDeniedByAttempts
	}
	c.endWithoutRetry(now, r, denial)
}

// recordRetry counts a start of the request if it is a retry.
func (r *request) recordRetry() {
	if r.reached {
		r.pool.retries.ByCause[r.retryCause]++
	}
}
