// Package orders decides which orders to load and unload models the lease holder
// sends to engines, and when.
//
// The desired state comes from the configuration, the actual state from reading the
// engines back. The difference is resolved by orders: one at a time per engine,
// with loads limited by a token bucket to protect the weight store. The model with
// the smallest loaded fraction of its desired engines comes first.
package orders

import "time"

const (
	// OrderTimeout is the default limit on the time that an order may be in flight;
	// the caller must end it then. A new lease holder waits for as long before it
	// sends orders to an engine that ignores fencing tokens.
	OrderTimeout = 30 * time.Second
	// minReadInterval is the minimum time between two reads of the same engine. If
	// there are more engines than readsPerMinute allows, they are read in turn.
	minReadInterval = 10 * time.Second
	// retryDelay follows a failed read or order.
	retryDelay = 2 * time.Second
)

// Model is a model with an adapter, or without one if Adapter is empty.
type Model struct{ Name, Adapter string }

// Engine is a model engine with its desired state: true for models to be loaded,
// false for models to be unloaded. Other models are left as they are.
type Engine struct {
	Name    string
	Address string
	// ChecksFencing marks an engine that refuses orders with an outdated fencing
	// token.
	ChecksFencing bool
	Desired       map[Model]bool
}

// Event is an input of Core.Step.
type Event interface{ event() }

// Configured carries the engines that have a desired state, in any order.
type Configured struct{ Engines []Engine }

// LeaseHeld reports that this instance holds the lease under the fencing token;
// repeating the same token has no effect.
type LeaseHeld struct{ Fencing uint64 }

// LeaseLost reports that this instance does not hold the lease.
type LeaseLost struct{}

// ReadDone carries the models that an engine has loaded; Err is set if the read
// failed.
type ReadDone struct {
	Engine string
	// Fencing is the fencing token under which the read was requested.
	Fencing uint64
	Loaded  []Model
	Err     error
}

// OrderDone reports how an order ended.
type OrderDone struct {
	Engine string
	// Fencing is the fencing token of the order.
	Fencing uint64
	// Refused means that the engine has seen a newer fencing token, so another
	// instance holds the lease.
	Refused bool
	Err     error
}

// Tick advances time.
type Tick struct{}

func (Configured) event() {}
func (LeaseHeld) event()  {}
func (LeaseLost) event()  {}
func (ReadDone) event()   {}
func (OrderDone) event()  {}
func (Tick) event()       {}

// Action is an output of Core.Step that the caller must perform.
type Action interface{ action() }

// Read requests the models that the engine has loaded. The caller reports ReadDone.
type Read struct {
	Engine  Engine
	Fencing uint64
}

// Order loads or unloads the model. The caller must check the lease immediately
// before it sends the order, and reports OrderDone.
type Order struct {
	Engine  Engine
	Model   Model
	Load    bool
	Fencing uint64
}

// AbandonLease reports that another instance holds the lease: the caller must not
// renew it.
type AbandonLease struct{}

func (Read) action()         {}
func (Order) action()        {}
func (AbandonLease) action() {}

// engine is the core's state of one engine.
type engine struct {
	Engine
	// loadedKnown is true once the engine was read back in this term.
	loadedKnown bool
	loaded      map[Model]bool
	// inFlight is true while a read or an order is in flight.
	inFlight bool
	// generation numbers the scheduled reads of the engine; those of an older
	// generation are void.
	generation uint64
	// readStale is set if the read in flight may not show the last order.
	readStale bool
}

// Core is the state machine that decides orders. It does no I/O: the caller feeds
// events to Step and performs the returned actions. It is not safe for concurrent
// use.
type Core struct {
	engines     map[string]*engine
	differences differenceIndex
	// urgent and routine are the queues of scheduled reads.
	urgent, routine readQueue
	readBudget      tokenBucket
	fencing         uint64
	// leaseSince is when the term began.
	leaseSince time.Time
	loadBudget tokenBucket
	// orderTimeout limits the time that an order may be in flight.
	orderTimeout time.Duration
}

// NewCore returns a Core that orders at most loadsPerMinute loads and whose orders
// are in flight for at most orderTimeout.
func NewCore(loadsPerMinute int, orderTimeout time.Duration) *Core {
	return &Core{
		engines: make(map[string]*engine), differences: newDifferenceIndex(), orderTimeout: orderTimeout,
		loadBudget: tokenBucket{perMinute: loadsPerMinute, capacity: loadsPerMinute},
		readBudget: tokenBucket{perMinute: readsPerMinute, capacity: readBurst},
	}
}

// Step processes one event and returns the actions to perform, in order.
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
	// Invalidates a scheduled read.
	e.generation++
}

// beginTerm starts a term as lease holder, in which no engine's state is known yet.
func (c *Core) beginTerm(now time.Time, fencing uint64) {
	if fencing == c.fencing {
		return
	}
	c.fencing, c.leaseSince = fencing, now
	// A full bucket would let two successive holders each use a whole burst.
	c.loadBudget.drain(now)
	c.urgent, c.routine = nil, nil
	for _, e := range c.engines {
		c.differences.update(e, func() { e.loadedKnown, e.inFlight, e.readStale = false, false, false })
		c.schedule(e, now, true)
	}
}

// readyAt returns when the engine may be read back and sent orders.
//
// An order of the previous holder that is still in flight must not be applied after
// this holder has read the engine back, or the engine would end in the wrong state.
// Engines that check the fencing token refuse such an order once they have seen a
// newer token; for the others, the longest possible order has ended by then. An
// order applied even later, as by a process that was suspended while sending, is
// detected by the next read.
func (c *Core) readyAt(e *engine) time.Time {
	if e.ChecksFencing {
		return c.leaseSince
	}
	return c.leaseSince.Add(c.orderTimeout)
}

// handleRead processes the result of a read.
//
// A result requested in an earlier term may predate the wait of this one, and an
// order still in flight could be applied after it. Results carry their fencing
// token and are ignored in another term.
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

// handleOrderDone schedules a read of the engine whatever the result was: an order
// whose reply was lost may have been applied, and an order of an earlier term may
// have been applied after the engine was read.
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
