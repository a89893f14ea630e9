package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/process/loadboard"
)

// crowd tells that others fill the engines.
func crowd(c *core, now time.Time, full ...*server) {
	loads := loadboard.Loads{}
	for _, s := range full {
		loads[s.key] = loadboard.Load{InFlight: uint32(s.slots)}
	}
	c.Step(now, LoadsTold{Word: loadboard.Word{Loads: loads, Instances: 74}})
}

// homesFull is an instance before 40 engines of which the request's homes are full.
func homesFull(a Arrival) *core {
	c := inTree(engines("e1", 20, "a", "b"))
	c.Step(epoch, Tick{})
	crowd(c, epoch)
	r := &request{Arrival: a, class: c.view.Classes[a.Class], pool: c.pools[a.Target]}
	h := c.homesOf(epoch, r)
	crowd(c, epoch, h.ranked[:]...)
	return c
}

// Scans whose four homes were full waited out their target beside idle engines and were
// refused, though their prompt takes 20 ms to read anywhere.
func TestAShortPromptLeavesItsFullHomes(t *testing.T) {
	is := is.New(t)
	c := homesFull(draft(1))
	start := only[Start](t, c.Step(epoch.Add(ms), draft(1)))
	is.Equal(start.Why.Load, 0.0)
	is.Equal(start.Why.Waited, time.Duration(0))
}

// A digest waited for the engine that holds its prompt, and with it all digests behind it
// whose engines were idle.
func TestARequestThatWaitsForItsHomeHoldsNobodyUp(t *testing.T) {
	is := is.New(t)
	c := inTree(engines("e1", 20, "a", "b"))
	c.Step(epoch, Tick{})
	crowd(c, epoch)
	start := only[Start](t, c.Step(epoch, digest(1, 1)))
	c.Step(epoch, Sent{ID: 1, Attempt: 1})
	c.Step(epoch.Add(start.Why.Expected), Tokens{ID: 1, Attempt: 1, Count: 3})
	now := epoch.Add(start.Why.Expected)
	for _, s := range c.pools["llm"].servers {
		s.cacheToken = 0 // the prompt can't be fetched
	}
	crowd(c, now, c.servers[start.Server])
	c.Step(now, digest(2, 1))
	is.True(c.requests[2].server == nil) // it waits rather than have its prompt read twice
	is.True(only[Start](t, c.Step(now.Add(700*ms), digest(3, 2))).Server != start.Server)
}

// Requests of two ranks wait for the same room: the more urgent rank of the tier starts,
// though the other came first.
func TestTheMoreUrgentRankOfATierStartsFirst(t *testing.T) {
	is := is.New(t)
	c := inTree(engines("e1", 1, "a"))
	c.Step(epoch, Tick{})
	crowd(c, epoch, c.servers["a-0"])
	c.Step(epoch, digest(1, 1))
	c.Step(epoch.Add(ms), draft(2))
	is.Equal(c.running, 0)
	crowd(c, epoch.Add(2*ms))
	starts := starts(c.Step(epoch.Add(3*ms), Tick{}))
	is.True(len(starts) > 0)
	is.Equal(starts[0].ID, ID(2))
}

// starts are the requests that an event starts, in order.
func starts(actions []Action) []Start {
	var all []Start
	for _, action := range actions {
		if start, ok := action.(Start); ok {
			all = append(all, start)
		}
	}
	return all
}
