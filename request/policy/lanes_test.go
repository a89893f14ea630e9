package policy

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// review is a prompt of middle length whose answer is wanted within 0.8 s.
func review(id ID, subject uint64) Arrival {
	a := digest(id, subject)
	a.Class, a.PromptTokens = "review", 9000
	a.Prefix = []Block{{Hash: subject, End: 6300}, {Hash: 1<<42 + uint64(id), End: 9000}}
	return a
}

// withReviews adds the class of reviews.
func withReviews(c *core) *core {
	c.view.Classes["review"] = &lilacv1.Class{Name: "review", Tier: 1, Rank: 1, FirstTokenMs: 800, BetweenTokensMs: 100, MaxAttempts: 2}
	return c
}

// setOtherWork tells that all other instances start so much work in each lane, in tokens a
// second.
func setOtherWork(c *core, now time.Time, long, quick, tight uint32) {
	c.Step(now, PeerLoads{Word: loadboard.Report{
		Loads: loadboard.Loads{}, Work: loadboard.Work{loadboard.Key("llm"): {Rates: [laneCount]uint32{long, quick, tight}}},
	}})
}

// laneSizes counts the engines of each lane.
func laneSizes(c *core) (count [laneCount]int) {
	for _, s := range c.pools["llm"].servers {
		count[s.lane]++
	}
	return count
}

// A burst of drafts comes to 78 instances. Each sees five of them a second; by its
// own requests alone it would take 20 s to give them more engines, and the burst
// lasts ten. By the work of all it takes the time of one word.
func TestLaneSizesFollowWorkOfAllInstances(t *testing.T) {
	is := is.New(t)
	c := withIndirectDigests(withReviews(coreWithEngines("e1", 15, "a", "b")))
	setOtherWork(c, epoch, 600000, 200000, 200000)
	c.Step(epoch.Add(slowTick), Tick{})
	is.Equal(laneSizes(c), [laneCount]int{laneLong: 18, laneQuick: 6, laneTight: 6})
	setOtherWork(c, epoch.Add(time.Second), 600000, 200000, 700000)
	c.Step(epoch.Add(time.Second), Tick{})
	is.Equal(laneSizes(c), [laneCount]int{laneLong: 12, laneQuick: 4, laneTight: 14})
}

// The work of two lanes differs a little from one word to the next. If each
// difference moved an engine, the prompts whose home it is would be read again.
func TestSmallWorkChangesDoNotResizeLanes(t *testing.T) {
	is := is.New(t)
	c := withIndirectDigests(withReviews(coreWithEngines("e1", 15, "a")))
	setOtherWork(c, epoch, 600000, 200000, 200000)
	c.Step(epoch.Add(slowTick), Tick{})
	before := laneSizes(c)
	for i := range 10 {
		now := epoch.Add(time.Duration(i+1) * time.Second)
		setOtherWork(c, now, 600000, 200000, 190000+uint32(i%2)*60000)
		c.Step(now, Tick{})
		is.Equal(laneSizes(c), before)
	}
}

// An engine reads a prompt that it has begun to its end. Beside digests of 17,000
// tokens a review, which is wanted within 0.8 s, waits 0.4 s for the one in progress;
// so reviews have engines of their own where there are enough.
func TestQuickAnswersAvoidLongPrompts(t *testing.T) {
	is := is.New(t)
	c := withIndirectDigests(withReviews(coreWithEngines("e1", 15, "a")))
	setOtherWork(c, epoch, 600000, 200000, 200000)
	c.Step(epoch.Add(slowTick), Tick{})
	is.Equal(c.servers[only[Start](t, c.Step(epoch.Add(slowTick), review(1, 5))).Server].lane, laneQuick)
	is.Equal(c.servers[only[Start](t, c.Step(epoch.Add(slowTick), digest(2, 6))).Server].lane, laneLong)
	few := withReviews(coreWithEngines("e1", 3, "a"))
	few.Step(epoch.Add(slowTick), Tick{})
	is.Equal(few.servers[only[Start](t, few.Step(epoch.Add(slowTick), review(1, 5))).Server].lane, laneLong)
}

