package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// startTwo starts two requests on different servers and returns their names.
func startTwo(t *testing.T, c *core) (first, second string) {
	is := is.New(t)
	for id := ID(1); id <= 2; id++ {
		start := only[Start](t, c.Step(epoch, arrival(id, "alerts")))
		first, second = second, start.Server
	}
	is.True(first != second)
	return first, second
}

// Guards against an instance that has lost its path to all servers and reports each as
// crashed.
func TestCrashIsReportedOnlyOnceAnotherServerAnswers(t *testing.T) {
	is := is.New(t)
	c := newCore()
	first, _ := startTwo(t, c)
	now := epoch.Add(100 * time.Millisecond)
	is.Equal(len(all[Announce](c.Step(now, Failed{ID: 1, Attempt: 1, Crashed: true}))), 0)
	is.Equal(len(c.Digest(now).GetEjected()), 0)
	now = now.Add(10 * time.Millisecond)
	only[Announce](t, c.Step(now, Tokens{ID: 2, Attempt: 1, Count: 1}))
	is.Equal(c.Digest(now).GetEjected(), []string{first})
	is.Equal(len(c.Digest(now.Add(crashReportWindow)).GetEjected()), 0)
}

func crashDigest(sequence uint64, server string) PeerDigest {
	return PeerDigest{Digest: &lilacv1.Digest{Instance: "e9", Sequence: sequence, Ejected: []string{server}}}
}

// Guards against an instance that keeps others from a server which answers them, since its own
// path to that server is lost.
func TestOwnAnswerOverrulesReportsOfACrash(t *testing.T) {
	is := is.New(t)
	c := newCore()
	first, _ := startTwo(t, c)
	now := epoch.Add(100 * time.Millisecond)
	is.Equal(only[AvailabilityChanged](t, c.Step(now, crashDigest(1, first))).State, Probed)
	is.True(c.servers[first].unavailable(now)) // the running request decides
	is.Equal(only[AvailabilityChanged](t, c.Step(now.Add(ms), Tokens{ID: 1, Attempt: 1, Count: 1})).State, Available)
	is.True(!c.servers[first].unavailable(now.Add(ms)))
	is.Equal(len(all[AvailabilityChanged](c.Step(now.Add(2*ms), crashDigest(2, first)))), 0)
	is.True(!c.servers[first].unavailable(now.Add(2 * ms)))
	is.Equal(len(all[AvailabilityChanged](c.Step(now.Add(ms+refutedReportTTL), crashDigest(3, first)))), 1)
}
