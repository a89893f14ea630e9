// Package orders gives orders to load and unload models to engines, on the one
// instance that holds the lease for it.
package orders

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/process/lease"
	"github.com/lilacbridge/lilacbridge/process/orders"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// LeaseName is the name of the lease for giving orders.
const LeaseName = "orders"

const (
	// defaultLease is how long a lease lasts unless it is renewed.
	defaultLease = 10 * time.Second
	// tick is how often the core is told the time.
	tick = 500 * time.Millisecond
	// defaultLoads is the number of loads a minute where none is stated.
	defaultLoads = 30
)

// Options say what to order and on whose word.
type Options struct {
	// View returns the newest revision, or nil.
	View func() *model.View
	// RequestLease asks the state processes, as stateclient.Client does.
	RequestLease func(context.Context, *lilacv1.LeaseRequest) (*lilacv1.LeaseReply, error)
	// Client makes the calls to engines; nil means one of the Controller's own.
	Client *upstream.Client
	// LoadsPerMinute bounds the loads from the weight store. Default 30.
	LoadsPerMinute int
	// LeaseTime is how long a lease lasts unless it is renewed. Default 10 s;
	// tests shorten it.
	LeaseTime time.Duration
	// OrderTimeout is the longest that an order may be in flight, the same in all
	// instances. Default 30 s; tests shorten it.
	OrderTimeout time.Duration
	// Logger gets a line for each holding and order; may be nil.
	Logger hclog.Logger
}

// Controller gives orders while it holds the lease.
type Controller struct {
	options Options
	engines engines
	events  chan orders.Event

	// position among those who ask for the lease, and that it changed.
	position atomic.Int64
	moved    chan struct{}

	mu      sync.Mutex
	holding lease.Grant
}

// New returns a Controller that does nothing until Run.
func New(o Options) *Controller {
	if o.LoadsPerMinute <= 0 {
		o.LoadsPerMinute = defaultLoads
	}
	if o.LeaseTime <= 0 {
		o.LeaseTime = defaultLease
	}
	if o.OrderTimeout <= 0 {
		o.OrderTimeout = orders.OrderTimeout
	}
	if o.Client == nil {
		o.Client = upstream.NewClient()
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	c := &Controller{options: o, events: make(chan orders.Event, 16), moved: make(chan struct{}, 1)}
	c.engines = newEngines(o.Client, c.valid, o.OrderTimeout)
	return c
}

// valid tells whether this instance may still act under the number.
func (c *Controller) valid(fencing uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holding.Valid(time.Now()) && c.holding.Fencing() == fencing
}

// HoldsLease tells whether this instance holds the lease, and under which number.
func (c *Controller) HoldsLease() (fencing uint64, holds bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holding.Fencing(), c.holding.Valid(time.Now())
}

// Run asks for the lease and gives orders while it holds it, until ctx ends. It
// then gives the lease back, unless an order is still in flight.
func (c *Controller) Run(ctx context.Context) error {
	core := orders.NewCore(c.options.LoadsPerMinute, c.options.OrderTimeout)
	var work sync.WaitGroup
	defer work.Wait()
	work.Go(func() { c.keepLease(ctx) })
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var seen *model.View
	step := func(event orders.Event) {
		for _, action := range core.Step(time.Now(), event) {
			c.act(ctx, &work, action)
		}
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-c.events:
			step(event)
		case <-ticker.C:
			if view := c.options.View(); view != nil && view != seen {
				seen = view
				step(orders.Configured{Engines: wishes(view)})
			}
			step(c.standing())
		}
	}
}

// standing tells the core whether the lease holds at this moment.
func (c *Controller) standing() orders.Event {
	if fencing, holds := c.HoldsLease(); holds {
		return orders.LeaseHeld{Fencing: fencing}
	}
	return orders.LeaseLost{}
}

func (c *Controller) act(ctx context.Context, work *sync.WaitGroup, action orders.Action) {
	switch a := action.(type) {
	case orders.Read:
		work.Go(func() { c.send(ctx, c.engines.read(ctx, a)) })
	case orders.Order:
		c.options.Logger.Info("order", "engine", a.Engine.Name, "model", a.Model.Name, "adapter", a.Model.Adapter, "load", a.Load, "fencing", a.Fencing)
		work.Go(func() { c.send(ctx, c.engines.order(ctx, a)) })
	case orders.AbandonLease:
		c.mu.Lock()
		c.holding = lease.Grant{}
		c.mu.Unlock()
	}
}

func (c *Controller) send(ctx context.Context, event orders.Event) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

// SetPosition tells how many live entries of the data centre rank above this
// one; the first few ask for the lease often. It is 0 at first.
func (c *Controller) SetPosition(position int) {
	if c.position.Swap(int64(position)) == int64(position) {
		return
	}
	select {
	case c.moved <- struct{}{}:
	default:
	}
}

// keepLease asks for the lease, often while it is held and seldom while another
// holds it.
func (c *Controller) keepLease(ctx context.Context) {
	for ctx.Err() == nil {
		_, held := c.HoldsLease()
		c.ask(ctx)
		_, holds := c.HoldsLease()
		if held != holds {
			c.options.Logger.Info("lease for orders", "held", holds)
		}
		c.pause(ctx, holds)
	}
	c.giveBack()
}

// pause waits for the next request's turn.
//
// It guards against a takeover that comes late because the next in rank still
// sleeps as long as its old place told it to: the turn is counted anew, from
// the same start, when the place changes.
func (c *Controller) pause(ctx context.Context, holds bool) {
	began, part := time.Now(), rand.Float64()
	for {
		wait := lease.RenewInterval(c.options.LeaseTime)
		if !holds {
			wait = lease.RequestInterval(c.options.LeaseTime, int(c.position.Load()), part)
		}
		timer := time.NewTimer(time.Until(began.Add(wait)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			return
		case <-c.moved:
			timer.Stop()
		}
	}
}

func (c *Controller) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lease.RenewInterval(c.options.LeaseTime))
	defer cancel()
	sent := time.Now()
	reply, err := c.options.RequestLease(ctx, &lilacv1.LeaseRequest{Name: LeaseName, DurationMs: uint32(c.options.LeaseTime.Milliseconds())})
	if err != nil {
		// Without an answer the lease ends by its own time.
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holding.Update(sent, reply)
}

// giveBack lets another begin at once, unless an order may still be in flight:
// then the lease has to run out.
func (c *Controller) giveBack() {
	if _, holds := c.HoldsLease(); !holds || c.engines.inFlight() {
		return
	}
	c.mu.Lock()
	c.holding = lease.Grant{}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), lease.RenewInterval(c.options.LeaseTime))
	defer cancel()
	_, _ = c.options.RequestLease(ctx, &lilacv1.LeaseRequest{Name: LeaseName})
}

// wishes lists the engines that any order names.
func wishes(view *model.View) []orders.Engine {
	byName := make(map[string]*orders.Engine)
	var names []string
	for _, o := range view.Orders {
		server := view.Servers[o.GetServer()]
		if server == nil {
			continue
		}
		e := byName[o.GetServer()]
		if e == nil {
			e = &orders.Engine{Name: server.GetName(), Address: server.GetAddress(), ChecksFencing: server.GetChecksFencing(), Desired: make(map[orders.Model]bool)}
			byName[o.GetServer()] = e
			names = append(names, o.GetServer())
		}
		e.Desired[orders.Model{Name: o.GetModel(), Adapter: o.GetAdapter()}] = o.GetLoaded()
	}
	list := make([]orders.Engine, 0, len(names))
	for _, name := range names {
		list = append(list, *byName[name])
	}
	return list
}
