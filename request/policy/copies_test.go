package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// startCopies sends the same request several times and returns its servers.
func startCopies(t *testing.T, c *core, copies int) []string {
	t.Helper()
	var servers []string
	for i := range copies {
		a := arrival(ID(i+1), "alerts")
		a.Digest = "same"
		start := only[Start](t, c.Step(epoch, a))
		c.Step(epoch, Sent{ID: a.ID, Attempt: 1})
		servers = append(servers, start.Server)
	}
	return servers
}

// A caller sends a crashing request three times at one instance. The first
// copy takes its engine down. The second goes on as the trial; the third used
// to go on as well and took a third engine.
func TestOneCopyGoesOnAfterACrash(t *testing.T) {
	is := is.New(t)
	c := poolOf(4)
	servers := startCopies(t, c, 3)
	is.True(servers[0] != servers[1] && servers[1] != servers[2] && servers[0] != servers[2])
	actions := c.Step(epoch, Failed{ID: 1, Attempt: 1, Sent: true, Crashed: true})
	is.Equal(only[Stop](t, actions).ID, ID(3))
	is.Equal(c.suspects.Get("same").Trial, servers[1])
	is.Equal(len(c.requests[1].pool.quarantine), 2)
	c.Step(epoch, Failed{ID: 2, Attempt: 1, Sent: true, Crashed: true})
	for at := epoch; at.Before(epoch.Add(verdictPause)); at = at.Add(slowTick) {
		for _, action := range c.Step(at, Tick{}) {
			_, started := action.(Start)
			is.True(!started) // barred until the verdict
		}
	}
	c.Step(epoch.Add(verdictPause+slowTick), Tick{})
	is.Equal(len(c.requests), 0) // convicted and refused
	is.Equal(len(c.stats.Violations), 0)
}

// Copies run at two instances when a third tells of the crash. Both took
// theirs for the one trial, and two more engines went down.
func TestTheFirstInstanceKeepsItsCopy(t *testing.T) {
	is := is.New(t)
	for _, other := range []string{"e0", "e2"} {
		c := poolOf(4)
		startCopies(t, c, 1)
		told := &lilacv1.Suspect{Digest: "same", Team: "a", Servers: []string{"r9"}}
		actions := c.Step(epoch, PeerDigest{Digest: &lilacv1.Digest{Instance: "e9", Sequence: 1, Suspects: []*lilacv1.Suspect{told}}})
		only[Announce](t, actions)
		is.True(c.requests[1].trial)
		trial := &lilacv1.Suspect{Digest: "same", Team: "a", Servers: []string{"r9"}, Trial: "r8"}
		actions = c.Step(epoch.Add(time.Millisecond), PeerDigest{Digest: &lilacv1.Digest{Instance: other, Sequence: 1, Suspects: []*lilacv1.Suspect{trial}}})
		if other < "e1" {
			is.Equal(only[Stop](t, actions).ID, ID(1))
		} else {
			is.Equal(c.requests[1].attempt, 1)
			is.True(c.requests[1].server != nil)
		}
	}
}
