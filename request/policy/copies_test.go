package policy

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// sendCopy sends a copy of the same request and returns its start, if any.
func sendCopy(c *core, id ID) []Start {
	a := arrival(id, "alerts")
	a.Digest = "same"
	starts := all[Start](c.Step(epoch, a))
	if len(starts) > 0 {
		c.Step(epoch, Sent{ID: id, Attempt: 1})
	}
	return starts
}

func all[T Action](actions []Action) []T {
	var found []T
	for _, action := range actions {
		if a, ok := action.(T); ok {
			found = append(found, a)
		}
	}
	return found
}

// suspectDigest returns a peer's digest that lists the request as a suspect.
func suspectDigest(peer string, sequence uint64, trial string, servers ...string) PeerDigest {
	suspect := &lilacv1.Suspect{Digest: "same", Team: "a", Servers: servers, Trial: trial}
	return PeerDigest{Digest: &lilacv1.Digest{Instance: peer, Sequence: sequence, Suspects: []*lilacv1.Suspect{suspect}}}
}

// A caller sends a crashing request three times to one instance before it is a
// suspect. On different servers, each copy would crash one.
func TestCopiesAtOneInstanceShareAServer(t *testing.T) {
	is := is.New(t)
	c := coreWithPool(4)
	first := sendCopy(c, 1)[0].Server
	is.Equal(sendCopy(c, 2)[0].Server, first)
	is.Equal(sendCopy(c, 3)[0].Server, first)
	for id := range ID(3) {
		c.Step(epoch, Failed{ID: id + 1, Attempt: 1, Sent: true, Crashed: true})
	}
	is.Equal(c.suspects.Get("same").Servers, []string{first})
	is.Equal(len(c.requests[1].pool.quarantine), 3)
	now := epoch
	for ; now.Before(epoch.Add(2 * time.Second)); now = now.Add(slowTick) {
		c.Step(now, Tick{})
	}
	is.Equal(c.running, 1) // one trial
	trial := c.suspects.Get("same").Trial
	is.True(trial != first)
	for _, r := range c.findRequests(func(r *request) bool { return r.server != nil }) {
		c.Step(now, Sent{ID: r.ID, Attempt: r.attempt})
		c.Step(now, Failed{ID: r.ID, Attempt: r.attempt, Sent: true, Crashed: true})
	}
	for end := now.Add(confirmationDelay + slowTick); !now.After(end); now = now.Add(slowTick) {
		is.Equal(len(all[Start](c.Step(now, Tick{}))), 0) // blocked until the decision
	}
	is.Equal(len(c.requests), 0) // convicted and refused
	is.Equal(len(c.stats.Violations), 0)
}

// If all copies of a popular request had to share one server, most would wait there
// while other servers are idle.
func TestCopiesRunAnywhereOnceOnePassed(t *testing.T) {
	is := is.New(t)
	c := coreWithPool(4)
	first := sendCopy(c, 1)[0].Server
	room := 1
	for ; len(sendCopy(c, ID(room+1))) > 0; room++ {
		is.Equal(c.requests[ID(room+1)].server.name, first)
	}
	p := c.requests[1].pool
	is.Equal(len(p.parked), 1)
	other := arrival(99, "alerts")
	other.Digest = "other"
	is.Equal(len(all[Start](c.Step(epoch, other))), 1) // other requests are not blocked
	c.Step(epoch, Tokens{ID: 1, Attempt: 1, Count: trialTokens})
	c.Step(epoch.Add(slowTick), Tick{})
	waited := c.requests[ID(room+1)]
	is.True(waited.server != nil)
	is.True(waited.server.name != first)
	for _, r := range c.findRequests(func(*request) bool { return true }) {
		c.Step(epoch.Add(slowTick), Canceled{ID: r.ID})
	}
	is.Equal(len(c.identical.first), 0)
}

