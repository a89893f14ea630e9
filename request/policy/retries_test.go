package policy

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// failLookup sends a lookup whose attempts all fail, and returns its refusal and the number of
// attempts.
func failLookup(c *core, now time.Time, id ID) (refusal Refuse, attempts int) {
	a := lookup(id)
	a.Deadline = now.Add(time.Minute)
	actions := c.Step(now, a)
	for refusal.ID == 0 {
		starts := all[Start](actions)
		if len(starts) == 0 {
			return refusal, attempts
		}
		start := starts[0]
		attempts++
		c.Step(now, Sent{ID: id, Attempt: start.Attempt})
		actions = c.Step(now, Failed{ID: id, Attempt: start.Attempt, Sent: true, ServerError: true})
		for _, refusal = range all[Refuse](actions) {
		}
	}
	return refusal, attempts
}

// Guards against a request that used up its own attempts being reported as a denial by the
// retry budget.
func TestRefusalTellsUsedAttemptsFromAnEmptyBudget(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 1, "a", "b", "c")
	refusal, attempts := failLookup(c, epoch, 1)
	is.Equal(attempts, 2)
	is.Equal(refusal.RetryDenied, RetryDeniedByAttempts)
	is.True(refusal.RetriesLeft > 1)
	for id := ID(2); attempts == 2; id++ {
		refusal, attempts = failLookup(c, epoch, id)
	}
	is.Equal(attempts, 1)
	is.Equal(refusal.RetryDenied, RetryDeniedByBudget)
	is.True(refusal.RetriesLeft < 1)
	stats := c.Stats().RetriesByPool["desk"]
	is.True(stats.ByCause[RetryAfterFailure] >= 20)
	is.Equal(stats.Denied[RetryDeniedByBudget], uint64(1))
}

// withoutRetries returns the core with nothing in its retry budgets, now and later.
func withoutRetries(c *core) *core {
	c.retryBound.Extra, c.retryBound.Share = 0, 0
	for _, p := range c.poolOrder {
		p.retryBudget = nil
	}
	c.shareRetries(epoch)
	return c
}

// Guards against stopped copies of a suspect that start again without a retry being left.
func TestStoppedCopyOfASuspectIsRetriedWithinTheBudget(t *testing.T) {
	for name, shape := range map[string]struct {
		core   *core
		starts int
	}{
		"retries left": {coreWithPool(4), 1},
		"none left":    {withoutRetries(coreWithPool(4)), 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := shape.core
			sendCopy(c, 1)
			actions := slices.Clone(c.Step(epoch, suspectDigest("e2", 1, "", "r9")))
			is.Equal(len(all[Stop](actions)), 1)
			for now := epoch; now.Before(epoch.Add(3 * time.Second)); now = now.Add(slowTick) {
				actions = append(actions, c.Step(now, Tick{})...)
			}
			is.Equal(len(all[Start](actions)), shape.starts)
			refusals := all[Refuse](actions)
			is.Equal(len(refusals), 1-shape.starts)
			for _, refusal := range refusals {
				is.Equal(refusal.RetryDenied, RetryDeniedByBudget)
				is.Equal(refusal.NotRun, lilacv1.NotRun_NOT_RUN_UNKNOWN)
			}
		})
	}
}

// preempted returns how many running batches were stopped for alerts that would be late.
func preempted(c *core) uint64 {
	for id := ID(1); id <= 4; id++ {
		for _, start := range all[Start](c.Step(epoch, arrival(id, "batch"))) {
			c.Step(epoch, Sent{ID: start.ID, Attempt: start.Attempt})
			c.Step(epoch.Add(10*ms), Tokens{ID: start.ID, Attempt: start.Attempt, Count: 50})
		}
	}
	for id := ID(10); id < 16; id++ {
		c.Step(epoch.Add(20*ms), arrival(id, "alerts"))
	}
	for now := epoch.Add(30 * ms); now.Before(epoch.Add(400 * ms)); now = now.Add(TickInterval) {
		for _, r := range c.findRequests(func(r *request) bool { return r.server != nil }) {
			c.Step(now, Tokens{ID: r.ID, Attempt: r.attempt, Count: 1})
		}
		c.Step(now, Tick{})
	}
	return c.stats.Preempted
}