// Memory runs out at an engine, which preempts the least urgent of its requests. A
// late draft that had been sent as less urgent than the digests beside it would go
// before them, though its class is more urgent than theirs.
func TestLateUrgentRequestKeepsItsLevel(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 1, "a")
	c.Step(epoch, digest(1, 1))
	c.servers["a-0"].ownBacklog.add(0, 200000)
	start := only[Start](t, c.Step(epoch, draft(2)))
	is.True(c.requests[2].expectedLate)
	is.Equal(start.Level, model.Place(1, 0))
}

// Sixty requests of as many new subjects come between two words of the others. All
// instances see the same engine as the least loaded one; if they went by that, it
// would have a million tokens to read. Each subject has homes of its own.
func TestNewPromptsSpreadOverEngines(t *testing.T) {
	is := is.New(t)
	used := make(map[string]int)
	for i := range 60 {
		c := withIndirectDigests(coreWithEngines("e1", 10, "a", "b", "c", "d"))
		setOtherWork(c, epoch, 1000, 0, 0)
		for _, s := range c.ordered {
			s.boardBacklog[5] = 30000
		}
		c.servers["a-3"].boardBacklog = backlog{}
		c.Step(epoch.Add(slowTick), Tick{})
		used[only[Start](t, c.Step(epoch.Add(slowTick), digest(ID(i+1), uint64(i+1)))).Server]++
	}
	is.True(len(used) >= 20)
	is.True(used["a-3"] <= 15) // four homes of 36 engines: 7 expected
}

// Engines preempt the least urgent of their requests first. Queries of a less urgent team
// were preempted while another team's bulk ran on.
func TestBulkIsPreemptedBeforeShortWork(t *testing.T) {
	is := is.New(t)
	bulk := &lilacv1.Class{Tier: 0, Rank: 2}
	short := &lilacv1.Class{Tier: 1, Rank: 0}
	is.True(engineLevelOf(short) < engineLevelOf(bulk))
}

// An instance that had seen no bulk lately sent late scans as the last of all, behind
// the bulk of others.
func TestLateRequestsPrecedeBulkOfOtherInstances(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 1, "a")
	c.Step(epoch, draft(1))
	p := c.pools[draft(1).Target]
	is.Equal(p.lastLevel, model.Place(1, 0))
	told := &lilacv1.PoolCutoff{Pool: p.name, AdmittedTier: model.Tiers, PlaceDemand: []uint32{0, 0, 0, 0, 0, 0, 0, 0, 0, 4}}
	c.Step(epoch, PeerDigest{Digest: &lilacv1.Digest{Instance: "e2", Cutoffs: []*lilacv1.PoolCutoff{told}}})
	c.Step(epoch.Add(slowTick), Tick{})
	is.Equal(p.lastLevel, lateEngineLevel-1)
}

// The engine that reads a prompt became one of the lane for short pauses. Requests of the
// prompt could go neither there nor, since it must not be read twice, anywhere else.
func TestPromptCachedInTightLaneIsRecomputed(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 2, "a")
	c.Step(epoch, draft(1))
	lane, other := c.servers["a-0"], c.servers["a-1"]
	lane.lane, other.lane = laneTight, laneLong
	c.pools["llm"].hasLane[laneTight] = true
	lane.cache.add(7, 13300, epoch.Add(time.Minute))
	lane.ownBacklog.add(0, 50000)
	is.Equal(only[Start](t, c.Step(epoch, digest(2, 7))).Server, other.name)
}

