package policy

import "time"

// A server that loses power or its network breaks no connection: requests sent there
// get no answer until their callers time out. An engine that works sends tokens of
// some answer all the time, and a service answers within a tenth of a second, so a
// server that sends nothing for any request of this instance has failed.
const (
	// unresponsiveTimeout is the silence after which a server counts as failed, in
	// addition to twice the expected time to the first token of its oldest request.
	unresponsiveTimeout = 700 * time.Millisecond
)

// ejectUnresponsive ejects servers that stopped responding, and retries their
// unanswered idempotent requests elsewhere.
func (c *core) ejectUnresponsive(now time.Time) {
	for _, s := range c.ordered {
		oldest := s.oldestUnanswered()
		if oldest == nil || !oldest.Pinned || !s.expectsProgress() || now.Before(s.ejectedUntil) {
			continue
		}
		since := oldest.started
		if s.lastResponseAt.After(since) {
			since = s.lastResponseAt
		}
		if now.Sub(since) < unresponsiveTimeout+2*oldest.expectedFirst {
			continue
		}
		c.eject(now, s, NoResponse)
		c.stats.Unresponsive++
		c.retryUnanswered(now, s)
	}
}

// expectsProgress reports whether silence indicates a failure. While an engine
// processes long prompts of other instances it sends nothing to an instance whose
// answers have all not begun. With 76 instances that is common in a burst. Ejecting
// such engines caused 4.2 million tokens to be prefilled again in one day of overload.
func (s *server) expectsProgress() bool { return s.service || s.decoding > 0 }

// oldestUnanswered returns the request that has waited longest for its answer to
// begin, or nil.
func (s *server) oldestUnanswered() *request {
	var oldest *request
	for _, r := range s.running {
		if r.attemptTokens == 0 && (oldest == nil || r.started.Before(oldest.started)) {
			oldest = r
		}
	}
	return oldest
}

// retryUnanswered sends unanswered requests of the server to others, as far as
// idempotence, their class and the retry budget allow.
func (c *core) retryUnanswered(now time.Time, s *server) {
	for _, r := range c.findRequests(func(r *request) bool { return r.server == s && r.attemptTokens == 0 && r.Idempotent }) {
		if r.attempt >= maxAttempts || !c.stopForRetry(now, r, RetryUnanswered) {
			continue
		}
		r.failedOn = s.name
		c.enqueue(now, r)
		c.dispatch(now, r.pool)
	}
}
