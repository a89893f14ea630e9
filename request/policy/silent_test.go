package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a server that is silent for a second and then stays out of use, is reported
// as crashed, or loses the answer of a request that must not be repeated.
func TestServerSilentForASecondIsUsedOnceItAnswers(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 1, "a", "b")
	first := only[Start](t, c.Step(epoch, lookup(1)))
	booking := lookup(2)
	booking.Idempotent = false
	is.Equal(only[Start](t, c.Step(epoch, booking)).Server, first.Server)
	c.Step(epoch, Sent{ID: 1, Attempt: 1})
	c.Step(epoch, Sent{ID: 2, Attempt: 1})
	now := epoch
	for ; now.Before(epoch.Add(time.Second)); now = now.Add(TickInterval) {
		is.Equal(len(all[Announce](c.Step(now, Tick{}))), 0)
	}
	is.True(c.servers[first.Server].unavailable(now)) // silent so far
	is.True(c.requests[2] != nil)                     // still waits for its answer
	c.Step(now, Finished{ID: 2, Attempt: 1})
	is.True(!c.servers[first.Server].unavailable(now))
	is.Equal(len(c.suspects.Export(now)), 0)
	is.Equal(len(c.Digest(now).GetEjected()), 0)
}

// Guards against a server that stays out of use while it answers, since a new connection to it was
// not opened in time. One that refuses connections stays out of use.
func TestServerWithFullQueueOfConnectionsIsUsedOnceItAnswers(t *testing.T) {
	for _, silent := range []bool{true, false} {
		is := is.New(t)
		c := coreWithEngines("e1", 1, "a")
		for id := ID(1); id <= 2; id++ {
			is.Equal(only[Start](t, c.Step(epoch, lookup(id))).Server, "desk-a")
		}
		c.Step(epoch, Sent{ID: 1, Attempt: 1})
		now := epoch.Add(100 * ms)
		c.Step(now, Failed{ID: 2, Attempt: 1, Crashed: true, Silent: silent})
		is.True(c.servers["desk-a"].unavailable(now))
		now = now.Add(ms)
		c.Step(now, Tokens{ID: 1, Attempt: 1, Count: 1})
		c.Step(now, Finished{ID: 1, Attempt: 1})
		is.Equal(c.servers["desk-a"].unavailable(now) && now.Before(c.servers["desk-a"].ejectedUntil), !silent)
	}
}
