package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newLargeFleet returns a fleet in which every engine should have the model loaded;
// all have it or none does.
func newLargeFleet(core *Core, engines int, loaded bool) *largeFleet {
	x := &largeFleet{core: core, now: start, reads: make(map[string]int)}
	var list []Engine
	for i := range engines {
		list = append(list, engineOf(fmt.Sprintf("r%04d", i), true, true))
	}
	x.loaded = loaded
	x.step(Configured{list})
	x.step(LeaseHeld{1})
	return x
}

// largeFleet answers reads immediately and counts them.
type largeFleet struct {
	core   *Core
	now    time.Time
	loaded bool
	reads  map[string]int
	orders int
}

func (x *largeFleet) step(event Event) {
	for _, action := range x.core.Step(x.now, event) {
		switch a := action.(type) {
		case Read:
			x.reads[a.Engine.Name]++
			var models []Model
			if x.loaded {
				models = []Model{large}
			}
			x.step(ReadDone{Engine: a.Engine.Name, Fencing: a.Fencing, Loaded: models})
		case Order:
			x.orders++
			x.step(OrderDone{Engine: a.Engine.Name, Fencing: a.Fencing})
		}
	}
}

// run advances time by the number of seconds, in the caller's ticks.
func (x *largeFleet) run(seconds int) {
	for range 2 * seconds {
		x.now = x.now.Add(time.Second / 2)
		x.step(LeaseHeld{1})
	}
}

// At full size the lease holder has 5,900 engines to read. Reading each every ten
// seconds would take 590 calls per second, a fifth of a core and 20 times the byte
// budget for control traffic. The rate must be bounded, and every engine must be
// read, none twice before the last.
func TestReadRateIsBoundedInLargeFleet(t *testing.T) {
	is := is.New(t)
	const engines = 5900
	x := newLargeFleet(NewCore(30, OrderTimeout), engines, true)
	x.run(60)
	is.True(len(x.reads) <= readsPerMinute+readBurst)
	x.run(60 * engines / readsPerMinute)
	is.Equal(len(x.reads), engines)
	for _, count := range x.reads {
		is.True(count <= 2)
	}
}

// A model is requested on a new engine while all others are being read in turn. It
// must not wait behind the 5,900 routine reads.
func TestChangedEngineIsReadBeforeRoutineReads(t *testing.T) {
	is := is.New(t)
	x := newLargeFleet(NewCore(30, OrderTimeout), 5900, true)
	x.run(60 * 20)
	list := []Engine{engineOf("z", true, true)}
	for _, e := range x.core.engines {
		list = append(list, e.Engine)
	}
	x.step(Configured{list})
	x.run(1)
	is.Equal(x.reads["z"], 1)
}

// An order of an earlier term of the same instance ends after the engine was read
// in the new term. That read may not show the effect of the order and must be
// repeated.
func TestStaleReadIsRepeated(t *testing.T) {
	is := is.New(t)
	core := NewCore(600, OrderTimeout)
	core.Step(start, Configured{[]Engine{engineOf("r1", true, true)}})
	is.Equal(len(core.Step(start, LeaseHeld{1})), 1)
	core.Step(start, ReadDone{Engine: "r1", Fencing: 1})
	now := start.Add(time.Second)
	order := core.Step(now, Tick{})[0].(Order)
	core.Step(now, LeaseLost{})
	is.Equal(core.Step(now, LeaseHeld{3})[0].(Read).Fencing, uint64(3))
	is.Equal(len(core.Step(now, OrderDone{Engine: "r1", Fencing: order.Fencing})), 0)
	again := core.Step(now, ReadDone{Engine: "r1", Fencing: 3})
	is.Equal(len(again), 1)
	is.Equal(again[0].(Read).Engine.Name, "r1")
}

// BenchmarkHolder measures the core's CPU time per second at the lease holder, by
// number of engines: with all models loaded, or all still to be loaded.
func BenchmarkHolder(b *testing.B) {
	for _, state := range []string{"steady", "rollout"} {
		for _, engines := range []int{13, 500, 2000, 5900} {
			b.Run(fmt.Sprintf("%s/engines=%d", state, engines), func(b *testing.B) {
				x := newLargeFleet(NewCore(30, OrderTimeout), engines, state == "steady")
				x.run(60)
				before := sum(x.reads)
				for b.Loop() {
					x.run(1)
				}
				b.ReportMetric(float64(sum(x.reads)-before)/float64(b.N), "reads/s")
			})
		}
	}
}

func sum(counts map[string]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
