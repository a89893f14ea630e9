package orders

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_764_700_000, 0)

// fakeEngines simulates a few engines. Orders are applied immediately unless delay
// is set.
type fakeEngines struct {
	core   *Core
	now    time.Time
	loaded map[string]map[Model]bool
	// inTransit holds the delayed orders.
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
			var models []Model
			for m, loaded := range x.loaded[a.Engine.Name] {
				if loaded {
					models = append(models, m)
				}
			}
			x.step(ReadDone{Engine: a.Engine.Name, Fencing: a.Fencing, Loaded: models})
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

func engineOf(name string, checksFencing bool, load bool) Engine {
	return Engine{Name: name, Address: "10.0.0.1:80", ChecksFencing: checksFencing, Desired: map[Model]bool{large: load}}
}

// The lease passes to another holder while an unload order is in flight to an
// engine that ignores fencing tokens, and the desired state changes to loaded. The
// new holder must not read or send orders before the old order can have been
// applied, or the engine would end without the model.
func TestNewHolderWaitsForOrdersInFlight(t *testing.T) {
	for _, checksFencing := range []bool{false, true} {
		t.Run(fmt.Sprint("checks ", checksFencing), func(t *testing.T) {
			is := is.New(t)
			predecessor := newFakeEngines(NewCore(600, OrderTimeout))
			predecessor.loaded["r1"] = map[Model]bool{large: true}
			predecessor.delay = true
			predecessor.step(Configured{[]Engine{engineOf("r1", checksFencing, false)}})
			predecessor.step(LeaseHeld{1})
			predecessor.run(OrderTimeout + time.Second)
			is.Equal(len(predecessor.inTransit), 1)

			successor := newFakeEngines(NewCore(600, OrderTimeout))
			successor.loaded, successor.now = predecessor.loaded, predecessor.now
			successor.step(Configured{[]Engine{engineOf("r1", checksFencing, true)}})
			successor.step(LeaseHeld{2})
			successor.run(OrderTimeout - time.Second)
			if checksFencing {
				// The engine has seen token 2 and refuses the late order itself.
				is.True(successor.reads > 0)
				return
			}
			is.Equal(successor.reads, 0)
			successor.apply(predecessor.inTransit[0])
			successor.run(5 * time.Second)
			is.True(successor.loaded["r1"][large])
		})
	}
}

// A process suspended between its check and its write may send an order after any
// delay. The next read must detect the effect, and the model must be ordered again.
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
	before := len(x.orders)
	x.step(OrderDone{Engine: "r1", Fencing: 2, Refused: true})
	is.True(x.abandoned)
	x.run(time.Minute)
	is.Equal(len(x.orders), before)
}

// The reply to an order is lost. The order may have been applied, so the engine
// must be read before the order is repeated.
func TestEngineIsReadAfterLostReply(t *testing.T) {
	is := is.New(t)
	x := newFakeEngines(NewCore(600, OrderTimeout))
	x.delay = true
	x.step(Configured{[]Engine{engineOf("r1", true, true)}})
	x.step(LeaseHeld{1})
	x.run(5 * time.Second)
	is.Equal(len(x.orders), 1)
	x.apply(x.inTransit[0])
	x.step(OrderDone{Engine: "r1", Fencing: 1, Err: errors.New("reply lost")})
	x.run(time.Minute)
	is.Equal(len(x.orders), 1)
}

// Forty engines need a model and the weight store allows six loads per minute. The
// limit must hold, also across changes of the lease holder, and the model with the
// smallest loaded fraction comes first.
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
	for term := range 5 {
		x.step(LeaseHeld{uint64(term + 1)})
		x.run(time.Minute)
		is.True(len(x.orders) <= 6*(term+1))
	}
	is.True(len(x.orders) > 20)
	for _, o := range x.orders[:10] {
		is.Equal(o.Model, large)
	}
}