// The first copy hangs and its caller sends the request again after seconds. The
// second copy must not be bound to the hanging server.
func TestCopyDoesNotJoinAHangingServer(t *testing.T) {
	is := is.New(t)
	c := coreWithPool(4)
	sendCopy(c, 1)
	a := arrival(2, "alerts")
	a.Digest = "same"
	r := &request{Arrival: a}
	is.True(c.identical.serverToJoin(epoch.Add(joinWindow), r) != nil)
	is.True(c.identical.serverToJoin(epoch.Add(joinWindow+1), r) == nil)
}

// Copies run at two instances when a third reports the crash. If one continued as the
// trial while the other copy's crash was not reported yet, two more engines could be
// lost.
func TestStoppedCopiesAreSuspectedForPendingCrashes(t *testing.T) {
	is := is.New(t)
	c := coreWithPool(4)
	server := sendCopy(c, 1)[0].Server
	stop := only[Stop](t, c.Step(epoch, suspectDigest("e9", 1, "", "r9")))
	is.Equal(stop.Server, server)
	is.Equal(len(c.requests[1].pool.quarantine), 1)
	ejected := &lilacv1.Digest{Instance: "e9", Sequence: 2, Ejected: []string{server}}
	actions := c.Step(epoch.Add(100*time.Millisecond), PeerDigest{Digest: ejected})
	is.Equal(len(all[Announce](actions)), 1)
	is.True(c.suspects.Get("same").Convicted())
}

// A server crashes long after a copy was stopped on it. The copy is not a suspect of
// that crash.
func TestStoppedCopyIsNotSuspectedForLaterCrashes(t *testing.T) {
	is := is.New(t)
	c := coreWithPool(4)
	server := sendCopy(c, 1)[0].Server
	c.Step(epoch, suspectDigest("e9", 1, "", "r9"))
	ejected := &lilacv1.Digest{Instance: "e9", Sequence: 2, Ejected: []string{server}}
	c.Step(epoch.Add(stoppedCopyWindow+time.Millisecond), PeerDigest{Digest: ejected})
	is.Equal(c.suspects.Get("same").Servers, []string{"r9"})
}

// Copies at two instances are lost with the same engine. Without claims both instances
// would try their copy after the same delay, and two more engines could be lost.
func TestFirstTrialClaimByNameWins(t *testing.T) {
	for _, other := range []string{"e0", "e2"} {
		t.Run(other, func(t *testing.T) {
			is := is.New(t)
			c := coreWithPool(4)
			server := sendCopy(c, 1)[0].Server
			c.Step(epoch, Failed{ID: 1, Attempt: 1, Sent: true, Crashed: true})
			is.Equal(c.suspects.Get("same").Trial, server) // announced as a claim
			c.Step(epoch, suspectDigest(other, 1, server, server))
			starts := 0
			for now := epoch; now.Before(epoch.Add(peerTrialTTL)); now = now.Add(slowTick) {
				starts += len(all[Start](c.Step(now, Tick{})))
			}
			is.Equal(starts == 1, other > "e1")
			is.Equal(c.requests[1].claimsTrial, false)
		})
	}
}

// A claim waits while a peer's copy is running, whatever the names of the instances.
func TestClaimYieldsToATrial(t *testing.T) {
	is := is.New(t)
	c := coreWithPool(4)
	server := sendCopy(c, 1)[0].Server
	c.Step(epoch, Failed{ID: 1, Attempt: 1, Sent: true, Crashed: true})
	c.Step(epoch, suspectDigest("e9", 1, "r8", server))
	for now := epoch; now.Before(epoch.Add(peerTrialTTL)); now = now.Add(slowTick) {
		is.Equal(len(all[Start](c.Step(now, Tick{}))), 0)
	}
}

