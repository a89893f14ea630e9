package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/process/member"
)

// enableFetch lets the core's engines fetch KV cache at the speed of a network link.
func enableFetch(c *core) *core {
	for _, s := range c.ordered {
		if !s.service {
			s.fetchPerToken = 10 * time.Microsecond
		}
	}
	return c
}

// withIndirectDigests simulates digests that travel in a tree, so that the home of a prompt is
// assumed to hold it.
func withIndirectDigests(c *core) *core {
	c.Step(epoch, PeerDigest{Digest: &lilacv1.Digest{Instance: member.Others, Incarnation: "1", Sequence: 1}, At: epoch})
	return c
}

// coreWithCachedPrompt returns a core whose engines can fetch, and the start of the first digest
// of subject 7 at its home.
func coreWithCachedPrompt(t *testing.T) (*core, Start) {
	c := withIndirectDigests(enableFetch(coreWithEngines("e1", 3, "a", "b", "c")))
	c.Step(epoch.Add(slowTick), Tick{})
	return c, only[Start](t, c.Step(epoch.Add(slowTick), digest(1, 7)))
}

// setOtherBacklog reports that other instances have so many prompt tokens waiting on the server,
// at the level of digests.
func setOtherBacklog(c *core, server string, tokens uint32) {
	var load loadboard.Load
	load.InFlight = 10
	load.Backlog[lateEngineLevel-1] = tokens / loadboard.BacklogUnit
	c.Step(epoch, PeerLoads{Report: loadboard.Report{Loads: loadboard.Loads{loadboard.Key(server): load}}})
}

// In a burst of one kind of request, the engine that holds a prompt has four seconds of prefill
// for other instances. Without their reports all requests of the prompt went there and were late.
// A prefill on another engine costs a quarter of a second, so the request goes to another engine,
// which fetches the prompt.
func TestRequestLeavesBusyHomeAndFetchesPrompt(t *testing.T) {
	is := is.New(t)
	c, home := coreWithCachedPrompt(t)
	is.Equal(home.Decision.Home, 1)
	is.Equal(home.FetchFrom, "")
	finish(c, epoch.Add(slowTick), home)
	setOtherBacklog(c, home.Server, 200000)
	away := only[Start](t, c.Step(epoch.Add(2*time.Second), digest(2, 7)))
	is.True(away.Server != home.Server)
	is.Equal(away.FetchFrom, home.Server)
	is.Equal(away.Decision.Fetched, 13300.0)
	is.Equal(away.Decision.Uncached, 3700.0)
}

// A prompt was just sent to its home, which has four seconds of prefill before it. No engine can
// fetch it yet, and a second prefill would make more than one other request late: 13,300 tokens
// take 0.4 s of an engine while all are busy. The request waits at the home, behind those that
// can be in time.
func TestRequestWaitsForPromptInsteadOfDuplicatePrefill(t *testing.T) {
	is := is.New(t)
	c, home := coreWithCachedPrompt(t)
	setOtherBacklog(c, home.Server, 200000)
	same := only[Start](t, c.Step(epoch.Add(slowTick), digest(2, 7)))
	is.Equal(same.Server, home.Server)
	is.Equal(same.FetchFrom, "")
	is.Equal(same.Decision.Uncached, 3700.0)
	is.Equal(same.Level, lateEngineLevel)
}

// A leaving engine gets no new requests but serves fetches while it exists, so that its prompts
// are not prefilled again by the engines that take over.
func TestLeavingEngineServesFetches(t *testing.T) {
	is := is.New(t)
	c, home := coreWithCachedPrompt(t)
	finish(c, epoch.Add(slowTick), home)
	c.Step(epoch, PeerLoads{Report: loadboard.Report{Loads: loadboard.Loads{}}})
	leaves := epoch.Add(2 * time.Second)
	c.Step(leaves, ServerState{Server: home.Server, Leaving: true})
	away := only[Start](t, c.Step(leaves.Add(time.Second), digest(2, 7)))
	is.True(away.Server != home.Server)
	is.Equal(away.FetchFrom, home.Server)
	late := only[Start](t, c.Step(leaves.Add(leavingFetchWindow+time.Second), digest(3, 7)))
	is.True(late.FetchFrom != home.Server)
}

// After the load updates from other instances stop, the last ones must not keep requests away
// from the engine that holds their prompt.
func TestBoardLoadsExpireWithoutUpdates(t *testing.T) {
	is := is.New(t)
	c, home := coreWithCachedPrompt(t)
	setOtherBacklog(c, home.Server, 200000)
	is.True(c.servers[home.Server].backlogBefore(lateEngineLevel) > 200000)
	c.Step(epoch, PeerLoads{})
	again := only[Start](t, c.Step(epoch.Add(slowTick), digest(2, 7)))
	is.Equal(again.Server, home.Server)
}

// The engine that holds the prompt is down or engines cannot fetch: the prompt is prefilled, and
// no engine waits for one that never answers.
func TestNoFetchFromEjectedEngine(t *testing.T) {
	is := is.New(t)
	c, home := coreWithCachedPrompt(t)
	c.servers[home.Server].ejectedUntil = epoch.Add(time.Minute)
	away := only[Start](t, c.Step(epoch.Add(slowTick), digest(2, 7)))
	is.True(away.FetchFrom != home.Server)
	plain := withIndirectDigests(coreWithEngines("e1", 3, "a", "b", "c"))
	plain.Step(epoch.Add(slowTick), Tick{})
	setOtherBacklog(plain, home.Server, 200000)
	is.Equal(only[Start](t, plain.Step(epoch.Add(slowTick), digest(3, 7))).FetchFrom, "")
}

// Guards against an answer computed from the KV cache of another software version.
func TestNoFetchFromAnotherSoftwareVersion(t *testing.T) {
	is := is.New(t)
	c, home := coreWithCachedPrompt(t)
	finish(c, epoch.Add(slowTick), home)
	c.Step(epoch, PeerLoads{Report: loadboard.Report{Loads: loadboard.Loads{}}})
	c.servers[home.Server].version = "v1"
	leaves := epoch.Add(2 * time.Second)
	c.Step(leaves, ServerState{Server: home.Server, Leaving: true})
	away := only[Start](t, c.Step(leaves.Add(time.Second), digest(2, 7)))
	is.True(away.Server != home.Server)
	is.Equal(away.FetchFrom, "")
}

// The prefill of a short shared prefix takes less time than the start of a fetch.
func TestShortPrefixesAreNotFetched(t *testing.T) {
	is := is.New(t)
	c := withIndirectDigests(enableFetch(coreWithEngines("e1", 3, "a", "b", "c")))
	c.Step(epoch.Add(slowTick), Tick{})
	home := only[Start](t, c.Step(epoch.Add(slowTick), draft(1)))
	setOtherBacklog(c, home.Server, 200000)
	is.Equal(only[Start](t, c.Step(epoch.Add(slowTick), draft(2))).FetchFrom, "")
}

// The load board gets the running requests and the backlog of this instance by server and
// priority, until the answer ends.
func TestOwnLoadsAreReported(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 3, "a")
	start := only[Start](t, c.Step(epoch, digest(1, 7)))
	load := c.Loads(epoch).Loads[loadboard.Key(start.Server)]
	is.Equal(load.InFlight, uint32(1))
	is.Equal(load.Backlog[lateEngineLevel-1], uint32(266)) // 17,000 tokens
	finish(c, epoch, start)
	is.Equal(len(c.Loads(epoch).Loads), 0)
}
