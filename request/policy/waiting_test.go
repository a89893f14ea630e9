package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/request/tiers"
)

// reportFull reports that other instances fill the given engines.
func reportFull(c *core, now time.Time, full ...*server) {
	loads := loadboard.Loads{}
	for _, s := range full {
		loads[s.key] = loadboard.Load{InFlight: uint32(s.slots)}
	}
	c.Step(now, PeerLoads{Report: loadboard.Report{Loads: loads, Instances: 74}})
}

// coreWithFullHomes returns a core with 40 engines of which the request's homes are full.
func coreWithFullHomes(a Arrival) *core {
	c := withIndirectDigests(coreWithEngines("e1", 20, "a", "b"))
	c.Step(epoch, Tick{})
	reportFull(c, epoch)
	r := &request{Arrival: a, class: c.view.Classes[a.Class], pool: c.pools[a.Target]}
	h := c.homesOf(epoch, r)
	reportFull(c, epoch, h.ranked[:]...)
	return c
}

// The four homes of a scan are full. It must not wait past its target while other engines are
// idle, since its prompt takes 20 ms anywhere.
func TestAShortPromptLeavesItsFullHomes(t *testing.T) {
	is := is.New(t)
	c := coreWithFullHomes(draft(1))
	start := only[Start](t, c.Step(epoch.Add(ms), draft(1)))
	is.Equal(start.Decision.Load, 0.0)
	is.Equal(start.Decision.Waited, time.Duration(0))
}

// A digest waits for the engine that holds its prompt. Digests behind it whose engines are
// idle must start.
func TestRequestWaitingForItsHomeDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	c := withIndirectDigests(coreWithEngines("e1", 20, "a", "b"))
	c.Step(epoch, Tick{})
	reportFull(c, epoch)
	start := only[Start](t, c.Step(epoch, digest(1, 1)))
	c.Step(epoch, Sent{ID: 1, Attempt: 1})
	c.Step(epoch.Add(start.Decision.Expected), Tokens{ID: 1, Attempt: 1, Count: 3})
	now := epoch.Add(start.Decision.Expected)
	for _, s := range c.pools["llm"].servers {
		s.fetchPerToken = 0 // the prompt cannot be fetched
	}
	reportFull(c, now, c.servers[start.Server])
	c.Step(now, digest(2, 1))
	is.True(c.requests[2].server == nil) // it waits; its prompt is not computed twice
	is.True(only[Start](t, c.Step(now.Add(700*ms), digest(3, 2))).Server != start.Server)
}

// Requests of two ranks wait for the same slot. The more urgent rank of the tier starts first,
// although the other one arrived first.
func TestTheMoreUrgentRankOfATierStartsFirst(t *testing.T) {
	is := is.New(t)
	c := withIndirectDigests(coreWithEngines("e1", 1, "a"))
	c.Step(epoch, Tick{})
	reportFull(c, epoch, c.servers["a-0"])
	c.Step(epoch, digest(1, 1))
	c.Step(epoch.Add(ms), draft(2))
	is.Equal(c.running, 0)
	reportFull(c, epoch.Add(2*ms))
	starts := allStarts(c.Step(epoch.Add(3*ms), Tick{}))
	is.True(len(starts) > 0)
	is.Equal(starts[0].ID, ID(2))
}

// allStarts returns the starts among the actions, in order.
func allStarts(actions []Action) []Start {
	var all []Start
	for _, action := range actions {
		if start, ok := action.(Start); ok {
			all = append(all, start)
		}
	}
	return all
}

// coreWithSmallEngines returns a core with engines of 12 slots, drafts and reviews of a usual
// team, and digests of an urgent one.
func coreWithSmallEngines(n int) *core {
	c := withIndirectDigests(withReviews(coreWithEngines("e1", n, "a")))
	c.view.Classes["urgent-digest"] = &lilacv1.Class{Name: "urgent-digest", Tier: 0, Rank: 2, FirstTokenMs: 2500, BetweenTokensMs: 266, MaxAttempts: 1}
	for _, s := range c.ordered {
		s.slots = 12
	}
	for _, name := range []string{"draft", "review", "urgent-digest"} {
		c.pools["llm"].recordUse(c.view.Classes[name], epoch)
	}
	c.Step(epoch, Tick{})
	return c
}

func urgentDigest(id ID) Arrival {
	a := digest(id, uint64(id))
	a.Class = "urgent-digest"
	return a
}

// reportLoad reports that other instances run load requests on each engine.
func reportLoad(c *core, now time.Time, load uint32) {
	loads := loadboard.Loads{}
	for _, s := range c.ordered {
		loads[s.key] = loadboard.Load{InFlight: load}
	}
	c.Step(now, PeerLoads{Report: loadboard.Report{Loads: loads, Instances: 74}})
}

