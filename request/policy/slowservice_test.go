package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// answerAfter starts so many requests, each of which is answered after the given time, and returns
// the end.
func answerAfter(t *testing.T, c *core, from time.Time, first ID, count int, took time.Duration) time.Time {
	for id := first; id < first+ID(count); id++ {
		start := only[Start](t, c.Step(from, look(id, from)))
		c.Step(from, Sent{ID: id, Attempt: start.Attempt})
	}
	end := from.Add(took)
	for now := from; now.Before(end); now = now.Add(TickInterval) {
		c.Step(now, Tick{})
	}
	for id := first; id < first+ID(count); id++ {
		c.Step(end, Tokens{ID: id, Attempt: 1, Count: 1})
		c.Step(end, Finished{ID: id, Attempt: 1})
	}
	return end
}

// Guards against requests that wait for servers with free slots, and are refused as there is no
// room, since no server is expected to answer in time.
func TestRequestsStartOnIdleServersThatSeemSlow(t *testing.T) {
	for _, expected := range []time.Duration{1800 * ms, 2200 * ms, 5 * time.Second} {
		is := is.New(t)
		c := coreWithThreeDesks()
		for _, s := range c.servers {
			s.serviceTime = expected.Seconds()
		}
		// The first have to wait, longer than the difference of target and expected time.
		for _, s := range c.servers {
			s.busyUntil = epoch.Add(300 * ms)
		}
		now, started := epoch, 0
		for id := ID(1); now.Before(epoch.Add(2 * time.Second)); now = now.Add(TickInterval) {
			actions := c.Step(now, Tick{})
			if id <= 2*deskRoom {
				actions = append(append([]Action{}, actions...), c.Step(now, look(id, now))...)
				id++
			}
			is.Equal(len(all[Refuse](actions)), 0)
			started += len(all[Start](actions))
		}
		is.Equal(started, 2*deskRoom)
	}
}

// Guards against a server that gets no more requests because its last answers were slow.
func TestServerWhoseLastAnswersWereSlowIsTriedAgain(t *testing.T) {
	is := is.New(t)
	c := coreWithThreeDesks()
	c.servers["desk-b"].serviceTime, c.servers["desk-c"].serviceTime = 2.8, 0.6
	c.servers["desk-a"].serviceTime = 0.6
	now, used := epoch, false
	for id := ID(1); id < 3000 && !used; id += 90 {
		first := c.servers["desk-b"].lastResponseAt
		now = answerAfter(t, c, now, id, 90, 600*ms)
		used = c.servers["desk-b"].lastResponseAt.After(first)
	}
	is.True(used)
	is.True(now.Sub(epoch) <= 12*time.Second)
}
