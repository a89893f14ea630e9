package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// crashTwoServers runs two copies of a request on servers that crash at the same moment, and steps
// until the decision and a possible trial. It returns the time.
func crashTwoServers(t *testing.T, c *core, answersBefore int) time.Time {
	is := is.New(t)
	now := epoch
	id := ID(1)
	for range answersBefore {
		is.Equal(len(sendCopy(c, id)), 1)
		c.Step(now, Finished{ID: id, Attempt: 1})
		id++
	}
	c.identical.passed["same"] = now // copies run anywhere
	first := c.servers[sendCopy(c, id)[0].Server]
	second := first
	for ; second == first; id++ {
		second = c.servers[sendCopy(c, id+1)[0].Server]
	}
	for _, lost := range c.findRequests(func(r *request) bool { return r.server == first }) {
		c.Step(now, Failed{ID: lost.ID, Attempt: 1, Sent: true, Crashed: true})
	}
	c.recordCrash(now, second)
	is.True(c.suspects.Get("same").Convicted())
	c.scheduleConfirmation("same")
	for end := now.Add(confirmationDelay + crashFreePeriod + 3*time.Second); now.Before(end); now = now.Add(slowTick) {
		c.Step(now, Tick{})
	}
	return now
}

// Guards against a page that is asked for often and blocked for a day, since two of the servers that
// answer it crashed for another reason.
func TestRequestThatWasAnsweredOftenIsNotConvictedByAnOutage(t *testing.T) {
	is := is.New(t)
	c := coreWithPool(6)
	now := crashTwoServers(t, c, provenAnswers)
	is.Equal(c.stats.Convicted, uint64(0))
	is.True(!c.convicted(now, "same"))
	trial := c.suspects.Get("same")
	is.True(trial == nil || len(trial.Servers) == 1)
	running := c.findRequests(func(r *request) bool { return r.server != nil })
	is.Equal(len(running), 1) // a single trial
	c.Step(now, Sent{ID: running[0].ID, Attempt: running[0].attempt})
	c.Step(now, Finished{ID: running[0].ID, Attempt: running[0].attempt})
	is.True(c.suspects.Get("same") == nil) // its answer clears it
}

// Guards against a request that crashes each server that runs it and is never blocked, since it was
// answered well before.
func TestRequestThatBeganToCrashServersIsConvictedAtTheThird(t *testing.T) {
	is := is.New(t)
	c := coreWithPool(6)
	now := crashTwoServers(t, c, provenAnswers)
	running := c.findRequests(func(r *request) bool { return r.server != nil })
	is.Equal(len(running), 1)
	c.Step(now, Sent{ID: running[0].ID, Attempt: running[0].attempt})
	c.Step(now, Failed{ID: running[0].ID, Attempt: running[0].attempt, Sent: true, Crashed: true})
	for end := now.Add(2 * confirmationDelay); now.Before(end); now = now.Add(slowTick) {
		is.Equal(len(all[Start](c.Step(now, Tick{}))), 0)
	}
	is.True(c.convicted(now, "same"))
}

// Guards against a request that was never answered and is tried on a third server.
func TestRequestThatWasNeverAnsweredIsConvictedAtTheSecond(t *testing.T) {
	is := is.New(t)
	c := coreWithPool(6)
	is.True(c.convicted(crashTwoServers(t, c, 0), "same"))
}

// Guards against a record of answers that grows with what callers send.
func TestRecordOfAnswersIsBounded(t *testing.T) {
	is := is.New(t)
	a := newAnsweredDigests()
	for range provenAnswers {
		a.add("popular")
	}
	for n := range 10 * maxAnsweredDigests {
		a.add(fmt.Sprint(n))
		if n%1000 == 0 {
			a.add("popular")
		}
	}
	is.True(len(a.recent)+len(a.older) <= maxAnsweredDigests)
	is.True(a.proven("popular"))
	is.True(!a.proven("0"))
}
