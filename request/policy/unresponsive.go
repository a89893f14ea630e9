package policy

import "time"

// A server that loses power, or whose machine is cut off, breaks no connection:
// requests sent there get nothing until their callers' time ends. An engine that
// works sends tokens of some answer all the time, and a service answers within a
// tenth of a second, so silence towards all requests of this instance shows it.
const (
	// silentFor is the silence after which a server is taken for gone, besides
	// twice the time in which its oldest request was expected to be answered.
	unresponsiveTimeout = 700 * time.Millisecond
)

// noticeSilent takes servers that fell silent out, and has what may run again and
// has not begun to be answered run elsewhere.
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
		s.eject(now)
		c.stats.Unresponsive++
		c.retryUnanswered(now, s)
	}
}

// owesSigns tells whether silence says anything. An engine that reads long prompts
// of other instances gives nothing to one whose answers have all not begun: with 76
// instances that is the rule in a burst, and leaving such engines had 4,200k tokens
// read again on a day of overload.
func (s *server) expectsProgress() bool { return s.service || s.decoding > 0 }

// oldestUnanswered is the request that waits longest for its answer to begin.
func (s *server) oldestUnanswered() *request {
	var oldest *request
	for _, r := range s.running {
		if r.attemptTokens == 0 && (oldest == nil || r.started.Before(oldest.started)) {
			oldest = r
		}
	}
	return oldest
}

// moveUnanswered sends requests of a silent server to others, as far as their
// kind, their class and the retry budget allow it.
func (c *core) retryUnanswered(now time.Time, s *server) {
	for _, r := range c.findRequests(func(r *request) bool { return r.server == s && r.attemptTokens == 0 && r.Idempotent }) {
		most := int(r.class.GetMaxAttempts())
		if most > 0 && r.serversTried+1 >= most || r.attempt >= maxAttempts || !c.budget.Take() {
			continue
		}
		c.check(InvariantBudget, c.budget.WithinBudget())
		r.serversTried++
		r.failedOn = s.name
		c.stop(now, r)
		c.enqueue(now, r)
		c.dispatch(now, r.pool)
	}
}