// Guards against preempted requests that start again without a retry being left.
func TestRequestsArePreemptedWithinTheBudget(t *testing.T) {
	is := is.New(t)
	is.True(preempted(newCore()) > 0)
	is.Equal(preempted(withoutRetries(newCore())), uint64(0))
}

// Guards against a rejected request of a class without a maximum number of attempts that is sent
// to one full server after the other without a retry being left.
func TestRejectedRequestIsRetriedWithinTheBudget(t *testing.T) {
	for name, shape := range map[string]struct {
		core    *core
		retried bool
	}{
		"retries left": {newCore(), true},
		"none left":    {withoutRetries(newCore()), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := shape.core
			c.Step(epoch, arrival(1, "alerts"))
			c.Step(epoch, Sent{ID: 1, Attempt: 1})
			actions := c.Step(epoch, Failed{ID: 1, Attempt: 1, Sent: true, Refused: true})
			if shape.retried {
				is.Equal(len(all[Refuse](actions)), 0)
				return
			}
			refusal := only[Refuse](t, actions)
			is.Equal(refusal.RetryDenied, RetryDeniedByBudget)
			is.Equal(refusal.NotRun, lilacv1.NotRun_NOT_RUN_TRUE)
			is.True(refusal.RetryAfter > 0)
		})
	}
}

// Guards against moves and preemptions that take the last retry, which a failed request needs.
func TestLastRetryIsLeftToAFailedRequest(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.retryBound.Extra, c.retryBound.Share = 1, 0.2
	c.shareRetries(epoch)
	budget := c.pools["redaction"].retryBudget
	for range 20 {
		budget.Earn()
	}
	is.Equal(budget.Left(epoch), 1.0)
	start := only[Start](t, c.Step(epoch, arrival(1, "alerts")))
	c.Step(epoch, Sent{ID: 1, Attempt: start.Attempt})
	is.True(!c.stopForRetry(epoch, c.requests[1], RetryMoved))
	is.True(!c.stopForRetry(epoch, c.requests[1], RetryPreempted))
	actions := c.Step(epoch, Failed{ID: 1, Attempt: start.Attempt, Sent: true, ServerError: true})
	is.Equal(len(all[Refuse](actions)), 0)
}

// Guards against a borrowed retry that goes to a late or less urgent request first.
func TestBorrowedRetryGoesToTheMostUrgentRequest(t *testing.T) {
	is := is.New(t)
	c := withoutRetries(newCore())
	c.Step(epoch, Fleet{Others: []Instance{{"e2", "dakar-a"}}})
	late := epoch.Add(time.Second)
	c.Step(epoch, arrival(1, "alerts"))
	c.Step(late, arrival(2, "batch"))
	c.Step(late, arrival(3, "alerts"))
	for id := ID(1); id <= 3; id++ {
		c.Step(late, Failed{ID: id, Attempt: 1, Sent: true, ServerError: true})
	}
	ask := only[BorrowRetries](t, c.Step(late, Tick{}))
	is.Equal(ask.From, []Instance{{"e2", "dakar-a"}})
	c.Step(late.Add(30*ms), RetriesBorrowed{Pool: "redaction", Count: 1, AskedAt: late})
	var waiting []ID
	for _, b := range c.pools["redaction"].retryLoans.waiting {
		waiting = append(waiting, b.request.ID)
	}
	is.Equal(waiting, []ID{1, 2})
	actions := c.Step(late.Add(loanWait), Tick{})
	is.Equal(len(all[Refuse](actions)), 2) // nobody has more
}
