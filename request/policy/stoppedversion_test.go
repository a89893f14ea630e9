package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an answer that goes on at another version, since its first tokens were on their way
// when its attempt was stopped.
func TestStoppedAnswerWhoseTokensAreOnTheirWayKeepsItsVersion(t *testing.T) {
	for _, forwarded := range []bool{true, false} {
		is := is.New(t)
		c := coreWithVersions("v2", "v2", "v1", "v1")
		a := stream(1)
		a.Resumable = true
		first := only[Start](t, c.Step(epoch, a))
		began := c.servers[first.Server]
		began.decoding = 1 // another answer runs there, so that silence counts as a failure
		now, stopped := epoch, false
		for !stopped {
			now = now.Add(50 * time.Millisecond)
			actions := c.Step(now, Tick{})
			stopped = len(all[Stop](actions)) > 0
			is.Equal(len(all[Start](actions)), 0)
			is.True(now.Before(epoch.Add(time.Minute)))
		}
		if forwarded {
			is.Equal(len(all[Start](c.Step(now, Tokens{ID: 1, Attempt: 1, Count: 1}))), 0)
		}
		again := only[Start](t, c.Step(now, Stopped{ID: 1, Attempt: 1, MayHaveRun: true}))
		is.True(again.Server != first.Server)
		if forwarded {
			is.Equal(c.servers[again.Server].version, began.version)
		}
	}
}
