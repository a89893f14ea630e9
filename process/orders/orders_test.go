package orders

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_764_700_000, 0)

// engines plays a few engines; orders land at once unless they are held back.
type fakeEngines struct {
	core   *Core
	now    time.Time
	loaded map[string]map[Model]bool
	// late holds orders that are on the way.
	inTransit []Order
	delay     bool
	orders    []Order
	reads     int
	abandoned bool
}

func newFakeEngines(core *Core) *fakeEngines {
	return &fakeEngines{core: core, now: start, loaded: make(map[string]map[Model]bool)}
}

func (x *fakeEngines) step(event Event) {
	for _, action := range x.core.Step(x.now, event) {
		switch a := action.(type) {
		case Read:
			x.reads++
			var has []Model
			for m, loaded := range x.loaded[a.Engine.Name] {
				if loaded {
					has = append(has, m)
				}
			}
			x.step(ReadDone{Engine: a.Engine.Name, Fencing: a.Fencing, Loaded: has})
		case Order:
			x.orders = append(x.orders, a)
			if x.delay {
				x.inTransit = append(x.inTransit, a)
				continue
			}
			x.apply(a)
			x.step(OrderDone{Engine: a.Engine.Name, Fencing: a.Fencing})
		case AbandonLease:
			x.abandoned = true
		}
	}
}

func (x *fakeEngines) apply(o Order) {
	if x.loaded[o.Engine.Name] == nil {
		x.loaded[o.Engine.Name] = make(map[Model]bool)
	}
	x.loaded[o.Engine.Name][o.Model] = o.Load
}

func (x *fakeEngines) run(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); x.now = x.now.Add(time.Second) {
		x.step(Tick{})
	}
}

var large = Model{Name: "large"}

func engineOf(name string, checks bool, load bool) Engine {
	return Engine{Name: name, Address: "10.0.0.1:80", ChecksFencing: checks, Desired: map[Model]bool{large: load}}
}

// The holder orders an engine, which ignores numbers, to unload; the order is
// still on the way when the lease passes to another, and the wish changes to
// load. The new holder must not read and order before the old order can have
// landed, or the engine would end without the model.
func TestNewHolderWaitsForOrdersInFlight(t *testing.T) {
	for _, checks := range []bool{false, true} {
		t.Run(fmt.Sprint("checks ", checks), func(t *testing.T) {
			is := is.New(t)
			old := newFakeEngines(NewCore(600, OrderTimeout))
			old.loaded["r1"] = map[Model]bool{large: true}
			old.delay = true
			old.step(Configured{[]Engine{engineOf("r1", checks, false)}})
			old.step(LeaseHeld{1})
			old.run(OrderTimeout + time.Second)
			is.Equal(len(old.inTransit), 1)

			next := newFakeEngines(NewCore(600, OrderTimeout))
			next.loaded, next.now = old.loaded, old.now
			next.step(Configured{[]Engine{engineOf("r1", checks, true)}})
			next.step(LeaseHeld{2})
			next.run(OrderTimeout - time.Second)
			if checks {
				// The engine has seen number 2 and refuses the late order itself.
				is.True(next.reads > 0)
				return
			}
			is.Equal(next.reads, 0)
			next.apply(old.inTransit[0])
			next.run(5 * time.Second)
			is.True(next.loaded["r1"][large])
		})
	}
}

// A process that was frozen between its check and its write sends an order after
// any wait. The next reading must find it, and the wish be ordered again.
func TestLateOrderIsDetectedAndCorrected(t *testing.T) {
	is := is.New(t)
	x := newFakeEngines(NewCore(600, OrderTimeout))
	x.step(Configured{[]Engine{engineOf("r1", true, true)}})
	x.step(LeaseHeld{2})
	x.run(5 * time.Second)
	is.True(x.loaded["r1"][large])
	x.apply(Order{Engine: engineOf("r1", true, true), Model: large, Load: false, Fencing: 1})
	x.run(minReadInterval + 2*time.Second)
	is.True(x.loaded["r1"][large])
}

func TestRefusedFencingTokenAbandonsLease(t *testing.T) {
	is := is.New(t)
	x := newFakeEngines(NewCore(600, OrderTimeout))
	x.delay = true
	x.step(Configured{[]Engine{engineOf("r1", true, true), engineOf("r2", true, true)}})
	x.step(LeaseHeld{2})
	x.run(5 * time.Second)
	given := len(x.orders)
	x.step(OrderDone{Engine: "r1", Fencing: 2, Refused: true})
	is.True(x.abandoned)
	x.run(time.Minute)
	is.Equal(len(x.orders), given)
}

// An order's answer is lost. It may have been carried out; it must not be given
// again blindly, but after the engine was read.
func TestEngineIsReadAfterLostReply(t *testing.T) {
	is := is.New(t)
	x := newFakeEngines(NewCore(600, OrderTimeout))
	x.delay = true
	x.step(Configured{[]Engine{engineOf("r1", true, true)}})
	x.step(LeaseHeld{1})
	x.run(5 * time.Second)
	is.Equal(len(x.orders), 1)
	x.apply(x.inTransit[0])
	x.step(OrderDone{Engine: "r1", Fencing: 1, Err: errors.New("answer lost")})
	x.run(time.Minute)
	is.Equal(len(x.orders), 1)
}

// Forty engines wish for a model at once and the weight store allows six loads a
// minute. The loads must keep to that, over a change of the holder too, and the
// model that is worst off comes first.
func TestLoadRateIsBounded(t *testing.T) {
	is := is.New(t)
	x := newFakeEngines(NewCore(6, OrderTimeout))
	small := Model{Name: "small"}
	var list []Engine
	for i := range 40 {
		e := engineOf(fmt.Sprint("r", i), true, true)
		if i >= 20 {
			e.Desired = map[Model]bool{small: true}
			x.loaded[e.Name] = map[Model]bool{small: i >= 30}
		}
		list = append(list, e)
	}
	x.step(Configured{list})
	for holding := range 5 {
		x.step(LeaseHeld{uint64(holding + 1)})
		x.run(time.Minute)
		is.True(len(x.orders) <= 6*(holding+1))
	}
	is.True(len(x.orders) > 20)
	for _, o := range x.orders[:10] {
		is.Equal(o.Model, large)
	}
}
