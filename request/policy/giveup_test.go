package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// runUntilRefused sends the request and runs ticks until it is refused. answer returns the
// server's response to each start. It returns the refusal and the time it took.
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

// Each engine answers 429. Since a refusal allows another attempt, a request without a
// deadline would keep its connection open forever.
func TestRequestRefusedByAllEnginesIsGivenUp(t *testing.T) {
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

// All servers of a pool leave before a request arrives. It has no prospect of a server
// and must not wait forever.
func TestRequestsOfALeavingPoolAreGivenUp(t *testing.T) {
	is := is.New(t)
	c := newCore()
	for _, name := range []string{"r1", "r2"} {
		c.Step(epoch, ServerState{Server: name, Leaving: true})
	}
	refusal, waited := runUntilRefused(t, c, arrival(1, "batch"), nil)
	isGivenUp(is, refusal)
	is.True(waited <= maxClosedWait+2*giveUpInterval)
}

// Servers work but are full for longer than any of the limits here. Waiting behind other
// requests must not end a request; that would ignore the order of tiers.
func TestQueuedRequestsAreNotGivenUp(t *testing.T) {
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

// A low-priority request waits for an idle engine with two slots. If it had to leave more
// slots free than the engine has, it would never start.
func TestAnIdleServerTakesAnyRequest(t *testing.T) {
	is := is.New(t)
	c := newCore()
	only[Start](t, c.Step(epoch, arrival(1, "batch")))
	is.Equal(c.running, 1)
}
