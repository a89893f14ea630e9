package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Guards against a data centre that is out of use while its servers answer, since the only instance
// there is frozen.
func TestServersThatAnswerAreInUseWhileTheirInstancesAreSilent(t *testing.T) {
	is := is.New(t)
	c := coreWithThreeDesks()
	c.Step(epoch, PeerDigest{Digest: &lilacv1.Digest{Instance: "e3", DataCenter: "b", Sequence: 1}, At: epoch})
	c.Step(epoch, PeerDigest{Digest: &lilacv1.Digest{Instance: "e4", DataCenter: "c", Sequence: 1}, At: epoch})
	now := epoch
	for id := ID(1); now.Before(epoch.Add(2 * peerSilenceTimeout)); id++ {
		start := only[Start](t, startOn(c, now, id, "desk-b"))
		c.Step(now, Sent{ID: id, Attempt: start.Attempt})
		now = now.Add(200 * ms)
		c.Step(now, Tokens{ID: id, Attempt: start.Attempt, Count: 1})
		c.Step(now, Finished{ID: id, Attempt: start.Attempt})
		c.Step(now, Tick{})
	}
	is.True(!c.servers["desk-b"].unreachable)
	is.True(c.servers["desk-c"].unreachable)
	// Once they are silent too, the data centre is cut off.
	now = now.Add(peerSilenceTimeout + slowTick)
	c.Step(now, Tick{})
	is.True(c.servers["desk-b"].unreachable)
}

// startOn starts a request on the named server.
func startOn(c *core, now time.Time, id ID, name string) []Action {
	for _, s := range c.servers {
		if s.name != name {
			s.busyUntil = now.Add(ms)
		}
	}
	return append([]Action(nil), c.Step(now, look(id, now))...)
}