// Two servers crash within a second, then a third. If suspects of the first two were
// tried before the third crash, it would convict some of them.
func TestNoTrialWhileServersKeepCrashing(t *testing.T) {
	is := is.New(t)
	c := coreWithPool(4)
	sendCopy(c, 1)
	c.Step(epoch, Failed{ID: 1, Attempt: 1, Sent: true, Crashed: true})
	at := epoch.Add(ownCrashDelay - slowTick)
	server := c.suspects.Get("same").Servers[0]
	for _, s := range c.ordered {
		if s.name != server {
			c.Step(at, PeerDigest{Digest: &lilacv1.Digest{Instance: "e9", Sequence: 1, Ejected: []string{s.name}}})
			break
		}
	}
	for now := at; now.Before(at.Add(multiCrashDelay)); now = now.Add(slowTick) {
		is.Equal(len(all[Start](c.Step(now, Tick{}))), 0)
	}
	is.Equal(len(all[Start](c.Step(at.Add(multiCrashDelay+slowTick), Tick{}))), 1)
}

// A peer's copy clears the request while a claim waits here. The claim must end too,
// or it would end a later trial of another copy.
func TestClaimEndsWithTheSuspicion(t *testing.T) {
	is := is.New(t)
	c := coreWithPool(4)
	sendCopy(c, 1)
	c.Step(epoch, Failed{ID: 1, Attempt: 1, Sent: true, Crashed: true})
	is.True(c.requests[1].claimsTrial)
	c.Step(epoch, suspectDigest("e9", 1, ""))
	c.Step(epoch.Add(slowTick), Tick{})
	is.Equal(c.requests[1].claimsTrial, false)
	is.True(c.requests[1].server != nil)
}

// Peers convict a request that waits here for a later trial. The conviction arrives
// through the replicated log and must end the waiting copy, or its trial would crash
// another server.
func TestConvictionByTheLogEndsWaitingCopies(t *testing.T) {
	is := is.New(t)
	c := coreWithPool(4)
	c.Step(epoch, suspectDigest("e9", 1, "", "r9"))
	is.Equal(len(sendCopy(c, 1)), 0)
	view := *c.view
	view.Convictions = map[string]*lilacv1.Conviction{"same": {Digest: "same"}}
	is.Equal(only[Refuse](t, c.Step(epoch, Configured{View: &view})).Kind, lilacv1.ErrorKind_ERROR_KIND_CONVICTED)
}

// Guards against a non-idempotent copy that is stopped while its first byte is on its way, and runs
// again.
func TestStoppedCopyThatWasSentDoesNotStartAgain(t *testing.T) {
	is := is.New(t)
	c := coreWithPool(4)
	a := arrival(1, "alerts")
	a.Digest, a.Idempotent = "same", false
	is.Equal(len(all[Start](c.Step(epoch, a))), 1)
	is.Equal(len(all[Stop](c.Step(epoch, suspectDigest("e2", 1, "", "r9")))), 1)
	refusal := only[Refuse](t, c.Step(epoch, Sent{ID: 1, Attempt: 1}))
	is.Equal(refusal.NotRun, lilacv1.NotRun_NOT_RUN_UNKNOWN)
	is.Equal(len(c.stats.Violations), 0)
}

// Guards against a stopped copy that runs on more servers than its class allows.
func TestStoppedCopyStaysWithinItsAttempts(t *testing.T) {
	for maxAttempts, starts := range map[uint32]int{1: 0, 2: 1} {
		is := is.New(t)
		c := coreWithPool(4)
		c.view.Classes["alerts"].MaxAttempts = maxAttempts
		sendCopy(c, 1)
		actions := slices.Clone(c.Step(epoch, suspectDigest("e2", 1, "", "r9")))
		for now := epoch; now.Before(epoch.Add(3 * time.Second)); now = now.Add(slowTick) {
			actions = append(actions, c.Step(now, Tick{})...)
		}
		is.Equal(len(all[Start](actions)), starts)
		refusals := all[Refuse](actions)
		is.Equal(len(refusals), 1-starts)
		for _, refusal := range refusals {
			is.Equal(refusal.RetryDenied, RetryDeniedByAttempts)
		}
	}
}