// Notes of teams of the first tier are ten times as long as scans of other teams. They must not
// start while such scans wait for the same slots.
func TestBulkOfAnUrgentTeamStartsAfterShortWorkOfOthers(t *testing.T) {
	is := is.New(t)
	c := coreWithSmallEngines(1)
	reportLoad(c, epoch, 12)
	c.Step(epoch, urgentDigest(1))
	c.Step(epoch.Add(ms), review(2, 2))
	is.Equal(c.running, 0)
	reportLoad(c, epoch.Add(2*ms), 0)
	started := allStarts(c.Step(epoch.Add(3*ms), Tick{}))
	is.True(len(started) > 0)
	is.Equal(started[0].ID, ID(2))
}

// A slot that a scan must leave free must not be taken by a note of a more urgent team.
func TestBulkOfAnUrgentTeamLeavesAsManySlotsFree(t *testing.T) {
	for load := range uint32(12) {
		is := is.New(t)
		short, bulk := coreWithSmallEngines(1), coreWithSmallEngines(1)
		reportLoad(short, epoch, load)
		reportLoad(bulk, epoch, load)
		shortStarts := len(allStarts(short.Step(epoch, review(1, 1)))) > 0
		bulkStarts := len(allStarts(bulk.Step(epoch, urgentDigest(1)))) > 0
		is.True(shortStarts || !bulkStarts)
	}
}

// A request becomes late while there are free slots, and the pool fills up afterwards. It must
// be refused with a retry time and not wait until its deadline.
func TestALateRequestIsRefusedOnceThePoolIsFull(t *testing.T) {
	is := is.New(t)
	c := withIndirectDigests(coreWithEngines("e1", 1, "a"))
	c.view.Classes["draft"].Late, c.view.Classes["draft"].FirstTokenMs = withRoom, 300
	c.Step(epoch, Tick{})
	reportFull(c, epoch, c.servers["a-0"])
	c.Step(epoch, draft(1))
	late := epoch.Add(300 * ms)
	c.Step(late, Tick{})
	is.True(c.requests[1].item.Late) // the pool is not full yet
	refusal := only[Refuse](t, c.Step(epoch.Add(fullAfter+slowTick), Tick{}))
	is.Equal(refusal.Kind, lilacv1.ErrorKind_ERROR_KIND_LATE)
	is.True(refusal.RetryAfter > 0)
}

// Digests wait for a slot. Reviews, which are more urgent and half as long, must not be refused
// on arrival for a full pool while other digests start.
func TestWaitingBulkDoesNotRejectUrgentRequests(t *testing.T) {
	is := is.New(t)
	c := coreWithSmallEngines(1)
	c.view.Classes["review"].Late, c.view.Classes["digest"].Late = withRoom, withRoom
	reportLoad(c, epoch, 12)
	c.Step(epoch, digest(1, 1))
	now := epoch.Add(fullAfter + slowTick)
	c.Step(now, Tick{})
	for id := ID(2); id < 5; id++ {
		is.Equal(len(c.Step(now, review(id, uint64(id)))), 0) // it waits
	}
	rejected := only[Refuse](t, c.Step(now, digest(5, 5)))
	is.Equal(rejected.Kind, lilacv1.ErrorKind_ERROR_KIND_OVERLOADED)
}

// Starts of bulk requests while more urgent ones wait must be visible in the counters.
func TestPriorityInversionsAreCounted(t *testing.T) {
	is := is.New(t)
	c := coreWithFullHomes(digest(1, 1))
	c.Step(epoch.Add(ms), draft(2))
	is.Equal(c.Stats().PriorityInversions, uint64(0))
	c = coreWithFullHomes(review(1, 1))
	withReviews(c)
	c.Step(epoch.Add(ms), review(1, 1))
	is.Equal(c.running, 0) // it waits for a home, to reuse the cached prompt
	c.Step(epoch.Add(2*ms), digest(2, 5))
	is.Equal(c.running, 1)
	is.Equal(c.Stats().PriorityInversions, uint64(1))
}

// Reviews, which hold their slots for seconds, have used up their share of the slots. They may
// use slots that are kept for drafts that do not arrive; only the least urgent class may not.
func TestOnlyTheLeastUrgentBulkLeavesUnusedSlots(t *testing.T) {
	is := is.New(t)
	c := coreWithSmallEngines(4)
	for id, name := range []string{"draft", "review", "digest"} {
		c.pools["llm"].recordUse(c.view.Classes[name], epoch)
		c.pools["llm"].usageByClass[name].traffic.tokens, c.pools["llm"].usageByClass[name].traffic.tokenGap = 300, 0.05
		a := digest(ID(id+1), uint64(id+1))
		a.Class = name
		c.Step(epoch, a)
	}
	p := c.pools["llm"]
	p.updateClassUse(epoch)
	p.slotSplit = tiers.Demand{}
	p.slotSplit[positionOf(c.view.Classes["draft"])] = 10
	for id, want := range []bool{true, true, false} {
		is.Equal(p.withinSplit(c.requests[ID(id+1)]), want)
	}
}
