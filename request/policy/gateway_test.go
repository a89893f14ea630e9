package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const ms = time.Millisecond

// coreWithEngines returns a core with n large engines in each data centre, a class with
// a strict target between tokens, one with a loose target, and a plain service.
func coreWithEngines(instance string, n int, centres ...string) *core {
	snapshot := &lilacv1.Snapshot{
		Revision: 1,
		Classes: []*lilacv1.Class{
			{Name: "draft", Tier: 1, Rank: 0, FirstTokenMs: 500, BetweenTokensMs: 66, MaxAttempts: 1},
			{Name: "digest", Tier: 1, Rank: 2, FirstTokenMs: 2500, BetweenTokensMs: 266, MaxAttempts: 1},
			{Name: "lookup", Tier: 1, Rank: 2, FirstTokenMs: 200, MaxAttempts: 2},
		},
		Teams: []*lilacv1.Team{{Name: "a"}},
	}
	for _, centre := range centres {
		for i := range n {
			snapshot.Servers = append(snapshot.Servers, &lilacv1.Server{
				Name: fmt.Sprintf("%s-%d", centre, i), DataCenter: centre, Serves: []string{"llm"}, Slots: 64, CacheTokens: 600000,
				Kind: lilacv1.ServerKind_SERVER_KIND_ENGINE,
			})
		}
		snapshot.Servers = append(snapshot.Servers, &lilacv1.Server{
			Name: "desk-" + centre, DataCenter: centre, Serves: []string{"desk"}, Slots: 6, Kind: lilacv1.ServerKind_SERVER_KIND_SERVICE,
		})
	}
	c := New(Options{Instance: instance, DataCenter: centres[0], Seed: 1, Weights: settings.Policy{
		RetryShare: 0.2, RemoteCost: settings.Duration{Duration: 100 * ms},
	}}).(*core)
	c.Step(epoch, Configured{View: model.NewView(snapshot)})
	return c
}

// digest is a request with a long prompt about a subject, draft one with a short
// prompt.
func digest(id ID, subject uint64) Arrival {
	return Arrival{ID: id, Class: "digest", Team: "a", Target: "llm", Digest: fmt.Sprint(id), PromptTokens: 17000, Pinned: true,
		Prefix: []Block{{Hash: subject, End: 13300}, {Hash: 1<<40 + uint64(id), End: 17000}}, Deadline: epoch.Add(time.Minute)}
}

func draft(id ID) Arrival {
	return Arrival{ID: id, Class: "draft", Team: "a", Target: "llm", Digest: fmt.Sprint(id), PromptTokens: 1400, Pinned: true,
		Prefix: []Block{{Hash: 1 << 50, End: 350}, {Hash: 1<<41 + uint64(id), End: 1400}}, Deadline: epoch.Add(time.Minute)}
}

func lookup(id ID) Arrival {
	return Arrival{ID: id, Class: "lookup", Team: "a", Target: "desk", Digest: fmt.Sprint(id), PromptTokens: 1, Idempotent: true, Pinned: true, Deadline: epoch.Add(2 * time.Minute)}
}

// finish ends a started request whose first token took the expected time.
func finish(c *core, now time.Time, start Start) {
	c.Step(now, Sent{ID: start.ID, Attempt: start.Attempt})
	c.Step(now.Add(start.Decision.Expected), Tokens{ID: start.ID, Attempt: start.Attempt, Count: 3})
	c.Step(now.Add(start.Decision.Expected), Finished{ID: start.ID, Attempt: start.Attempt})
}