// Engines of 12 slots have time for twice the drafts that they have slots for. Sized by
// work alone the lane was full, and one draft in four was late beside long prompts.
func TestTightLaneIsSizedBySlotDemand(t *testing.T) {
	is := is.New(t)
	c := withIndirectDigests(withReviews(coreWithEngines("e1", 15, "a", "b")))
	for _, s := range c.ordered {
		s.slots = 12
	}
	c.view.Classes["draft"].BetweenTokensMs = 50
	c.Step(epoch, draft(1))
	c.Step(epoch, digest(2, 1))
	work := loadboard.PoolWork{Rates: [laneCount]uint32{800000, 0, 100000}}
	tell := func(now time.Time, drafts, digests float64) {
		work.LaneClaims = [laneCount]float64{laneLong: digests, laneTight: drafts}
		c.Step(now, PeerLoads{Word: loadboard.Report{Loads: loadboard.Loads{}, Work: loadboard.Work{loadboard.Key("llm"): work}, Instances: 77}})
		c.Step(now, Tick{})
	}
	tell(epoch.Add(slowTick), 10, 50)
	is.Equal(laneSizes(c)[laneTight], 4) // a ninth of the work
	tell(epoch.Add(time.Second), 100, 50)
	is.Equal(laneSizes(c)[laneTight], 10) // 101 of 360 slots, four fifths full
	tell(epoch.Add(2*time.Second), 200, 150)
	is.Equal(laneSizes(c)[laneTight], 14) // digests keep the slots that they need
	tell(epoch.Add(3*time.Second), 200, 1000)
	is.Equal(laneSizes(c)[laneTight], 10) // a burst of digests leaves drafts what they take now
	tell(epoch.Add(4*time.Second), 1000, 1000)
	is.Equal(laneSizes(c)[laneTight], 10) // and two thirds to the others
}

// Of 194 instances each saw one answer in 194, and took the engines' rate from two or
// three of them: for one a class was tight, for the next it was none, and one gave
// short pauses the engine on which the other read long prompts.
func TestInstancesAgreeOnLanes(t *testing.T) {
	is := is.New(t)
	names := []string{"e1", "e2"}
	slices.SortFunc(names, member.CompareRank)
	leader, other := withReviews(coreWithEngines(names[0], 15, "a")), withReviews(coreWithEngines(names[1], 15, "a"))
	leader.pools["llm"].engine.own.prefill = 2 * initialPrefill
	leader.pools["llm"].engine.blend()
	now := epoch
	for i, c := range []*core{leader, other} {
		c.Step(now, draft(1))
		c.Step(now, review(2, uint64(i)))
	}
	for range 10 {
		now = now.Add(slowTick)
		for _, c := range []*core{leader, other} {
			c.Step(now, Tick{})
			for _, to := range []*core{leader, other} {
				message := c.Digest(now)
				to.Step(now, PeerDigest{Digest: message, At: now})
			}
		}
	}
	for name, class := range leader.view.Classes {
		is.Equal(leader.pools["llm"].isTight(class), other.pools["llm"].isTight(other.view.Classes[name]))
	}
	is.Equal(laneSizes(leader), laneSizes(other))
	is.True(laneSizes(leader)[laneTight] > 0)
	for i, s := range leader.ordered {
		is.Equal(s.lane, other.ordered[i].lane)
	}
	other.Step(now, PeerGone{Instance: names[0]})
	is.Equal(other.pools["llm"].plan.Author, "") // it plans itself again
}

// The tight lane grew smaller, and engines that left it read long prompts beside the drafts
// that they still ran: these paused for too long.
func TestFormerTightLaneEnginesDelayLongPrompts(t *testing.T) {
	is := is.New(t)
	c := withIndirectDigests(withReviews(coreWithEngines("e1", 6, "a")))
	setOtherWork(c, epoch, 100000, 0, 100000)
	c.Step(epoch, draft(1))
	now := epoch.Add(slowTick)
	c.Step(now, Tick{})
	before := make(map[string]lane)
	for _, s := range c.ordered {
		before[s.name] = s.lane
	}
	setOtherWork(c, now, 500000, 0, 100000)
	now = now.Add(slowTick)
	c.Step(now, Tick{})
	left := func(s *server) bool { return before[s.name] == laneTight && s.lane != laneTight }
	is.True(slices.ContainsFunc(c.ordered, left))
	read := func(at time.Time, id ID) (onLeft int) {
		for i := range ID(30) {
			if start, ok := c.Step(at, digest(id+i, uint64(id+i)))[0].(Start); ok && left(c.servers[start.Server]) {
				onLeft++
			}
		}
		return onLeft
	}
	is.Equal(read(now, 100), 0)
	is.True(read(now.Add(c.pools["llm"].tightAnswerTime()), 200) > 0)
}
