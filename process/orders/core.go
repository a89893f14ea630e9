// Package orders decides which orders to load and unload models the holder of
// the lease gives to engines, and when.
//
// The wishes stand in the configuration; an engine's own word, read back, tells
// what it has. The difference is ordered: one order at a time to each engine,
// loads from a token bucket for the weight store, the model that has the
// smallest part of its wished engines first.
package orders

import "time"

const (
	// OrderTimeout is the default of the longest that an order may be in flight;
	// the shell ends it then. A new holder waits as long before it orders anything of an engine
	// that ignores fencing numbers.
	OrderTimeout = 30 * time.Second
	// readInterval lies between two readings of the same engine at least; with
	// more engines than readsPerMinute allows, all take their turn.
	minReadInterval = 10 * time.Second
	// retryPause follows a reading or order that failed.
	retryDelay = 2 * time.Second
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
	Desired       map[Model]bool
}

// Event is something that happened; see the types below.
type Event interface{ event() }

// Configured brings the engines with wishes, in any order.
type Configured struct{ Engines []Engine }

// Leased tells that this instance holds the lease under the number; the same
// number again changes nothing.
type LeaseHeld struct{ Fencing uint64 }

// Lost tells that this instance does not hold the lease.
type LeaseLost struct{}

// ReadDone is what an engine said that it has; Err is set where it said nothing.
type ReadDone struct {
	Engine string
	// Fencing is the number under which the reading was asked for.
	Fencing uint64
	Loaded  []Model
	Err     error
}

// OrderDone tells how an order ended.
type OrderDone struct {
	Engine string
	// Fencing is the number that the order carried.
	Fencing uint64
	// Refused means that the engine has seen a newer number: another holds the lease.
	Refused bool
	Err     error
}

// Tick lets time pass.
type Tick struct{}

func (Configured) event() {}
func (LeaseHeld) event()  {}
func (LeaseLost) event()  {}
func (ReadDone) event()   {}
func (OrderDone) event()  {}
func (Tick) event()       {}

// Action is something the shell must do; see the types below.
type Action interface{ action() }

// Read tells the shell to ask the engine what it has.
type Read struct {
	Engine  Engine
	Fencing uint64
}

// Order tells the shell to load or unload the model, if the lease still holds
// at that very moment.
type Order struct {
	Engine  Engine
	Model   Model
	Load    bool
	Fencing uint64
}

// GiveUp tells the shell that the lease is another's: it must not renew it.
type AbandonLease struct{}

func (Read) action()         {}
func (Order) action()        {}
func (AbandonLease) action() {}

// engine is what the core knows of one engine.
type engine struct {
	Engine
	// known is true once it was read back under this holding.
	loadedKnown bool
	loaded      map[Model]bool
	// busy engines are being read or ordered.
	inFlight bool
	// turn numbers the engine's readings, so that one that was put off counts no more.
	generation uint64
	// stale is set while a reading is under way that may not show the last order.
	readStale bool
}

// Core decides orders. Calls must not overlap.
type Core struct {
	engines     map[string]*engine
	differences differenceIndex
	// urgent and routine hold the turns of engines to be read.
	urgent, routine readQueue
	readBudget      tokenBucket
	fencing         uint64
	// since is when the holding began.
	leaseSince time.Time
	loadBudget tokenBucket
	// orderTimeout is the longest that an order may be in flight.
	orderTimeout time.Duration
}

// NewCore returns a Core whose loads draw on the weight store at most so many
// times a minute, and whose orders are in flight for orderTimeout at most.
func NewCore(loadsPerMinute int, orderTimeout time.Duration) *Core {
	return &Core{
		engines: make(map[string]*engine), differences: newDifferenceIndex(), orderTimeout: orderTimeout,
		loadBudget: tokenBucket{perMinute: loadsPerMinute, capacity: loadsPerMinute},
		readBudget: tokenBucket{perMinute: readsPerMinute, capacity: readBurst},
	}
}

// Step takes one event and returns what to do, in order.
func (c *Core) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Configured:
		c.configure(now, e.Engines)
	case LeaseHeld:
		c.beginTerm(now, e.Fencing)
	case LeaseLost:
		c.fencing = 0
	case ReadDone:
		c.handleRead(now, e)
	case OrderDone:
		if e.Refused && e.Fencing == c.fencing {
			c.fencing = 0
			return []Action{AbandonLease{}}
		}
		c.handleOrderDone(now, e)
	}
	if c.fencing == 0 {
		return nil
	}
	return append(c.nextReads(now), c.nextOrders(now)...)
}

func (c *Core) configure(now time.Time, list []Engine) {
	named := make(map[string]bool, len(list))
	for _, e := range list {
		named[e.Name] = true
		existing, known := c.engines[e.Name]
		if known && existing.Address == e.Address {
			c.differences.update(existing, func() { existing.Engine = e })
			continue
		}
		if known {
			c.remove(existing)
		}
		c.add(now, &engine{Engine: e})
	}
	for name, e := range c.engines {
		if !named[name] {
			c.remove(e)
		}
	}
}

func (c *Core) add(now time.Time, e *engine) {
	c.engines[e.Name] = e
	c.differences.count(e, 1)
	c.schedule(e, now, true)
}

func (c *Core) remove(e *engine) {
	delete(c.engines, e.Name)
	c.differences.remove(e)
	// Its turn, if it has one, counts no more.
	e.generation++
}

// lease begins a holding, which knows nothing yet of any engine.
func (c *Core) beginTerm(now time.Time, fencing uint64) {
	if fencing == c.fencing {
		return
	}
	c.fencing, c.leaseSince = fencing, now
	// Full from the first moment, two holders after each other would draw twice.
	c.loadBudget.drain(now)
	c.urgent, c.routine = nil, nil
	for _, e := range c.engines {
		c.differences.update(e, func() { e.loadedKnown, e.inFlight, e.readStale = false, false, false })
		c.schedule(e, now, true)
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
		return c.leaseSince
	}
	return c.leaseSince.Add(c.orderTimeout)
}

// read takes an engine's word.
//
// It guards against a word asked for under an older holding, which came before
// the wait of this one: an order still on its way could land after it. It shows
// as an engine ordered too soon. It holds because the word names its holding.
func (c *Core) handleRead(now time.Time, r ReadDone) {
	e, ok := c.engines[r.Engine]
	if !ok || r.Fencing != c.fencing {
		return
	}
	e.inFlight = false
	if r.Err != nil || e.readStale {
		c.markUnknown(e)
		pause := retryDelay
		if r.Err == nil {
			pause = 0
		}
		c.schedule(e, now.Add(pause), true)
		return
	}
	c.differences.update(e, func() {
		e.loadedKnown = true
		e.loaded = make(map[Model]bool, len(r.Loaded))
		for _, m := range r.Loaded {
			e.loaded[m] = true
		}
	})
	c.schedule(e, now.Add(minReadInterval), false)
}

func (c *Core) markUnknown(e *engine) {
	c.differences.update(e, func() { e.loadedKnown, e.readStale = false, false })
}

// ordered wants the engine read back, whatever the answer was: an order whose
// answer was lost may have been carried out. One of an older holding may have
// been carried out after the engine was read.
func (c *Core) handleOrderDone(now time.Time, o OrderDone) {
	e, ok := c.engines[o.Engine]
	if !ok {
		return
	}
	if o.Fencing != c.fencing && e.inFlight {
		e.readStale = true
		return
	}
	e.inFlight = false
	c.markUnknown(e)
	if o.Err != nil {
		now = now.Add(retryDelay)
	}
	c.schedule(e, now, true)
}
