package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// contendedKinds is a load of short urgent requests beside long prompts whose shared parts are cold at
// first. A tenth of the long ones has twice the prompt. It takes two thirds of the engines' prefill
// time once the shared parts are cached; scale multiplies it.
func contendedKinds(scale float64) []requestKind {
	pairing := &lilacv1.Class{Name: "pairing", Tier: 1, Rank: 0, FirstTokenMs: 400, BetweenTokensMs: 50, MaxAttempts: 1, Late: withRoom, SharePermille: 60}
	catalogue := &lilacv1.Class{Name: "catalogue", Tier: 1, Rank: 2, FirstTokenMs: 2000, BetweenTokensMs: 200, MaxAttempts: 1, Late: withRoom, SharePermille: 60}
	return []requestKind{
		{class: pairing, perSecond: 30 * scale, sharedTokens: 350, ownTokens: 1110, sharedPrompts: 80, answerTokens: 170, deadline: 10 * time.Second},
		{class: catalogue, perSecond: 22 * scale, sharedTokens: 13300, ownTokens: 3400, sharedPrompts: uint64(65 * scale), answerTokens: 120, deadline: 10 * time.Second},
		{class: catalogue, perSecond: 2.4 * scale, sharedTokens: 26600, ownTokens: 6800, sharedPrompts: uint64(6.5 * scale), answerTokens: 120, deadline: 10 * time.Second},
	}
}

var contendedSpeed = engineSpeed{step: 4 * ms, perRequest: 20 * time.Microsecond, prefill: 16 * time.Microsecond, fixed: 20 * ms}

// contend makes the replay's pools contended.
func (r *replay) contend() *replay {
	for _, c := range r.cores {
		c.pools["llm"].pressure = true
	}
	return r
}

// cutOff counts the requests of all kinds that started and that their callers' limit ended.
func (r *replay) cutOff() (count int) {
	for _, o := range r.outcomes {
		limit := o.arrivedAt.Add(r.kinds[o.kind].deadline)
		if !o.startedAt.IsZero() && !o.finished && !r.now.Before(limit) && (!o.refused || !o.endedAt.Before(limit)) {
			count++
		}
	}
	return count
}

func coldBurst(at time.Duration) float64 {
	if at < burstLength {
		return 2.4
	}
	return 1
}

// fleetSize is a size of replay: instances, engines of a data centre, and the load.
type fleetSize struct {
	instances, perDataCenter int
	scale                    float64
}

func (f fleetSize) replay(seed uint64) *replay {
	r := newReplay(seed, f.instances, f.perDataCenter, 64, contendedSpeed, contendedKinds(f.scale))
	r.callersRetry = true
	if f.instances > 8 {
		r.withBoards()
	}
	return r
}

const (
	burstLength  = 6 * time.Second
	replayLength = burstLength + 10*time.Second
)

// checkInvariants checks that no instance broke an invariant, such as the order of tiers.
func (r *replay) checkInvariants(is *is.I) {
	is.Helper()
	for _, c := range r.cores {
		is.Equal(len(c.Stats().Violations), 0)
	}
}

// In a cold burst of 2.4 times the usual load, requests that could not end held engines for up to
// their whole limit. They are refused, and no fewer answers begin on time than before.
func TestRequestsThatCannotEndInTimeAreRefused(t *testing.T) {
	t.Parallel()
	for _, size := range []fleetSize{{8, 4, 2}, {74, 6, 3}} {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			before, after := size.replay(1), size.replay(1).contend()
			before.run(replayLength, coldBurst)
			refused := 0
			after.onRefuse = func(a Refuse) {
				if a.Queue.Reason != "" {
					refused++
					is.Equal(a.NotRun, lilacv1.NotRun_NOT_RUN_TRUE)
					is.True(a.RetryAfter > 0)
					is.True(a.Queue.ExpectedEnd > 0 && a.Queue.Limit > 0)
				}
			}
			after.run(replayLength, coldBurst)
			is.True(refused > 0)
			var was, now [3]tally
			for kind := range was {
				was[kind], now[kind] = before.tally(kind, 0, burstLength), after.tally(kind, 0, burstLength)
			}
			is.True(after.cutOff()*2 <= before.cutOff())
			is.True(now[0].inTime*20 >= was[0].inTime*19)
			is.True(now[1].inTime >= was[1].inTime)
			// The largest tenth starts at least half as often as its class.
			is.True(2*now[2].started*now[1].arrived >= now[1].started*now[2].arrived)
			after.checkInvariants(is)
			is.Equal(len(before.cores[0].Stats().FinishByPool), 0)
		})
	}
}