// Digests of a few subjects arrive at two instances in turn. If each instance used only
// its own cache state, the 13,300 shared tokens of a subject would be computed on two
// engines, a quarter of a second each time.
func TestInstancesAgreeOnTheEngineOfASharedPrompt(t *testing.T) {
	is := is.New(t)
	cores := []*core{coreWithEngines("e1", 3, "a", "b", "c"), coreWithEngines("e2", 3, "b", "a", "c")}
	for subject := range uint64(20) {
		used := make(map[string]bool)
		for round := range 6 {
			now := epoch.Add(time.Duration(subject)*time.Second + time.Duration(round)*100*ms)
			c := cores[round%2]
			c.Step(now, Tick{})
			start := only[Start](t, c.Step(now, digest(ID(100*subject+uint64(round)+1), subject+1)))
			used[start.Server] = true
			is.Equal(c.servers[start.Server].lane, laneLong)
			finish(c, now, start)
		}
		is.Equal(len(used), 1)
	}
}

// Two data centres of a region are a millisecond apart. They must share the home
// engines of a subject and not compute its prompt in each data centre.
func TestDataCentresOfARegionShareHomes(t *testing.T) {
	is := is.New(t)
	used := make(map[string]bool)
	for i, centre := range []string{"a", "b"} {
		c := coreWithEngines(fmt.Sprint("e", i), 3, "a", "b", "c")
		c.options.DataCenter = centre
		c.options.Weights.Regions = map[string]string{"a": "south", "b": "south", "c": "north"}
		for _, s := range c.ordered {
			s.remote = c.region(s.dataCenter) != c.region(centre)
			is.Equal(s.remote, s.dataCenter == "c")
		}
		c.Step(epoch.Add(slowTick), Tick{})
		a := review(1, 7)
		a.Class = "digest"
		a.Prefix[0].End, a.PromptTokens = 3000, 5700 // too short to be worth another region
		a.Prefix[1].End = 5700
		used[only[Start](t, c.Step(epoch.Add(slowTick), a)).Server] = true
	}
	is.Equal(len(used), 1)
}

// Drafts need an event every 200 ms. During the prefill of a digest's prompt a step takes
// 60 ms, and an event three steps, so drafts on the same engine are late. Therefore one
// engine of each data centre gets no digests while others have free slots.
func TestTightAnswersHaveEnginesWithoutLongPrompts(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 3, "a", "b", "c")
	c.Step(epoch.Add(slowTick), Tick{})
	for i := range 60 {
		now := epoch.Add(time.Second + time.Duration(i)*50*ms)
		c.Step(now, Tick{})
		a := draft(ID(i + 1))
		if i%2 == 0 {
			a = digest(ID(i+1), uint64(i%10+1))
		}
		start := only[Start](t, c.Step(now, a))
		is.Equal(c.servers[start.Server].lane == laneTight, i%2 == 1)
		finish(c, now, start)
	}
}

// Only one engine of the data centre is available: drafts and digests share it.
func TestSingleEngineHasNoLane(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 1, "a")
	c.Step(epoch.Add(slowTick), Tick{})
	is.Equal(c.servers["a-0"].lane, laneLong)
	only[Start](t, c.Step(epoch.Add(slowTick), draft(1)))
	only[Start](t, c.Step(epoch.Add(slowTick), digest(2, 1)))
}

// Another instance sends a long prompt to an engine with a cold cache. This instance
// must count it as backlog before its own requests, and as cached from then on.
func TestPeerPrefillsCountAsBacklogAndCache(t *testing.T) {
	is := is.New(t)
	c, peer := coreWithEngines("e1", 3, "a"), coreWithEngines("e2", 3, "a")
	peer.Step(epoch, Tick{})
	start := only[Start](t, peer.Step(epoch, digest(1, 7)))
	d := peer.Digest(epoch)
	d.Instance, d.Incarnation = "e2", "1"
	is.Equal(len(d.GetReadings()), 1)
	c.Step(epoch, PeerDigest{Digest: d, At: epoch})
	s := c.servers[start.Server]
	is.Equal(s.backlogBefore(engineLevels-1), 17000.0)
	mine := &request{Arrival: digest(2, 7)}
	is.Equal(s.uncachedTokens(mine), 3700.0)
	c.Step(epoch, PeerGone{Instance: "e2"})
	is.Equal(s.backlogBefore(engineLevels-1), 0.0)
	is.Equal(s.uncachedTokens(mine), 3700.0) // still cached at the engine
	is.Equal(len(peer.Digest(epoch.Add(2*prefixReportPeriod)).GetReadings()), 0)
}

