// Package orders decides which orders to load and unload models the holder of
// the lease gives to engines, and when.
//
// The wishes stand in the configuration; an engine's own word, read back, tells
// what it has. The difference is ordered: one order at a time to each engine,
// loads from a token bucket for the weight store, the model that has the
// smallest part of its wished engines first.
package orders

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// OrderTimeout is the default of the longest that an order may be in flight;
	// the shell ends it then. A new holder waits as long before it orders anything of an engine
	// that ignores fencing numbers.
	OrderTimeout = 30 * time.Second
	// readInterval lies between two readings of the same engine.
	readInterval = 10 * time.Second
	// retryPause follows a reading or order that failed.
	retryPause = 2 * time.Second
)

// Model is a model with an adapter, or without one where Adapter is empty.
type Model struct{ Name, Adapter string }

// Engine is a model engine and what it is wished to have; models that it is not
// said to have or lack are left as they are.
type Engine struct {
	Name    string
	Address string
	// ChecksFencing engines refuse orders with an old number by themselves.
	ChecksFencing bool
	Wishes        map[Model]bool
}

// Event is something that happened; see the types below.
type Event interface{ event() }

// Configured brings the engines with wishes, in any order.
type Configured struct{ Engines []Engine }

// Leased tells that this instance holds the lease under the number; the same
// number again changes nothing.
type Leased struct{ Fencing uint64 }

// Lost tells that this instance does not hold the lease.
type Lost struct{}

// ReadDone is what an engine said that it has; Err is set where it said nothing.
type ReadDone struct {
	Engine string
	Has    []Model
	Err    error
}

// OrderDone tells how an order ended.
type OrderDone struct {
	Engine string
	// Refused means that the engine has seen a newer number: another holds the lease.
	Refused bool
	Err     error
}

// Tick lets time pass.
type Tick struct{}

func (Configured) event() {}
func (Leased) event()     {}
func (Lost) event()       {}
func (ReadDone) event()   {}
func (OrderDone) event()  {}
func (Tick) event()       {}

// Action is something the shell must do; see the types below.
type Action interface{ action() }

// Read tells the shell to ask the engine what it has.
type Read struct{ Engine Engine }

// Order tells the shell to load or unload the model, if the lease still holds
// at that very moment.
type Order struct {
	Engine  Engine
	Model   Model
	Load    bool
	Fencing uint64
}

// GiveUp tells the shell that the lease is another's: it must not renew it.
type GiveUp struct{}

func (Read) action()   {}
func (Order) action()  {}
func (GiveUp) action() {}

// engine is what the core knows of one engine.
type engine struct {
	Engine
	// known is true once it was read back under this holding.
	known bool
	has   map[Model]bool
	busy  bool
	next  time.Time
}

// Core decides orders. Calls must not overlap.
type Core struct {
	engines map[string]*engine
	fencing uint64
	// since is when the holding began.
	since  time.Time
	bucket bucket
	// orderTimeout is the longest that an order may be in flight.
	orderTimeout time.Duration
}

// NewCore returns a Core whose loads draw on the weight store at most so many
// times a minute, and whose orders are in flight for orderTimeout at most.
func NewCore(loadsPerMinute int, orderTimeout time.Duration) *Core {
	return &Core{engines: make(map[string]*engine), bucket: bucket{perMinute: loadsPerMinute}, orderTimeout: orderTimeout}
}

// Step takes one event and returns what to do, in order.
func (c *Core) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Configured:
		c.configure(e.Engines)
	case Leased:
		c.lease(now, e.Fencing)
	case Lost:
		c.fencing = 0
	case ReadDone:
		c.read(now, e)
	case OrderDone:
		if e.Refused {
			c.fencing = 0
			return []Action{GiveUp{}}
		}
		c.ordered(now, e)
	}
	if c.fencing == 0 {
		return nil
	}
	return append(c.reads(now), c.orders(now)...)
}

