package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// coreWithVersions returns a core with an engine of each software version.
func coreWithVersions(versions ...string) *core {
	c := enableFetch(coreWithEngines("e1", len(versions), "a"))
	setVersions(c, versions...)
	c.view.Classes["digest"].MaxAttempts = 4
	return c
}

// stream returns a request whose answer may go on at another server.
func stream(id ID) Arrival {
	a := digest(id, uint64(id))
	a.Idempotent = true
	return a
}

func setVersions(c *core, versions ...string) {
	next := 0
	for _, s := range c.ordered {
		if !s.service {
			s.version = versions[next%len(versions)]
			next++
		}
	}
	for _, p := range c.poolOrder {
		p.versioned, p.mixed = !p.service, !p.service && slices.ContainsFunc(versions, func(v string) bool { return v != versions[0] })
	}
}

// resumed returns a request whose caller has a part of the answer from a server of the version.
func resumed(id ID, version string) Arrival {
	a := stream(id)
	a.Resumed, a.Version = true, version
	return a
}

// Guards against a caller that waits until its time is over for a version that no server has.
func TestResumedAnswerWithoutItsVersionIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	c := coreWithVersions("v1", "v2")
	refusal := only[Refuse](t, c.Step(epoch, resumed(1, "v3")))
	is.Equal(refusal.NotRun, lilacv1.NotRun_NOT_RUN_TRUE)
	is.True(refusal.RetryAfter >= noVersionRetryAfter)
}

// Guards against resumed answers that wait for the only engine of their version and keep new
// answers from starting on others.
func TestFullVersionDoesNotHoldUpOtherAnswers(t *testing.T) {
	is := is.New(t)
	c := coreWithVersions("v1", "v2", "v2")
	old := c.ordered[0]
	for _, s := range c.ordered {
		if s.version == "v1" {
			old = s
		}
	}
	old.fullUntil = epoch.Add(time.Second)
	old.startBudget = 0
	for id := ID(1); id <= 20; id++ {
		is.Equal(len(all[Start](c.Step(epoch, resumed(id, "v1")))), 0)
	}
	start := only[Start](t, c.Step(epoch, stream(30)))
	is.Equal(c.servers[start.Server].version, "v2")
}

// Guards against a server that restarts with another software version before the list shows it.
func TestCrashedServerIsNotTrustedWithItsVersion(t *testing.T) {
	is := is.New(t)
	c := coreWithVersions("v1", "v2")
	start := only[Start](t, c.Step(epoch, stream(1)))
	c.Step(epoch, Tokens{ID: 1, Attempt: 1, Count: 2})
	broken := only[Broken](t, c.Step(epoch, Failed{ID: 1, Attempt: 1, Sent: true, Crashed: true}))
	is.Equal(broken.ID, ID(1))
	again := epoch.Add(versionDoubtPeriod - time.Second)
	refusal := only[Refuse](t, c.Step(again, resumed(2, c.servers[start.Server].version)))
	is.Equal(refusal.NotRun, lilacv1.NotRun_NOT_RUN_TRUE)
}

// Guards against a server that gets no more streams which may be resumed since another instance said
// that it had crashed, and since nothing else is sent to it.
func TestReportedCrashIsForgottenOnceTheListIsNewer(t *testing.T) {
	is := is.New(t)
	c := coreWithVersions("v1", "v2")
	for _, s := range c.ordered {
		c.applyCrashReport(epoch, s.name, "e2")
	}
	a := stream(1)
	a.Resumable = true
	is.Equal(len(all[Start](c.Step(epoch, a))), 0)
	is.Equal(only[Start](t, c.Step(epoch.Add(versionDoubtPeriod), Tick{})).ID, ID(1))
}

// Guards against the same where only another instance saw the crash.
func TestServerReportedAsCrashedIsNotTrustedWithItsVersion(t *testing.T) {
	is := is.New(t)
	c := coreWithVersions("v1", "v2")
	start := only[Start](t, c.Step(epoch, resumed(1, "v1")))
	c.applyCrashReport(epoch, start.Server, "e2")
	is.Equal(len(all[Refuse](c.Step(epoch, resumed(2, "v1")))), 1)
	c.Step(epoch, Tokens{ID: 1, Attempt: 1, Count: 1}) // it answers
	is.Equal(only[Start](t, c.Step(epoch, resumed(3, "v1"))).Server, start.Server)
}

// Guards against a broken answer that avoids the server it broke at, the last one of its version,
// until its caller has gone.
func TestAnswerGoesBackToTheLastServerOfItsVersion(t *testing.T) {
	is := is.New(t)
	c := coreWithVersions("v1", "v2", "v2")
	first := resumed(1, "v1")
	start := only[Start](t, c.Step(epoch, first))
	c.Step(epoch, Tokens{ID: 1, Attempt: 1, Count: 2})
	again := only[Start](t, c.Step(epoch, Failed{ID: 1, Attempt: 1, Sent: true, ServerError: true}))
	is.Equal(again.Server, start.Server)
}

// Guards against answers that hold tokens of two software versions, over breaks, crashes, servers
// that leave and callers that resume.
func TestRandomAnswersKeepTheirVersion(t *testing.T) {
	for seed := range uint64(20) {
		randomVersions(t, seed)
	}
}

