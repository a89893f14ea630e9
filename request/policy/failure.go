package policy

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	// maxAttempts limits the starts of one request. It is not applied after an attempt
	// that no server ran, unless the class limits attempts; unservable bounds these.
	maxAttempts = 10
	// misdirectedPause is how long a server whose address another one has taken over gets no new
	// requests: about the time until the list of servers shows it.
	misdirectedPause = time.Second

	outcomeMessage   = "the backend server failed after the request was sent; ask for its outcome by its Idempotency-Key"
	convictedMessage = "this request crashed two backend servers and is blocked; change it, or ask the operators to lift the conviction"
)

func (c *core) failed(now time.Time, e Failed) {
	r := c.currentAttempt(e.ID, e.Attempt)
	if r == nil {
		c.settle(now, e.ID, e.Attempt, e.Sent && !e.Refused)
		return
	}
	s := r.server
	e.Sent = e.Sent || r.attemptSent && !e.Refused
	if e.Crashed && e.Sent {
		c.recordLostParts(now, r, s)
		c.suspectCrash(now, r, s)
	}
	if e.Refused {
		// The server stated that it did not run the request.
		r.attemptSent = false
	}
	if e.Sent || e.Refused {
		if !e.Misdirected {
			r.serversTried++
		}
		c.markReached(now, r)
	}
	if e.Sent && !e.Refused && !e.Permanent {
		s.failureRate += failureSampleWeight * (1 - s.failureRate)
	}
	c.detachFromServer(now, r)
	r.pool.rejectedAt = now
	if e.Refused || !e.Sent {
		r.rejections++
	}
	r.failedOn = s.name
	r.everSent = r.everSent || e.Sent && !e.Refused
	c.penalizeServer(now, s, e)
	if kind, message, final := c.finalFailure(now, r, e); final {
		c.end(now, r, kind, message, 0)
	} else {
		c.retryFailed(now, r, e)
	}
	if e.Crashed && e.Sent {
		c.quarantineCopies(now, r.Digest, s)
	}
	c.dispatch(now, r.pool)
}

// attemptsExhausted reports whether the request was sent to as many servers as its
// class allows.
func (r *request) attemptsExhausted() bool {
	maxServers := int(r.class.GetMaxAttempts())
	return maxServers > 0 && r.serversTried >= maxServers
}

// penalizeServer updates the server's state after a failed attempt.
func (c *core) penalizeServer(now time.Time, s *server, e Failed) {
	switch {
	case e.Misdirected:
		s.forgetPace(now)
		s.busyUntil = now.Add(misdirectedPause)
	case e.Refused:
		s.busyUntil = now.Add(s.backoff(e.RetryAfter))
	case e.Permanent, e.ServerError:
		s.lastResponseAt = now
	case e.Crashed:
		c.recordCrash(now, s)
		c.recordGone(now, s)
		if !now.Before(s.ejectedUntil) {
			c.stats.Crashes++
			c.eject(now, s, e.pauseReason())
			c.unannouncedCrash = s
		}
		s.crashedAt = now
		s.crashReports.reporter = ""
		s.reportAge = -1
		s.cache.clear()
	default:
		// No response: the server hangs or is unreachable.
		c.eject(now, s, NoResponse)
	}
}

// pauseReason returns why a server is paused to which the connection failed.
func (e Failed) pauseReason() AvailabilityReason {
	if e.Silent {
		return NoResponse
	}
	return CrashObserved
}

// finalFailure reports whether a failed request must not be retried, with the error kind
// and message.
func (c *core) finalFailure(now time.Time, r *request, e Failed) (fault.Kind, string, bool) {
	if c.convicted(now, r.Digest) {
		return lilacv1.ErrorKind_ERROR_KIND_CONVICTED, convictedMessage, true
	}
	if e.Permanent {
		return lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "the backend server rejected the request as invalid; change it", true
	}
	if !r.Idempotent && r.everSent {
		return lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, outcomeMessage, true
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return lilacv1.ErrorKind_ERROR_KIND_TIMEOUT, "the deadline was exceeded; allow more time", true
	}
	return 0, "", false
}

// retryFailed retries a failed request, or ends it. A retry is taken from the budget unless no
// attempt can have reached a server.
func (c *core) retryFailed(now time.Time, r *request, e Failed) {
	// The number of rejections of a class that sets no maximum is bounded by unservable.
	bounded := !e.Refused || r.class.GetMaxAttempts() > 0
	switch {
	case !r.reached || r.grant != nil:
		c.enqueue(now, r)
	case bounded && (r.attempt >= maxAttempts || r.attemptsExhausted()):
		c.endWithoutRetry(now, r, RetryDeniedByAttempts)
	case c.grantRetry(now, r, e.retryCause()):
		c.stats.Retries++
		c.enqueue(now, r)
	case !c.awaitLoan(now, r):
		c.endWithoutRetry(now, r, RetryDeniedByBudget)
	}
}
