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

// deskRoom is how many requests each server of coreWithThreeDesks runs, deskTarget their target.
const (
	deskRoom   = 64
	deskTarget = 2 * time.Second
)

var deskCentres = []string{"a", "b", "c"}

// coreWithThreeDesks returns a core with one server of a plain service in each data centre. Its class
// is like those of gateway routes.
func coreWithThreeDesks() *core {
	snapshot := &lilacv1.Snapshot{
		Revision: 1,
		Classes:  []*lilacv1.Class{{Name: "look", Tier: 1, Rank: 1, FirstTokenMs: uint32(deskTarget.Milliseconds()), MaxAttempts: 2, Late: withRoom, SharePermille: 100}},
		Teams:    []*lilacv1.Team{{Name: "a"}},
	}
	for _, centre := range deskCentres {
		snapshot.Servers = append(snapshot.Servers, &lilacv1.Server{
			Name: "desk-" + centre, DataCenter: centre, Serves: []string{"desk"}, Slots: deskRoom, Kind: lilacv1.ServerKind_SERVER_KIND_SERVICE,
		})
	}
	c := New(Options{Instance: "e1", DataCenter: "a", Seed: 1, Weights: settings.Policy{
		RetryShare: 0.2, RemoteCost: settings.Duration{Duration: 100 * ms},
	}}).(*core)
	c.Step(epoch, Configured{View: model.NewView(snapshot)})
	return c
}

func look(id ID, now time.Time) Arrival {
	return Arrival{ID: id, Class: "look", Team: "a", Target: "desk", Digest: fmt.Sprint(id), PromptTokens: 1, Idempotent: true, Pinned: true, Deadline: now.Add(4 * time.Second)}
}

// Guards against a refusal whose line does not tell which servers were counted full, by whose report
// and how old, or whose message calls servers busy that are out of use for another reason.
func TestRefusalForLackOfRoomTellsHowServersAreUsed(t *testing.T) {
	now := epoch.Add(50 * ms)
	for _, one := range []struct {
		message string
		counts  map[Use]int
		set     func(a, b, c *server)
	}{
		{overloadMessage, map[Use]int{UsePaused: 1, UseUnreachable: 1, UseFull: 1}, func(a, b, c *server) {
			a.ejectedUntil, a.ejectedFor, b.unreachable, c.otherLoad = now.Add(time.Second), CrashObserved, true, 96
		}},
		{unusedMessage, map[Use]int{UsePaused: 1, UseUnreachable: 1, UseClosed: 1}, func(a, b, c *server) {
			a.ejectedUntil, b.unreachable, c.leaving = now.Add(time.Second), true, true
		}},
		{slowMessage, map[Use]int{UseSlow: 3}, func(a, b, c *server) { a.serviceTime, b.serviceTime, c.serviceTime = 3, 3, 3 }},
		{waitingMessage, map[Use]int{UseAvailable: 2, UseSlow: 1}, func(a, _, _ *server) { a.serviceTime = 3 }},
	} {
		is := is.New(t)
		c := coreWithThreeDesks()
		for _, s := range c.servers {
			s.busyUntil = now
		}
		is.Equal(len(all[Start](c.Step(epoch, look(1, epoch)))), 0)
		one.set(c.servers["desk-a"], c.servers["desk-b"], c.servers["desk-c"])
		c.actions = nil
		c.dequeue(c.requests[1])
		c.endOverloaded(now, c.requests[1], CheckQueue, time.Second)
		refuse := only[Refuse](t, c.actions)
		is.Equal(refuse.Message, one.message)
		is.Equal(refuse.Shortage.Check, CheckQueue)
		is.Equal(refuse.Shortage.Counts, one.counts)
		is.Equal(len(refuse.Shortage.Servers), 3)
	}
}

// Guards against ages in the line that do not grow while no report comes.
func TestShortageTellsTheAgeOfReports(t *testing.T) {
	is := is.New(t)
	c := coreWithThreeDesks()
	c.Step(epoch, LoadReport{Server: "desk-a", Running: 95, Age: 100 * ms})
	c.Step(epoch, PeerDigest{Digest: &lilacv1.Digest{Instance: "e2", Sequence: 1, Loads: []*lilacv1.ServerLoad{{Server: "desk-a", InFlight: 7}}}, At: epoch})
	for _, s := range c.servers {
		s.busyUntil = epoch.Add(time.Minute)
	}
	c.Step(epoch, look(1, epoch))
	shortage := c.shortageOf(epoch.Add(time.Second), c.requests[1], CheckStart)
	for _, s := range shortage.Servers {
		if s.Server == "desk-a" {
			is.Equal(s.ReportAge, 1100*ms)
			is.Equal(s.Reported, 95.0)
			is.Equal(s.Reporter, "e2")
			is.Equal(s.ToldAge, time.Second)
			is.Equal(s.Told, 7.0)
		}
	}
}
