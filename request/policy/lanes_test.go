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

// review returns a request with a prompt of medium length and a target of 0.8 s for the first
// token.
func review(id ID, subject uint64) Arrival {
	a := digest(id, subject)
	a.Class, a.PromptTokens = "review", 9000
	a.Prefix = []Block{{Hash: subject, End: 6300}, {Hash: 1<<42 + uint64(id), End: 9000}}
	return a
}

// withReviews adds the class of review requests.
func withReviews(c *core) *core {
	c.view.Classes["review"] = &lilacv1.Class{Name: "review", Tier: 1, Rank: 1, FirstTokenMs: 800, BetweenTokensMs: 100, MaxAttempts: 2}
	return c
}

// setOtherWork reports the work that all other instances start in each lane, in tokens a second.
func setOtherWork(c *core, now time.Time, long, quick, tight uint32) {
	c.Step(now, PeerLoads{Report: loadboard.Report{
		Loads: loadboard.Loads{}, Work: loadboard.Work{loadboard.Key("llm"): {Rates: [laneCount]uint32{long, quick, tight}}},
	}})
}

// laneSizes returns the number of engines in each lane.
func laneSizes(c *core) (count [laneCount]int) {
	for _, s := range c.pools["llm"].servers {
		count[s.lane]++
	}
	return count
}

// A burst of drafts is spread over 78 instances, each of which sees five a second. From its own
// requests alone an instance would take 20 s to enlarge the lane, but the burst lasts ten. From
// the work of all instances it takes one load update.
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

// The work of two lanes varies slightly between load updates. If each variation moved an engine,
// the prompts at home there would be prefilled again.
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

// An engine finishes a prompt that it has begun. Beside digests of 17,000 tokens, a review with a
// target of 0.8 s waits 0.4 s for the one in progress, so reviews have their own engines if there
// are enough.
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

// An engine that runs out of memory preempts its least urgent request. A late draft sent at a
// less urgent level than the digests beside it would be preempted before them, although its class
// is more urgent.
func TestLateUrgentRequestKeepsItsLevel(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 1, "a")
	c.Step(epoch, digest(1, 1))
	c.servers["a-0"].ownBacklog.add(0, 200000)
	start := only[Start](t, c.Step(epoch, draft(2)))
	is.True(c.requests[2].expectedLate)
	is.Equal(start.Level, model.Position(1, 0))
}

// Sixty requests with different new prompts arrive between two load updates. All instances see
// the same engine as the least loaded one; if they all chose it, it would have a million tokens
// to prefill. Each prompt has its own homes.
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

// Engines preempt the least urgent request first. They preempted queries of a less urgent team
// while bulk of another team kept running.
func TestBulkIsPreemptedBeforeShortWork(t *testing.T) {
	is := is.New(t)
	bulk := &lilacv1.Class{Tier: 0, Rank: 2}
	short := &lilacv1.Class{Tier: 1, Rank: 0}
	is.True(engineLevelOf(short) < engineLevelOf(bulk))
}

// An instance that had seen no bulk recently sent late scans at the least urgent level, behind
// the bulk of other instances.
func TestLateRequestsPrecedeBulkOfOtherInstances(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 1, "a")
	c.Step(epoch, draft(1))
	p := c.pools[draft(1).Target]
	is.Equal(p.lastLevel, model.Position(1, 0))
	cutoff := &lilacv1.PoolCutoff{Pool: p.name, AdmittedTier: model.Tiers, PlaceDemand: []uint32{0, 0, 0, 0, 0, 0, 0, 0, 0, 4}}
	c.Step(epoch, PeerDigest{Digest: &lilacv1.Digest{Instance: "e2", Cutoffs: []*lilacv1.PoolCutoff{cutoff}}})
	c.Step(epoch.Add(slowTick), Tick{})
	is.Equal(p.lastLevel, lateEngineLevel-1)
}

// The engine that prefills a prompt was moved to the tight lane. Requests with the prompt could
// go neither there nor, because of the duplicate prefill, anywhere else.
func TestPromptCachedInTightLaneIsRecomputed(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 2, "a")
	c.Step(epoch, draft(1))
	tight, other := c.servers["a-0"], c.servers["a-1"]
	tight.lane, other.lane = laneTight, laneLong
	c.pools["llm"].hasLane[laneTight] = true
	tight.cache.add(7, 13300, epoch.Add(time.Minute))
	tight.ownBacklog.add(0, 50000)
	is.Equal(only[Start](t, c.Step(epoch, digest(2, 7))).Server, other.name)
}

// Engines with 12 slots have the speed for twice the drafts that they have slots for. Sized by
// work alone, the lane was full, and one draft in four was late beside long prompts.
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
	setDemand := func(now time.Time, drafts, digests float64) {
		work.LaneClaims = [laneCount]float64{laneLong: digests, laneTight: drafts}
		c.Step(now, PeerLoads{Report: loadboard.Report{Loads: loadboard.Loads{}, Work: loadboard.Work{loadboard.Key("llm"): work}, Instances: 77}})
		c.Step(now, Tick{})
	}
	setDemand(epoch.Add(slowTick), 10, 50)
	is.Equal(laneSizes(c)[laneTight], 4) // a ninth of the work
	setDemand(epoch.Add(time.Second), 100, 50)
	is.Equal(laneSizes(c)[laneTight], 10) // 101 of 360 slots, at a utilization of four fifths
	setDemand(epoch.Add(2*time.Second), 200, 150)
	is.Equal(laneSizes(c)[laneTight], 14) // digests keep the slots that they need
	setDemand(epoch.Add(3*time.Second), 200, 1000)
	is.Equal(laneSizes(c)[laneTight], 10) // in a burst of digests, drafts keep what they occupy now
	setDemand(epoch.Add(4*time.Second), 1000, 1000)
	is.Equal(laneSizes(c)[laneTight], 10) // and at most a third of the engines
}

// Each of 194 instances saw one answer in 194 and estimated the engines' speed from two or three
// of them. A class was tight for one instance and not for the next, so that one sent tight
// requests to the engine where the other sent long prompts.
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
	is.Equal(other.pools["llm"].plan.Author, "") // it uses its own plan again
}

// The tight lane shrank, and engines that left it got long prompts while they still ran drafts,
// whose gaps became too long.
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
	leftTightLane := func(s *server) bool { return before[s.name] == laneTight && s.lane != laneTight }
	is.True(slices.ContainsFunc(c.ordered, leftTightLane))
	startDigests := func(at time.Time, id ID) (onFormer int) {
		for i := range ID(30) {
			if start, ok := c.Step(at, digest(id+i, uint64(id+i)))[0].(Start); ok && leftTightLane(c.servers[start.Server]) {
				onFormer++
			}
		}
		return onFormer
	}
	is.Equal(startDigests(now, 100), 0)
	is.True(startDigests(now.Add(c.pools["llm"].tightAnswerTime()), 200) > 0)
}