// An engine processes urgent prompts first. A draft does not wait for the digests there,
// but a digest waits for the drafts.
func TestOnlyMoreUrgentPromptsAreBeforeARequest(t *testing.T) {
	is := is.New(t)
	var b backlog
	b.add(3, 1000)
	b.add(5, 20000)
	is.Equal(b.before(3), 1000.0)
	is.Equal(b.before(4), 1000.0)
	is.Equal(b.total(), 21000.0)
	var peer backlog
	peer.addEncoded(b.encode(), 1)
	is.Equal(peer, b)
	peer.addEncoded(b.encode(), -1)
	is.Equal(peer.encode(), nil)
	b.add(5, -30000)
	is.Equal(b.total(), 1000.0)
}

// Prompts wait behind work that this instance does not know of: one in three takes its
// real time, the others ten times as long. The engine's estimate must not become ten
// times slower.
func TestUnknownWorkDoesNotMakeAnEngineSlow(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 1, "a")
	s := c.servers["a-0"]
	const rate, work = 0.00002, 10000
	read := func(rate float64) {
		s.observePrefill(s.gapAt(s.load())+time.Duration(rate*work*float64(time.Second)), work)
	}
	for i := range 300 {
		sample := rate
		if i%3 != 0 {
			sample = 10 * rate
		}
		read(sample)
	}
	is.True(s.prefill < 2*rate)
	for range 100 {
		read(5 * rate) // the engine has become slow
	}
	is.True(s.prefill > 3*rate)
}

// A route allows one server per request and the server refuses it for load. The caller
// must learn that the request did not run, and no second server is tried.
func TestRequestIsSentToNoMoreServersThanAllowed(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 3, "a")
	start := only[Start](t, c.Step(epoch, draft(1)))
	refuse := only[Refuse](t, c.Step(epoch.Add(ms), Failed{ID: 1, Attempt: start.Attempt, Refused: true}))
	is.Equal(refuse.NotRun, lilacv1.NotRun_NOT_RUN_TRUE)
	// An attempt without a byte sent does not count.
	start = only[Start](t, c.Step(epoch.Add(time.Second), draft(2)))
	again := only[Start](t, c.Step(epoch.Add(time.Second+ms), Failed{ID: 2, Attempt: start.Attempt, Crashed: true}))
	is.True(again.Server != start.Server)
}

// A service answers some lookups with an error of its own. It is not down: it must keep
// getting requests, and the lookup is tried once more on another server.
func TestServerErrorIsRetriedWithoutEjection(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 1, "a", "b")
	start := only[Start](t, c.Step(epoch, lookup(1)))
	c.Step(epoch, Sent{ID: 1, Attempt: 1})
	again := only[Start](t, c.Step(epoch.Add(ms), Failed{ID: 1, Attempt: 1, Sent: true, ServerError: true}))
	is.True(again.Server != start.Server)
	is.True(!c.servers[start.Server].unavailable(epoch.Add(2 * ms)))
	c.Step(epoch.Add(2*ms), Sent{ID: 1, Attempt: 2})
	refuse := only[Refuse](t, c.Step(epoch.Add(3*ms), Failed{ID: 1, Attempt: 2, Sent: true, ServerError: true}))
	is.Equal(refuse.NotRun, lilacv1.NotRun_NOT_RUN_UNKNOWN)
}