// Digests are lost and an instance is killed during the burst: the others decide by what they know
// themselves, and serve no fewer requests on time than without admission by the end. The numbers of one
// seed differ by up to a sixth either way, so the sums of several are compared.
func TestAdmissionByEndSurvivesLostDigestsAndInstances(t *testing.T) {
	t.Parallel()
	const firstSeed, seeds = 2, 8
	is := is.New(t)
	faults := func(r *replay) *replay {
		r.run(replayLength, func(at time.Duration) float64 {
			switch at {
			case 2 * time.Second:
				r.muted = true
			case 3 * time.Second:
				r.killFirst()
			case 5 * time.Second:
				r.muted = false
			}
			return coldBurst(at)
		})
		return r
	}
	size := fleetSize{8, 4, 2}
	var was, now [2]int
	for seed := range uint64(seeds) {
		before, after := faults(size.replay(firstSeed+seed)), faults(size.replay(firstSeed+seed).contend())
		for kind := range was {
			was[kind] += before.tally(kind, 3*time.Second, burstLength).inTime
			now[kind] += after.tally(kind, 3*time.Second, burstLength).inTime
		}
		is.True(after.cutOff() <= before.cutOff())
		after.checkInvariants(is)
	}
	is.True(now[0]*20 >= was[0]*19)
	is.True(now[1] >= was[1])
}

// killFirst kills the first instance with all its requests.
func (r *replay) killFirst() {
	dead := r.cores[0]
	for id, c := range r.sentTo {
		if c == dead {
			for _, e := range r.engines {
				e.stop(dead, id)
			}
		}
	}
	r.cores = r.cores[1:]
}

// A class gets its guaranteed share although its requests can only be late.
func TestClassBelowItsShareIsNotRefusedForBacklog(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 1, "a")
	c.pools["llm"].pressure = true
	c.Step(epoch, digest(1, 1))
	s := c.servers["a-0"]
	s.boardBacklog.add(0, 4*time.Second.Seconds()/s.prefill)
	refused := only[Refuse](t, c.Step(epoch, digest(2, 2)))
	is.Equal(refused.Queue.Reason, RefusedBacklog)
	is.Equal(refused.Kind, lilacv1.ErrorKind_ERROR_KIND_OVERLOADED)
	c.pools["llm"].finishing.servedOf("draft").Record(1400, 1e6, true)
	c.pools["llm"].recordUse(c.view.Classes["draft"], epoch)
	start := only[Start](t, c.Step(epoch, digest(3, 3)))
	is.Equal(start.ID, ID(3))
}

// A caller that was refused and told when to return is not refused for the backlog again.
func TestReturnedCallersAreNotRefusedAgain(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 1, "a")
	c.pools["llm"].pressure = true
	c.Step(epoch, digest(1, 1))
	s := c.servers["a-0"]
	s.boardBacklog.add(0, 4*time.Second.Seconds()/s.prefill)
	refused := only[Refuse](t, c.Step(epoch, digest(2, 2)))
	again := digest(3, 2)
	again.Digest = "2"
	for _, action := range c.Step(epoch.Add(refused.RetryAfter), again) {
		_, isRefusal := action.(Refuse)
		is.True(!isRefusal)
	}
	is.Equal(c.Stats().FinishByPool["llm"].Returned, uint64(1))
}
