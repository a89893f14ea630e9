package bench

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lilacbridge/lilacbridge/request/policy"
)

// trials is the number of seeded runs of each benchmark of this file:
// go test ./internal/bench -run '^$' -bench 'Copies|Outages' -benchtime 1x -suspect-trials 80.
var trials = flag.Int("suspect-trials", 12, "seeded runs of each benchmark of crashing requests")

// copies is a crashing request that is sent several times before anyone
// suspects it; each sender sends again after each end.
type copies struct {
	sends, instances int
	within           time.Duration
	loss             float64
}

func (c copies) String() string {
	return fmt.Sprintf("%dcopies-%dinstances-%v-loss%.0f%%", c.sends, c.instances, c.within, 100*c.loss)
}

// run plays one trial and returns the world after its end.
func (c copies) run(seed uint64) *world {
	f := testFleet("alerts", 60*time.Second)
	s := &scenario{name: "proof-copies", length: 25 * time.Second, load: 0.6, reportLag: steadyLag, digestLoss: c.loss}
	s.faults = func(w *world) {
		r := rand.New(rand.NewPCG(seed, 17))
		for i := range c.sends {
			at := 8*time.Second + time.Duration(r.Float64()*float64(c.within))
			w.clock.after(at, func() { w.sendCrashing((int(seed) + i%c.instances) % instanceCount) })
		}
	}
	w := newWorld(f, s, seed, policy.New)
	w.run(generate(f, s, seed))
	return w
}

// outages is a number of engines that fail within a span, no request to blame.
type outages struct {
	engines int
	span    time.Duration
	load    float64
	// crashing sends a request that does crash engines, in the midst of it.
	crashing bool
}

func (o outages) String() string {
	return fmt.Sprintf("%dengines-%v-load%.1f-crashing=%t", o.engines, o.span, o.load, o.crashing)
}

// run plays one trial and returns the world after its end.
func (o outages) run(seed uint64) *world {
	f := testFleet("alerts", 60*time.Second)
	s := &scenario{name: "proof-outages", length: 25 * time.Second, load: o.load, reportLag: steadyLag, digestLoss: 0.1}
	s.faults = func(w *world) {
		r := rand.New(rand.NewPCG(seed, 18))
		for _, i := range r.Perm(engineCount)[:o.engines] {
			at := 8*time.Second + time.Duration(r.Float64()*float64(o.span))
			w.clock.after(at, func() { w.engines[i].crash(20 * time.Second) })
		}
		if o.crashing {
			w.clock.after(8*time.Second+o.span/2, func() { w.sendCrashing(int(seed) % instanceCount) })
		}
	}
	w := newWorld(f, s, seed, policy.New)
	w.run(generate(f, s, seed))
	return w
}

// A caller, or its library, sends a crashing request again after a moment, or
// several times at once, before anyone suspects it. Its copies ran on a server
// each; those that died with one server were tried again by two instances in
// the same moment; a crash while the order to stop was on its way was nobody's.
// Each way a third server was lost.
func TestCopiesCostTwoServersAtMost(t *testing.T) {
	t.Parallel()
	cases := []struct {
		copies copies
		// Each seed lost three servers with one of the guards out.
		seeds []uint64
	}{
		{copies{3, 1, 100 * time.Millisecond, 0.02}, []uint64{1009, 1027, 1071, 1083, 1087}},
		{copies{2, 2, 100 * time.Millisecond, 0.02}, []uint64{1001, 1003, 1008, 1058}},
		{copies{3, 3, 100 * time.Millisecond, 0.02}, []uint64{1004, 1012, 1017, 1032, 1039}},
		{copies{3, 3, 600 * time.Millisecond, 0.1}, []uint64{1023, 1025}},
		// A copy was stopped while it took down a server where nothing else ran.
		{copies{3, 3, 300 * time.Millisecond, 0.02}, []uint64{1009}},
		{copies{4, 2, 100 * time.Millisecond, 0.02}, []uint64{1009, 1047}},
		{copies{6, 6, 600 * time.Millisecond, 0.1}, []uint64{1057, 1113}},
	}
	for _, c := range cases {
		for _, seed := range c.seeds {
			w := c.copies.run(seed)
			if out := checkInvariants(t, seed, w); out.Crashes > 2 {
				t.Errorf("%v, seed %d: %d servers lost to one request", c.copies, seed, out.Crashes)
			}
			if n := w.unanswered(); n > 0 {
				t.Errorf("%v, seed %d: %d innocent calls without an answer", c.copies, seed, n)
			}
		}
	}
}

// Three engines fail within five seconds; no request is to blame. Suspects of
// the first two were tried while the third was about to fail, and a trial that
// met it convicted its request. Each seed did so without the pause.
func TestSmallOutageConvictsNobody(t *testing.T) {
	t.Parallel()
	o := outages{engines: 3, span: 5 * time.Second, load: 0.8}
	for _, seed := range []uint64{1011, 1013, 1018, 1021, 1043, 1066} {
		w := o.run(seed)
		checkInvariants(t, seed, w)
		if n := w.convictedInnocents(); n > 0 {
			t.Errorf("seed %d: %d innocent requests convicted", seed, n)
		}
	}
}