// A service's server fails half of its requests while its health check succeeds. The
// other servers must get most of the requests, and it must be tried again later.
func TestServerWithHighFailureRateGetsFewerRequests(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 1, "a", "b")
	failing := c.servers["desk-a"]
	for range 10 {
		failing.failureRate += failureSampleWeight * (1 - failing.failureRate)
	}
	start := only[Start](t, c.Step(epoch, lookup(1)))
	is.Equal(start.Server, "desk-b")
	finish(c, epoch, start)
	later := epoch.Add(time.Minute)
	for now := epoch; now.Before(later); now = now.Add(slowTick) {
		c.Step(now, Tick{})
	}
	start = only[Start](t, c.Step(later, lookup(2)))
	is.Equal(start.Server, "desk-a")
}

// A digest that no engine can process in time starts anyway, but with a lower priority
// than all requests that can meet their target.
func TestLateRequestsGetTheLastEnginePriority(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 1, "a")
	s := c.servers["a-0"]
	s.ownBacklog.add(4, 200000) // 3.7 s of prefill
	var late Start
	if starts := c.Step(epoch, digest(1, 1)); len(starts) > 0 {
		late = only[Start](t, starts)
	}
	for now := epoch; late.Server == "" && now.Before(epoch.Add(5*time.Second)); now = now.Add(TickInterval) {
		for _, action := range c.Step(now, Tick{}) {
			if start, ok := action.(Start); ok {
				late = start
			}
		}
	}
	is.Equal(late.Level, lateEngineLevel)
	is.Equal(only[Start](t, c.Step(epoch.Add(5*time.Second), draft(2))).Level, model.Position(1, 0))
}

// One engine of a large pool holds the prompt. A random sample of the pool would miss it
// four times in five, and the prompts of 40 subjects would be computed 160 times.
func TestHomesAreCandidatesInALargePool(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 10, "a", "b", "c", "d", "e", "f")
	c.Step(epoch.Add(slowTick), Tick{})
	read := 0
	for i := range 200 {
		now := epoch.Add(time.Duration(i+1) * 200 * ms)
		c.Step(now, Tick{})
		start := only[Start](t, c.Step(now, digest(ID(i+1), uint64(i%40+1))))
		if start.Decision.Uncached > 13300 {
			read++
		}
		finish(c, now, start)
	}
	is.True(read <= 44) // once each, and one in ten again where lanes move
}

// The machine of a service loses power while lookups are running, and no connection
// breaks. The lookup must be answered elsewhere well before its caller gives up, a
// booking must not run twice, and the failed server must get no more requests.
func TestUnresponsiveServerLosesIdempotentRequests(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 1, "a", "b")
	first := only[Start](t, c.Step(epoch, lookup(1)))
	booking := lookup(2)
	booking.Idempotent = false
	second := only[Start](t, c.Step(epoch, booking))
	is.Equal(first.Server, second.Server)
	c.Step(epoch, Sent{ID: 1, Attempt: 1})
	c.Step(epoch, Sent{ID: 2, Attempt: 1})
	var again []Start
	now := epoch
	for ; now.Before(epoch.Add(1500 * ms)); now = now.Add(TickInterval) {
		for _, action := range c.Step(now, Tick{}) {
			if start, ok := action.(Start); ok {
				again = append(again, start)
			}
		}
	}
	is.Equal(len(again), 1)
	is.Equal(again[0].ID, ID(1))
	is.True(again[0].Server != first.Server)
	is.True(c.servers[first.Server].unavailable(now))
}

// In a burst an engine processes other instances' prompts for seconds, and an instance
// with one waiting request gets no response. It must not eject the engine, or the prompt
// would be computed again elsewhere.
func TestBusyEngineIsNotUnresponsive(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 3, "a")
	start := only[Start](t, c.Step(epoch, digest(1, 1)))
	c.Step(epoch, Sent{ID: 1, Attempt: 1})
	for now := epoch; now.Before(epoch.Add(5 * time.Second)); now = now.Add(TickInterval) {
		c.Step(now, Tick{})
	}
	is.True(!c.servers[start.Server].unavailable(epoch.Add(5 * time.Second)))
}