func (c *Core) configure(list []Engine) {
	named := make(map[string]bool)
	for _, e := range list {
		named[e.Name] = true
		old, known := c.engines[e.Name]
		if known && old.Address == e.Address {
			old.Engine = e
			continue
		}
		c.engines[e.Name] = &engine{Engine: e}
	}
	for name := range c.engines {
		if !named[name] {
			delete(c.engines, name)
		}
	}
}

// lease begins a holding, which knows nothing yet of any engine.
func (c *Core) lease(now time.Time, fencing uint64) {
	if fencing == c.fencing {
		return
	}
	c.fencing, c.since = fencing, now
	// Full from the first moment, two holders after each other would draw twice.
	c.bucket.empty(now)
	for _, e := range c.engines {
		e.known, e.busy, e.next = false, false, time.Time{}
	}
}

// readyAt is when the engine may be read back and ordered.
//
// It guards against an order of the holder before, still in flight, that lands
// after this holder has read the engine back: the engine would end in a state
// that nobody wishes. Engines that check the number refuse such an order once
// they have met a newer one; for the others it holds because the longest order
// in flight has ended by then. What still lands later, as from a process that
// froze in the middle of sending, is found by the next reading.
func (c *Core) readyAt(e *engine) time.Time {
	if e.ChecksFencing {
		return c.since
	}
	return c.since.Add(c.orderTimeout)
}

func (c *Core) reads(now time.Time) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(c.engines)) {
		e := c.engines[name]
		if e.busy || now.Before(e.next) || now.Before(c.readyAt(e)) {
			continue
		}
		e.busy = true
		actions = append(actions, Read{e.Engine})
	}
	return actions
}

func (c *Core) read(now time.Time, r ReadDone) {
	e, ok := c.engines[r.Engine]
	if !ok {
		return
	}
	e.busy = false
	if r.Err != nil {
		e.known, e.next = false, now.Add(retryPause)
		return
	}
	e.known, e.next = true, now.Add(readInterval)
	e.has = make(map[Model]bool)
	for _, m := range r.Has {
		e.has[m] = true
	}
}

// ordered wants the engine read back, whatever the answer was: an order whose
// answer was lost may have been carried out.
func (c *Core) ordered(now time.Time, o OrderDone) {
	e, ok := c.engines[o.Engine]
	if !ok {
		return
	}
	e.busy, e.known, e.next = false, false, now
	if o.Err != nil {
		e.next = now.Add(retryPause)
	}
}

// wanted is an order that one engine needs.
type wanted struct {
	engine *engine
	model  Model
	load   bool
}

func (c *Core) orders(now time.Time) []Action {
	var actions []Action
	for _, w := range c.wanted() {
		if w.engine.busy || w.load && !c.bucket.take(now) {
			continue
		}
		w.engine.busy = true
		actions = append(actions, Order{Engine: w.engine.Engine, Model: w.model, Load: w.load, Fencing: c.fencing})
	}
	return actions
}

// wanted lists what is missing: unloads first, since they make room, then loads
// from the model with the smallest part of its wished engines on.
func (c *Core) wanted() []wanted {
	var list []wanted
	wished, loaded := make(map[Model]int), make(map[Model]int)
	for _, name := range slices.Sorted(maps.Keys(c.engines)) {
		e := c.engines[name]
		for _, m := range slices.SortedFunc(maps.Keys(e.Wishes), compareModels) {
			load := e.Wishes[m]
			if load {
				wished[m]++
			}
			if e.has[m] {
				loaded[m]++
			}
			if e.known && e.has[m] != load {
				list = append(list, wanted{e, m, load})
			}
		}
	}
	part := func(w wanted) float64 {
		if !w.load {
			return -1
		}
		return float64(loaded[w.model]) / float64(wished[w.model])
	}
	slices.SortStableFunc(list, func(a, b wanted) int { return cmp.Compare(part(a), part(b)) })
	return list
}

func compareModels(a, b Model) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Adapter, b.Adapter))
}
