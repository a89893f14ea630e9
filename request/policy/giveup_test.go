package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// playUntilRefused sends the request, ticks on and lets answer play the servers' part for each
// start; it returns the refusal and how long it took.
func runUntilRefused(t *testing.T, c *core, first Arrival, answer func(s Start) Event) (Refuse, time.Duration) {
	t.Helper()
	actions := append([]Action(nil), c.Step(epoch, first)...)
	for wait := time.Duration(0); wait < 2*time.Minute; wait += TickInterval {
		now := epoch.Add(wait)
		actions = append(actions, c.Step(now, Tick{})...)
		for len(actions) > 0 {
			action := actions[0]
			actions = actions[1:]
			switch a := action.(type) {
			case Refuse:
				return a, wait
			case Start:
				c.Step(now, Sent{ID: a.ID, Attempt: a.Attempt})
				actions = append(actions, c.Step(now, answer(a))...)
			}
		}
	}
	t.Fatal("the request still waits after two minutes")
	return Refuse{}, 0
}

func isGivenUp(is *is.I, refusal Refuse) {
	is.Helper()
	is.Equal(refusal.Kind, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE)
	is.Equal(refusal.NotRun, lilacv1.NotRun_NOT_RUN_TRUE)
	is.True(refusal.RetryAfter >= minRetryAfter)
}

// An engine answers 429 to everything. The caller set no deadline and saw its
// connection stay open without a word, since each refusal allowed another try.
func TestAlwaysRefusingEnginesAreGivenUp(t *testing.T) {
	is := is.New(t)
	c := newCore()
	refuse := func(s Start) Event {
		return Failed{ID: s.ID, Attempt: s.Attempt, Sent: true, Refused: true, RetryAfter: time.Second}
	}
	refusal, waited := runUntilRefused(t, c, arrival(1, "alerts"), refuse)
	isGivenUp(is, refusal)
	is.True(waited <= maxRefusedWait+giveUpInterval+slowTick)
	is.Equal(len(c.requests), 0)
}

// All servers of a pool are taken out while a request waits, and another
// arrives afterwards. Neither has a server to hope for.
func TestAPoolThatIsLeavingIsGivenUp(t *testing.T) {
	is := is.New(t)
	c := newCore()
	for _, name := range []string{"r1", "r2"} {
		c.Step(epoch, ServerState{Server: name, Leaving: true})
	}
	refusal, waited := runUntilRefused(t, c, arrival(1, "batch"), nil)
	isGivenUp(is, refusal)
	is.True(waited <= maxClosedWait+2*giveUpInterval)
}

// Servers work, but they are full for longer than any bound here. That is a
// queue, not a want of servers: what waits must not be given up out of tier order.
func TestAQueueIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	c := newCore()
	for id := range ID(8) {
		c.Step(epoch, arrival(id+1, "batch"))
	}
	running := c.running
	is.True(running > 0 && running < 8)
	for wait := time.Duration(0); wait < time.Minute; wait += 50 * time.Millisecond {
		for id := range ID(8) {
			if r := c.requests[id+1]; r.server != nil {
				c.Step(epoch.Add(wait), Tokens{ID: r.ID, Attempt: r.attempt, Count: 1})
			}
		}
		c.Step(epoch.Add(wait), Tick{})
	}
	is.Equal(len(c.requests), 8)
}

// A nightly request waits for an engine of two slots. It is idle, but the free
// slots that the request must leave for others were more than it has, so that
// it never started.
func TestAnIdleServerTakesAnyRequest(t *testing.T) {
	is := is.New(t)
	c := newCore()
	only[Start](t, c.Step(epoch, arrival(1, "batch")))
	is.Equal(c.running, 1)
}
