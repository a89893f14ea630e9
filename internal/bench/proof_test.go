package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

// seeds are fixed; each one that ever failed stays here.
var seeds = []uint64{1, 2, 3, 4}

const overloaded = lilacv1.ErrorKind_ERROR_KIND_OVERLOADED

// proofFleet is the Agence's fleet with classes that run late and callers that wait.
func testFleet(burst string, firstTokenTimeout time.Duration) *fleet {
	f := fleets[0]
	f.burst = burst
	f.classes = append([]class(nil), f.classes...)
	for i := range f.classes {
		f.classes[i].late = runLate
		f.classes[i].firstTokenTimeout = firstTokenTimeout
	}
	return &f
}

// sound fails the test on any invariant that a core saw broken, on a refusal
// that lied and on a call that ran twice.
func checkInvariants(t *testing.T, seed uint64, w *world) *Result {
	t.Helper()
	out := w.result(Product)
	for name, count := range out.Violations {
		t.Errorf("seed %d: invariant %s broken %d times", seed, name, count)
	}
	if out.FalseNotRun > 0 || out.RanTwice > 0 {
		t.Errorf("seed %d: %d refusals said not run of calls that ran, %d calls ran twice", seed, out.FalseNotRun, out.RanTwice)
	}
	return out
}

// A team's registrations of a lower tier go through at one instance while
// urgent ones are turned away at another: the burst hits one instance only,
// digests are lost and late, and each instance decides by what it last heard.
func TestNoTierIsShedWhileALowerOneIsAdmittedAnywhere(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	shedAbove := 0
	for _, seed := range seeds {
		f := testFleet("officers", 60*time.Second)
		s := &scenario{name: "proof-tiers", length: 35 * time.Second, load: 0.9, reportLag: steadyLag, burstAt: 5 * time.Second, burstFor: 25 * time.Second, burstCapacity: 3, burstAtOneInstance: true, digestLoss: 0.3, digestDelay: 600 * time.Millisecond}
		w := newWorld(f, s, seed, policy.New)
		killed := false
		w.onRefuse = func(in *instance, k *call, a policy.Refuse) {
			if a.Kind != overloaded {
				return
			}
			if k.class.tier < 3 {
				shedAbove++
			}
			for _, name := range in.core.Stats().Peers {
				for _, other := range w.instances {
					if admitted := other.core.Stats().Admitted[f.engines]; other.name == name && !other.dead && admitted > int(k.class.tier) {
						t.Errorf("seed %d: %s shed tier %d at %v while %s admitted tier %d", seed, in.name, k.class.tier, w.clock.now, name, admitted)
					}
				}
			}
			// An instance dies at the moment it sheds; the others must not
			// go on by what it said.
			if seed%2 == 0 && !killed && k.class.tier < 3 {
				killed = true
				w.clock.after(0, in.kill)
			}
		}
		w.run(generate(f, s, seed))
		checkInvariants(t, seed, w)
	}
	is.True(shedAbove > 0) // the runs did shed tiers above the lowest
}

// In a long burst of the most urgent tier a nightly digest would wait until
// the burst ends: strict priority never comes to it. The pool shrinks too.
func TestEveryClassIsServedInALongBurst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const window = 20 * time.Second
	for _, seed := range seeds {
		f := testFleet("alerts", 90*time.Second)
		s := &scenario{name: "proof-share", length: 65 * time.Second, load: 0.8, reportLag: steadyLag, burstAt: 5 * time.Second, burstFor: 60 * time.Second, burstCapacity: 3}
		s.faults = func(w *world) {
			w.clock.after(25*time.Second, func() { w.engines[1].crash(20 * time.Second) })
			w.clock.after(25*time.Second, func() { w.engines[3].crash(20 * time.Second) })
		}
		w := newWorld(f, s, seed, policy.New)
		w.run(generate(f, s, seed))
		checkInvariants(t, seed, w)
		for i := range f.classes {
			for from := s.burstAt; from+window <= s.burstAt+s.burstFor; from += window {
				served := 0
				for _, k := range w.calls {
					if k.class == &f.classes[i] && k.received > 0 && k.first >= from && k.first < from+window {
						served++
					}
				}
				if served == 0 {
					t.Errorf("seed %d: %s got nothing from %v to %v", seed, f.classes[i].name, from, from+window)
				}
			}
		}
		is.True(longestServed(w, "digests") < maxWaitBound)
	}
}

// longestWaitBound is the wait that docs/notes/fairness.md states for this load.
const maxWaitBound = 30 * time.Second

func longestServed(w *world, class string) time.Duration {
	longest := time.Duration(0)
	for _, k := range w.calls {
		if k.class.name == class && k.received > 0 {
			longest = max(longest, k.wait())
		}
	}
	return longest
}

