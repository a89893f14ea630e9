package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/process/loadboard"
)

// fleetViews are the views of n instances of three data centres, each of which knows all.
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

// Each of 194 instances took an equal part, rounded up to a request. In any four seconds all
// instances together must stay under one and a half times the limit and five.
func TestAllPartsOfALimitStayWithinIt(t *testing.T) {
	for _, n := range []int{1, 2, 8, 75, 194} {
		for _, perSecond := range []float64{0, 0.1, 0.4, 1, 1.8, 2, 7, 40, 300} {
			is := is.New(t)
			share, burst := 0.0, 0.0
			for _, view := range fleetViews(n) {
				c := &core{options: Options{Instance: view.self.Name}, fleet: view}
				s := newServer("i-1")
				s.dataCenter = "b"
				s.limited.Limit = loadboard.Limit{Advertised: true, PerSecond: perSecond}
				c.shareLimit(epoch, s)
				if s.allowed.share > 0 {
					s.allowed.credit = 1e9
					s.allowed.refresh(epoch)
					burst += s.allowed.credit
				}
				share += s.allowed.share
			}
			is.True(share <= perSecond+1e-9)
			is.True(share >= perSecond-1e-9) // nothing of the limit is lost
			is.True(limitSpan.Seconds()*share+burst <= 1.5*limitSpan.Seconds()*perSecond+5)
		}
	}
}

// Two halves of a fleet can't hear each other. Each must not take over the other's part while
// that may still send.
func TestACutOffInstanceKeepsItsPart(t *testing.T) {
	is := is.New(t)
	views := fleetViews(8)
	s := newServer("i-1")
	s.dataCenter = "b"
	s.limited.Limit = loadboard.Limit{Advertised: true, PerSecond: 1}
	before := views[0].senders(s)
	is.Equal(len(before), 3)
	views[0].update(epoch.Add(time.Minute), nil)
	views[0].expire(epoch.Add(time.Minute + missingTTL))
	is.Equal(views[0].senders(s), before)
	views[0].expire(epoch.Add(time.Minute + missingTTL + time.Second))
	is.Equal(views[0].senders(s), []string{views[0].self.Name}) // nobody else is left
}

// A limited engine holds the prompt of a request that it may not get now. The request waited
// for it rather than have the prompt read elsewhere.
func TestARequestDoesNotWaitForALimitedHome(t *testing.T) {
	is := is.New(t)
	c, home := coreWithCachedPrompt(t)
	finish(c, epoch.Add(slowTick), home)
	c.Step(epoch.Add(time.Second), namedLimit(home.Server, 0))
	start := only[Start](t, c.Step(epoch.Add(2*time.Second), digest(2, 7)))
	is.True(start.Server != home.Server)
	is.Equal(c.Stats().Violations[InvariantLimit], uint64(0))
}

// Every start on the server counts: also those of requests that failed elsewhere first.
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

// Another instance starts, and this one's part of a limit becomes smaller. It must be told, and
// show in the log.
func TestAPartOfALimitFollowsTheFleet(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 2, "a")
	is.Equal(only[LimitChanged](t, c.Step(epoch, namedLimit("a-0", 0.5))).Share, 0.5)
	c.Step(epoch.Add(slowTick), Fleet{Others: []Instance{{"e2", "a"}}})
	changed := only[LimitChanged](t, c.Step(epoch.Add(2*slowTick), Tick{}))
	is.Equal(changed.Source, LimitFromFleet)
	is.Equal(changed.Share, 0.25)
}
