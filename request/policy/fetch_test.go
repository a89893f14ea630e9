package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/process/member"
)

// enableFetch lets the core's engines fetch KV cache, as long as the wire takes for it.
func enableFetch(c *core) *core {
	for _, s := range c.ordered {
		if !s.service {
			s.fetchPerToken = 10 * time.Microsecond
		}
	}
	return c
}

// withIndirectDigests has the core believe that digests travel in a tree: a prompt's home is
// taken to hold it.
func withIndirectDigests(c *core) *core {
	c.Step(epoch, PeerDigest{Digest: &lilacv1.Digest{Instance: member.Others, Incarnation: "1", Sequence: 1}, At: epoch})
	return c
}

// coreWithCachedPrompt returns a core whose engines can fetch, and the start of the first
// digest of subject 7, at its home.
func coreWithCachedPrompt(t *testing.T) (*core, Start) {
	c := withIndirectDigests(enableFetch(coreWithEngines("e1", 3, "a", "b", "c")))
	c.Step(epoch.Add(slowTick), Tick{})
	return c, only[Start](t, c.Step(epoch.Add(slowTick), digest(1, 7)))
}

// setOtherBacklog has others run so much prompt work on the server, at the level of digests.
func setOtherBacklog(c *core, server string, tokens uint32) {
	var load loadboard.Load
	load.InFlight = 10
	load.Backlog[lateEngineLevel-1] = tokens / loadboard.BacklogUnit
	c.Step(epoch, PeerLoads{Word: loadboard.Report{Loads: loadboard.Loads{loadboard.Key(server): load}}})
}

// In a burst of one kind of request the engine that holds a prompt has four
// seconds of others' prompts to read, which this instance never saw. Without their
// word all requests of the prompt went there and were late; reading it on another
// engine costs a quarter of a second. So it goes elsewhere and the prompt is
// fetched.
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

// A prompt has just come to its home, which has four seconds to read before. No
// engine can fetch it yet, and reading it a second time would make more than one
// other request late: 0.4 s of an engine for 13,300 tokens while all are busy. So the
// request waits where its prompt is, behind those that can be in time.
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

// A leaving engine is asked for nothing new, but what it holds can be fetched while
// it is there: its prompts are not read again by those who take its place.
func TestLeavingEngineServesFetches(t *testing.T) {
	is := is.New(t)
	c, home := coreWithCachedPrompt(t)
	finish(c, epoch.Add(slowTick), home)
	c.Step(epoch, PeerLoads{Word: loadboard.Report{Loads: loadboard.Loads{}}})
	leaves := epoch.Add(2 * time.Second)
	c.Step(leaves, ServerState{Server: home.Server, Leaving: true})
	away := only[Start](t, c.Step(leaves.Add(time.Second), digest(2, 7)))
	is.True(away.Server != home.Server)
	is.Equal(away.FetchFrom, home.Server)
	late := only[Start](t, c.Step(leaves.Add(leavingFetchWindow+time.Second), digest(3, 7)))
	is.True(late.FetchFrom != home.Server)
}

// Once the others' word ends, what they ran must not keep requests from a prompt's
// engine for ever.
func TestBoardLoadsExpireWithoutUpdates(t *testing.T) {
	is := is.New(t)
	c, home := coreWithCachedPrompt(t)
	setOtherBacklog(c, home.Server, 200000)
	is.True(c.servers[home.Server].backlogBefore(lateEngineLevel) > 200000)
	c.Step(epoch, PeerLoads{})
	again := only[Start](t, c.Step(epoch.Add(slowTick), digest(2, 7)))
	is.Equal(again.Server, home.Server)
}

// The engine that holds the prompt went down, or can't pass anything on: the
// prompt is read, and no engine waits for another that never answers.
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

// A short shared part is read sooner than a fetch begins.
func TestShortPrefixesAreNotFetched(t *testing.T) {
	is := is.New(t)
	c := withIndirectDigests(enableFetch(coreWithEngines("e1", 3, "a", "b", "c")))
	c.Step(epoch.Add(slowTick), Tick{})
	home := only[Start](t, c.Step(epoch.Add(slowTick), draft(1)))
	setOtherBacklog(c, home.Server, 200000)
	is.Equal(only[Start](t, c.Step(epoch.Add(slowTick), draft(2))).FetchFrom, "")
}

// What this instance runs is told by server and priority, and ends with the answer.
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