// A request crashes engines while others fail by themselves. Its two crashes
// were put down to the outage, and the trial after that took a third server;
// peers that had pardoned it ran its next copy in spite of the conviction.
func TestCrashingRequestInAnOutageCostsTwoServersAtMost(t *testing.T) {
	t.Parallel()
	for _, o := range []outages{{2, 5 * time.Second, 0.6, true}, {3, 5 * time.Second, 0.6, true}} {
		for _, seed := range []uint64{1000, 1001, 1002} {
			w := o.run(seed)
			checkInvariants(t, seed, w)
			if w.tally.crashedByRequest > 2 || w.convictedInnocents() > 0 {
				t.Errorf("%v, seed %d: %d servers lost to one request, %d innocents convicted", o, seed, w.tally.crashedByRequest, w.convictedInnocents())
			}
		}
	}
}

// convictedInnocents counts convictions of requests that crash nothing.
func (w *world) convictedInnocents() int {
	innocent := 0
	for _, conviction := range w.convicted {
		if conviction.GetDigest() != crashingDigest {
			innocent++
		}
	}
	return innocent
}

// unanswered counts the innocent calls to engines without a whole answer.
func (w *world) unanswered() int {
	unanswered := 0
	for _, k := range w.calls {
		if !k.class.service && k.outcome != answered {
			unanswered++
		}
	}
	return unanswered
}

// spoiled counts invariants broken.
func (w *world) violations() int {
	all := 0
	for _, count := range w.result(Product).Violations {
		all += int(count)
	}
	return all
}

// repeat plays trials on a few workers.
func repeat(run func(seed uint64) *world, inspect func(w *world)) {
	tasks := make([]func() *Result, *trials)
	results := make(chan *world, *trials)
	for i := range tasks {
		tasks[i] = func() *Result { results <- run(uint64(1000 + i)); return nil }
	}
	perform(tasks, 0)
	close(results)
	for w := range results {
		inspect(w)
	}
}

// BenchmarkCopies counts the trials that lost more than two servers.
func BenchmarkCopies(b *testing.B) {
	cases := []copies{
		{3, 3, 100 * time.Millisecond, 0.02}, {3, 3, 100 * time.Millisecond, 0.1}, {3, 3, 0, 0.02}, {3, 3, 300 * time.Millisecond, 0.02},
		{3, 3, 600 * time.Millisecond, 0.02}, {3, 3, time.Second, 0.02},
		{3, 1, 0, 0.02}, {3, 1, 100 * time.Millisecond, 0.02}, {3, 1, 600 * time.Millisecond, 0.02}, {6, 1, 100 * time.Millisecond, 0.02},
		{2, 2, 100 * time.Millisecond, 0.02}, {4, 4, 100 * time.Millisecond, 0.02}, {4, 2, 100 * time.Millisecond, 0.02}, {6, 6, 100 * time.Millisecond, 0.02},
		{6, 6, 600 * time.Millisecond, 0.1}, {6, 8, time.Second, 0.1},
	}
	for _, c := range cases {
		b.Run(c.String(), func(b *testing.B) {
			over, four, unanswered, violations := 0, 0, 0, 0
			repeat(c.run, func(w *world) {
				lost := w.result(Product).Crashes
				if lost > 2 {
					over++
				}
				if lost > 3 {
					four++
				}
				unanswered += w.unanswered()
				violations += w.violations()
			})
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(over), "over-two")
			b.ReportMetric(float64(four), "over-three")
			b.ReportMetric(float64(unanswered), "unanswered")
			b.ReportMetric(float64(violations), "violations")
		})
	}
}

// BenchmarkOutages counts innocents convicted, and the servers that a crashing
// request took besides.
func BenchmarkOutages(b *testing.B) {
	const span = 5 * time.Second
	cases := []outages{
		{1, span, 0.8, false}, {2, span, 0.8, false}, {3, span, 0.8, false}, {5, span, 0.8, false},
		{2, span, 0.4, false}, {3, span, 0.4, false}, {2, time.Second, 0.8, false}, {3, time.Second, 0.8, false}, {5, 2 * time.Second, 0.8, false},
		{1, span, 0.6, true}, {2, span, 0.6, true}, {3, span, 0.6, true},
	}
	for _, o := range cases {
		b.Run(o.String(), func(b *testing.B) {
			innocent, runs, extra, unanswered, violations := 0, 0, 0, 0, 0
			repeat(o.run, func(w *world) {
				if n := w.convictedInnocents(); n > 0 {
					innocent += n
					runs++
				}
				if w.tally.crashedByRequest > 2 {
					extra++
				}
				unanswered += w.unanswered()
				violations += w.violations()
			})
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(innocent), "innocents")
			b.ReportMetric(float64(runs), "runs")
			b.ReportMetric(float64(extra), "over-two")
			b.ReportMetric(float64(unanswered), "unanswered")
			b.ReportMetric(float64(violations), "violations")
		})
	}
}