// A server is being taken out, but the platform's list reaches one instance
// only. The others go on sending it new work, queued and retried requests
// included, and its shutdown cuts them off.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		f := testFleet("alerts", 30*time.Second)
		s := &scenario{name: "proof-leaving", length: 25 * time.Second, load: 1.1, reportLag: steadyLag, digestLoss: 0.2}
		told := map[string]time.Duration{}
		s.faults = func(w *world) {
			for n, name := range []string{engineName(3), engineName(4), serviceName(1)} {
				at := time.Duration(5+3*n) * time.Second
				w.clock.after(at, func() {
					told[name] = w.clock.now
					w.instances[int(seed+uint64(n))%instanceCount].step(policy.ServerState{Server: name, Leaving: true})
				})
			}
			w.clock.after(9*time.Second, func() { w.engines[6].crash(5 * time.Second) })
		}
		w := newWorld(f, s, seed, policy.New)
		w.onStart = func(in *instance, _ *call, a policy.Start) {
			if at, leaving := told[a.Server]; leaving && w.clock.now-at > 3*time.Second {
				t.Errorf("seed %d: %s started on %s %v after it was told to be leaving", seed, in.name, a.Server, w.clock.now-at)
			}
		}
		w.run(generate(f, s, seed))
		checkInvariants(t, seed, w)
	}
}

// One request makes each engine that runs it crash. Its caller sends it again
// at the next instance, and again; a second caller does so at the same time.
// Without a shared suspicion each send takes another engine down.
func TestCrashingRequestCostsTwoServersAtMost(t *testing.T) {
	t.Parallel()
	for _, seed := range append(seeds, 5, 6, 7, 8, 16, 24, 34) {
		f := testFleet("alerts", 60*time.Second)
		s := &scenario{name: "proof-crashing", length: 25 * time.Second, load: 0.6, reportLag: steadyLag, digestLoss: 0.1}
		s.faults = func(w *world) {
			w.clock.after(8*time.Second, func() { w.sendCrashing(int(seed) % instanceCount) })
			if seed%2 == 0 {
				w.clock.after(8*time.Second, func() { w.sendCrashing(int(seed+3) % instanceCount) })
			}
		}
		w := newWorld(f, s, seed, policy.New)
		w.run(generate(f, s, seed))
		if out := checkInvariants(t, seed, w); out.Crashes > 2 {
			t.Errorf("seed %d: %d servers lost to one request", seed, out.Crashes)
		}
		for _, k := range w.calls {
			if !k.class.service && k.outcome != answered {
				t.Errorf("seed %d: innocent call %d of %s ended with %d %s", seed, k.id, k.class.name, k.outcome, k.refusal)
			}
		}
	}
}

// Half of the engines fail at once. If each failure made a retry, and each
// retry failed again, the other half would drown in them.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		f := testFleet("alerts", 30*time.Second)
		s := &scenario{name: "proof-retries", length: 40 * time.Second, load: 1, reportLag: staleLag}
		s.faults = func(w *world) {
			for i := 0; i < engineCount; i += 2 {
				for n := range 3 {
					w.clock.after(time.Duration(8+8*n)*time.Second, func() { w.engines[i].crash(3 * time.Second) })
				}
			}
		}
		w := newWorld(f, s, seed, policy.New)
		w.run(generate(f, s, seed))
		checkInvariants(t, seed, w)
		for _, in := range w.instances {
			stats := in.core.Stats()
			again := float64(stats.Retries + stats.Moved)
			if allowed := 20 + 0.1*float64(stats.Starts); again > allowed {
				t.Errorf("seed %d: %s started %.0f requests again, %.0f allowed", seed, in.name, again, allowed)
			}
		}
	}
}

// Half of the engines die one after the other within seconds; no request is
// to blame. Those that ran on the first are suspects and tried on others, and
// some of those die too. Two crashes looked like proof, so that innocent
// requests were refused everywhere for a day.
func TestOutageConvictsNobody(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 12; seed++ {
		f := testFleet("alerts", 60*time.Second)
		s := &scenario{name: "proof-outage", length: 20 * time.Second, load: 0.8, reportLag: steadyLag, digestLoss: 0.1}
		s.faults = func(w *world) {
			order := w.random.Perm(engineCount)
			for n, i := range order[:engineCount/2] {
				at := 8*time.Second + time.Duration(n)*(400+time.Duration(seed%3)*300)*time.Millisecond
				w.clock.after(at, func() { w.engines[i].crash(20 * time.Second) })
			}
		}
		w := newWorld(f, s, seed, policy.New)
		w.run(generate(f, s, seed))
		checkInvariants(t, seed, w)
		if len(w.convicted) > 0 {
			t.Errorf("seed %d: %d innocent requests convicted", seed, len(w.convicted))
		}
		for _, k := range w.calls {
			if k.refusal == "convicted" {
				t.Errorf("seed %d: innocent call %d of %s refused as convicted", seed, k.id, k.class.name)
			}
		}
	}
}
