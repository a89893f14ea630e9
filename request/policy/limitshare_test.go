package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/process/loadboard"
)

// fleetViews returns the views of n instances in three data centres, each of which knows
// all others.
func fleetViews(n int) []fleet {
	var all []Instance
	for i := range n {
		all = append(all, Instance{fmt.Sprintf("entry-%d", i), string(rune('a' + i%3))})
	}
	views := make([]fleet, n)
	for i := range views {
		views[i] = newFleet(all[i])
		views[i].update(epoch, append(append([]Instance(nil), all[:i]...), all[i+1:]...))
	}
	return views
}

// If each of 194 instances rounded its equal share up to one request, the sum would exceed
// the limit. In any four seconds all instances together must stay below one and a half
// times the limit plus five.
func TestSharesOfALimitStayWithinIt(t *testing.T) {
	for _, n := range []int{1, 2, 8, 75, 194} {
		for _, perSecond := range []float64{0, 0.1, 0.4, 1, 1.8, 2, 7, 40, 300} {
			is := is.New(t)
			share, burst := 0.0, 0.0
			for _, view := range fleetViews(n) {
				c := &core{options: Options{Instance: view.self.Name}, fleet: view}
				s := newServer("i-1")
				s.dataCenter = "b"
				s.rateLimit.Limit = loadboard.Limit{Advertised: true, PerSecond: perSecond}
				c.shareLimit(epoch, s)
				if s.allowance.share > 0 {
					s.allowance.credit = 1e9
					s.allowance.refresh(epoch)
					burst += s.allowance.credit
				}
				share += s.allowance.share
			}
			is.True(share <= perSecond+1e-9)
			is.True(share >= perSecond-1e-9) // the shares add up to the limit
			is.True(limitSpan.Seconds()*share+burst <= 1.5*limitSpan.Seconds()*perSecond+5)
		}
	}
}

// Two halves of a fleet cannot reach each other. Neither may take over the share of the
// other half while that may still be sending.
func TestUnreachableInstanceKeepsItsShare(t *testing.T) {
	is := is.New(t)
	views := fleetViews(8)
	s := newServer("i-1")
	s.dataCenter = "b"
	s.rateLimit.Limit = loadboard.Limit{Advertised: true, PerSecond: 1}
	before := views[0].senders(s)
	is.Equal(len(before), 3)
	views[0].update(epoch.Add(time.Minute), nil)
	views[0].expire(epoch.Add(time.Minute + missingTTL))
	is.Equal(views[0].senders(s), before)
	views[0].expire(epoch.Add(time.Minute + missingTTL + time.Second))
	is.Equal(views[0].senders(s), []string{views[0].self.Name}) // no other instance is left
}

// A limited engine has the cached prompt of a request but cannot accept it now. The request
// must not wait for it, but have its prompt computed on another engine.
func TestARequestDoesNotWaitForALimitedHome(t *testing.T) {
	is := is.New(t)
	c, home := coreWithCachedPrompt(t)
	finish(c, epoch.Add(slowTick), home)
	c.Step(epoch.Add(time.Second), namedLimit(home.Server, 0))
	start := only[Start](t, c.Step(epoch.Add(2*time.Second), digest(2, 7)))
	is.True(start.Server != home.Server)
	is.Equal(c.Stats().Violations[InvariantLimit], uint64(0))
}

// Every start on the server counts, including those of requests that failed elsewhere.
func TestRetriesCountAgainstALimit(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 2, "a")
	c.view.Classes["draft"].MaxAttempts = 2
	c.Step(epoch, namedLimit("a-0", 1))
	c.Step(epoch, namedLimit("a-1", 1))
	now := epoch.Add(5 * time.Second)
	c.Step(now, Tick{})
	first := only[Start](t, c.Step(now, lookupOnEngine(1)))
	retried := only[Start](t, c.Step(now, Failed{ID: 1, Attempt: 1, Refused: true}))
	is.True(first.Server != retried.Server)
	c.Step(now, lookupOnEngine(2))
	is.True(c.requests[2].server == nil)
	is.Equal(c.Stats().Violations[InvariantLimit], uint64(0))
}

func lookupOnEngine(id ID) Arrival {
	a := draft(id)
	a.Idempotent = true
	return a
}

// Another instance starts, so this instance's share of a limit becomes smaller. The change
// must be reported, since the log shows it.
func TestShareOfALimitFollowsTheFleet(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 2, "a")
	is.Equal(only[LimitChanged](t, c.Step(epoch, namedLimit("a-0", 0.5))).Share, 0.5)
	c.Step(epoch.Add(slowTick), Fleet{Others: []Instance{{"e2", "a"}}})
	changed := only[LimitChanged](t, c.Step(epoch.Add(2*slowTick), Tick{}))
	is.Equal(changed.Source, LimitFromFleet)
	is.Equal(changed.Share, 0.25)
}