func randomVersions(t *testing.T, seed uint64) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 1))
	names := []string{"v1", "v2", "v3"}
	c := coreWithVersions("v1", "v2", "v1", "v3", "v2", "v1")
	began := make(map[ID]string)
	running := make(map[ID]Start)
	now := epoch
	step := func(event Event) {
		for _, action := range c.Step(now, event) {
			switch a := action.(type) {
			case Start:
				if version := began[a.ID]; version != "" {
					is.Equal(c.servers[a.Server].version, version)
				}
				running[a.ID] = a
			case Stop:
				delete(running, a.ID)
			case Refuse:
				delete(running, a.ID)
			case Broken:
				delete(running, a.ID)
			}
		}
	}
	for id := ID(1); id <= 300; id++ {
		now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
		arrival := stream(id)
		if random.IntN(3) == 0 {
			arrival = resumed(id, names[random.IntN(len(names))])
			began[id] = arrival.Version
		}
		step(arrival)
		for id, start := range running {
			switch random.IntN(8) {
			case 0:
				step(Tokens{ID: id, Attempt: start.Attempt, Count: 1})
				if began[id] == "" {
					began[id] = c.servers[start.Server].version
				}
			case 1:
				delete(running, id)
				step(Failed{ID: id, Attempt: start.Attempt, Sent: true, Crashed: random.IntN(4) == 0, ServerError: random.IntN(2) == 0})
			case 2:
				delete(running, id)
				step(Finished{ID: id, Attempt: start.Attempt})
			}
		}
		s := c.ordered[random.IntN(len(c.ordered))]
		step(ServerState{Server: s.name, Leaving: random.IntN(6) == 0})
		step(Tick{})
	}
}

// Guards against an answer that begins at a version that other instances have not heard of, and whose
// caller may resume it there; other requests may use such servers.
func TestAnswerThatMayBeResumedBeginsAtAdmittedVersionsOnly(t *testing.T) {
	is := is.New(t)
	c := coreWithVersions("v1", "v2", "v2", "v2")
	setUnadmitted(c, "v2", true)
	for id := ID(1); id <= 40; id++ {
		a := stream(id)
		a.Resumable = true
		for _, start := range all[Start](c.Step(epoch, a)) {
			is.Equal(c.servers[start.Server].version, "v1")
		}
	}
	used := make(map[string]bool)
	for id := ID(101); id <= 120; id++ {
		for _, start := range all[Start](c.Step(epoch, stream(id))) {
			used[c.servers[start.Server].version] = true
		}
	}
	is.True(used["v2"])
	// A stream that began at the version before it left may go on there.
	a := resumed(200, "v2")
	a.Resumable = true
	is.Equal(c.servers[only[Start](t, c.Step(epoch, a)).Server].version, "v2")
}

// Guards against an answer that waits until its time is over for a version to be admitted, and against
// one that does not begin once it is.
func TestAnswerWaitsForAnAdmittedVersion(t *testing.T) {
	is := is.New(t)
	c := coreWithVersions("v2")
	setUnadmitted(c, "v2", true)
	a := stream(1)
	a.Resumable = true
	is.Equal(len(all[Start](c.Step(epoch, a))), 0)
	setUnadmitted(c, "v2", false)
	is.Equal(only[Start](t, c.Step(epoch.Add(time.Second), Tick{})).ID, ID(1))
	setUnadmitted(c, "v2", true)
	b := stream(2)
	b.Resumable = true
	is.Equal(len(all[Start](c.Step(epoch.Add(time.Second), b))), 0)
	refusals := all[Refuse](c.Step(epoch.Add(time.Second+maxClosedWait+giveUpInterval), Tick{}))
	is.Equal(len(refusals), 1)
	is.Equal(refusals[0].NotRun, lilacv1.NotRun_NOT_RUN_TRUE)
	is.True(refusals[0].RetryAfter > 0)
	is.Equal(refusals[0].Message, unadmittedMessage)
}

func setUnadmitted(c *core, version string, unadmitted bool) {
	for _, s := range c.ordered {
		if s.version == version {
			s.unadmitted = unadmitted
		}
	}
	for _, p := range c.poolOrder {
		p.unadmitted = unadmitted
	}
}

// Guards against streams that wait although servers of an admitted version are idle among many others.
func TestAdmittedServersAreFoundInALargePool(t *testing.T) {
	is := is.New(t)
	c := enableFetch(coreWithEngines("e1", 100, "a"))
	versions := make([]string, 100)
	for i := range versions {
		versions[i] = "v2"
		if i < 10 {
			versions[i] = "v1"
		}
	}
	setVersions(c, versions...)
	setUnadmitted(c, "v2", true)
	started := 0
	for id := ID(1); id <= 40; id++ {
		a := stream(id)
		a.Resumable = true
		started += len(all[Start](c.Step(epoch, a)))
	}
	is.Equal(started, 40)
}

// Guards against a stream that begins at a server which crashed a moment ago and may be back with
// another version than the one that is recorded.
func TestStreamDoesNotBeginAtAServerWhoseVersionIsInDoubt(t *testing.T) {
	is := is.New(t)
	c := coreWithVersions("v1", "v2")
	for _, s := range c.ordered {
		s.crashedAt = epoch.Add(time.Second - versionDoubtPeriod)
	}
	a := stream(1)
	a.Resumable = true
	is.Equal(len(all[Start](c.Step(epoch, a))), 0)
	is.Equal(len(all[Start](c.Step(epoch, stream(2)))), 1)
	is.Equal(only[Start](t, c.Step(epoch.Add(2*time.Second), Tick{})).ID, ID(1))
}
