package policy

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/number"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After sent to callers.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = time.Minute
)

// jitter lengthens the delay by up to one half, so that callers do not all return at
// the same time.
func (c *core) jitter(delay time.Duration) time.Duration {
	return delay + time.Duration(c.random.Int64N(int64(delay)/2+1))
}

// retryAfter returns the expected time to serve the current queue, with jitter.
func (c *core) retryAfter(p *pool) time.Duration {
	return c.jitter(min(max(p.queueWait(), minRetryAfter), maxRetryAfter))
}

// end emits the request's final action: Broken if the caller holds a part of the
// answer, else Refuse.
func (c *core) end(now time.Time, r *request, kind fault.Kind, message string, after time.Duration) {
	if !c.check(InvariantOneFinal, c.requests[r.ID] == r) {
		return
	}
	c.forget(now, r)
	if r.tokens > 0 {
		c.stats.Broken++
		c.emit(Broken{ID: r.ID, Kind: kind, Message: message, RetryAfter: after})
		return
	}
	if kind == lilacv1.ErrorKind_ERROR_KIND_OVERLOADED || kind == lilacv1.ErrorKind_ERROR_KIND_LATE {
		r.recordServed(false)
		after = c.returnAfter(now, r, after)
	}
	c.rememberRefusal(now, r, after)
	notRun := lilacv1.NotRun_NOT_RUN_TRUE
	if r.everSent || r.unsettled > 0 {
		notRun = lilacv1.NotRun_NOT_RUN_UNKNOWN
	}
	c.stats.Refused++
	c.emit(Refuse{ID: r.ID, Kind: kind, Message: message, NotRun: notRun, RetryAfter: after, Queue: c.queueState(now, r), Shortage: r.shortage, RetryDenied: r.retryDenied, RetriesLeft: r.pool.retryBudget.Left(now)})
}

// queueState returns the request's state in the queue and why it has not started.
func (c *core) queueState(now time.Time, r *request) QueueState {
	position := positionOf(r.class)
	slots := 0.0
	for _, part := range r.pool.slotSplit[:position+1] {
		slots += part
	}
	return QueueState{Position: position, Before: r.pool.queue.Before(&r.item), Running: r.pool.runningUpTo(position), Slots: slots, Blocked: r.blocked, Reason: r.reason, ExpectedEnd: r.expectedEnd, Limit: r.limitAt(now), Ahead: r.workTimeAhead, Team: c.teamShare(now, r)}
}

// forget removes the request and corrects the charge to its team's limit.
func (c *core) forget(now time.Time, r *request) {
	delete(c.requests, r.ID)
	r.returnPartTrial()
	if r.grant != nil {
		r.pool.retryBudget.Return(r.grant)
		r.grant = nil
	}
	used := float64(r.tokens)
	if r.everSent {
		used += float64(r.PromptTokens)
	}
	c.limits.Spend(r.Team, r.limit, used-r.charged, now)
	r.pool.queue.Charge(&r.item, float64(r.tokens)-r.estimated)
	c.settleService(now, r)
}

// stop removes the request from the queue or cancels it at its server.
func (c *core) stop(now time.Time, r *request) {
	if r.server == nil {
		c.dequeue(r)
		return
	}
	c.emit(Stop{ID: r.ID, Server: r.server.name, Attempt: r.attempt})
	// Its first byte may be on its way.
	c.markReached(now, r)
	c.detachFromServer(now, r)
	r.awaitOutcome()
}

func (c *core) dequeue(r *request) {
	r.pool.queue.Remove(&r.item)
	c.stopBorrowing(r)
	r.releaseReservation()
	c.releaseTrial(r)
	if i := slices.Index(r.pool.parked, r); i >= 0 {
		r.pool.parked = slices.Delete(r.pool.parked, i, i+1)
	}
	if i := slices.Index(r.pool.quarantine, r); i >= 0 {
		r.pool.quarantine = slices.Delete(r.pool.quarantine, i, i+1)
	}
}

func (c *core) cancel(now time.Time, id ID) {
	r := c.requests[id]
	if r == nil {
		return
	}
	c.stats.SavedTokens.Canceled += c.remainingTokens(r)
	if r.cutOffByLimit(now) {
		c.observeEnd(now, r)
	}
	c.stop(now, r)
	c.forget(now, r)
	c.stats.Canceled++
	c.dispatch(now, r.pool)
}

// remainingTokens estimates the rest of an answer that an engine is generating now.
func (c *core) remainingTokens(r *request) uint64 {
	if r.server == nil || !r.attemptSent {
		return 0
	}
	return number.Uint64(r.tokensLeft(c))
}

// expireDue ends the requests whose deadlines have passed.
func (c *core) expireDue(now time.Time) {
	for id, due := c.timers.due(now); due; id, due = c.timers.due(now) {
		if r := c.requests[id]; r != nil {
			c.expire(now, r)
		}
	}
}

func (c *core) expire(now time.Time, r *request) {
	c.stats.SavedTokens.Expired += c.remainingTokens(r)
	c.observeEnd(now, r)
	c.stop(now, r)
	c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_TIMEOUT, "the deadline was exceeded; allow more time, or use a more urgent class", 0)
}
