// Package orders sends orders to load and unload models to engines, from the one instance
// that holds the lease for it.
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

// LeaseName is the name of the lease for sending orders.
const LeaseName = "orders"

const (
	defaultLeaseTime = 10 * time.Second
	// tickInterval is the interval of clock events to the core.
	tickInterval          = 500 * time.Millisecond
	defaultLoadsPerMinute = 30
)

// Options configure a Controller.
type Options struct {
	// View returns the view of the newest revision, or nil if there is none.
	View func() *model.View
	// RequestLease sends a lease request to the state processes, like
	// stateclient.Client.Lease.
	RequestLease func(context.Context, *lilacv1.LeaseRequest) (*lilacv1.LeaseReply, error)
	// Client makes the calls to engines; nil means a new one.
	Client *upstream.Client
	// LoadsPerMinute bounds the loads from the weight store. Default 30.
	LoadsPerMinute int
	// LeaseTime is the duration of a lease unless it is renewed. Default 10 s; tests use
	// shorter ones.
	LeaseTime time.Duration
	// OrderTimeout bounds the time that an order may be in flight. It must be the same
	// on all instances. Default 30 s; tests use shorter ones.
	OrderTimeout time.Duration
	// Logger logs each order and each change of the lease; may be nil.
	Logger hclog.Logger
}

// Controller sends orders while it holds the lease.
type Controller struct {
	options Options
	engines engineClient
	events  chan orders.Event

	// position is the rank among the entries that request the lease; positionChanged
	// signals a change of it.
	position        atomic.Int64
	positionChanged chan struct{}

	mu    sync.Mutex
	grant lease.Grant
}

// New returns a Controller; it sends nothing until Run is called.
func New(o Options) *Controller {
	if o.LoadsPerMinute <= 0 {
		o.LoadsPerMinute = defaultLoadsPerMinute
	}
	if o.LeaseTime <= 0 {
		o.LeaseTime = defaultLeaseTime
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
	c := &Controller{options: o, events: make(chan orders.Event, 16), positionChanged: make(chan struct{}, 1)}
	c.engines = newEngineClient(o.Client, c.valid, o.OrderTimeout)
	return c
}

// valid reports whether this instance still holds the lease with the fencing number.
func (c *Controller) valid(fencing uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.grant.Valid(time.Now()) && c.grant.Fencing() == fencing
}

// HoldsLease reports whether this instance holds the lease, and with which fencing number.
func (c *Controller) HoldsLease() (fencing uint64, holds bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.grant.Fencing(), c.grant.Valid(time.Now())
}

// Run requests the lease and sends orders while it holds the lease. When ctx ends, it
// releases the lease, unless an order is still in flight, and returns nil.
func (c *Controller) Run(ctx context.Context) error {
	core := orders.NewCore(c.options.LoadsPerMinute, c.options.OrderTimeout)
	var work sync.WaitGroup
	defer work.Wait()
	work.Go(func() { c.keepLease(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var lastView *model.View
	step := func(event orders.Event) {
		for _, action := range core.Step(time.Now(), event) {
			c.perform(ctx, &work, action)
		}
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-c.events:
			step(event)
		case <-ticker.C:
			if view := c.options.View(); view != nil && view != lastView {
				lastView = view
				step(orders.Configured{Engines: enginesOf(view)})
			}
			step(c.leaseEvent())
		}
	}
}

// leaseEvent returns the event that reports the current state of the lease to the core.
func (c *Controller) leaseEvent() orders.Event {
	if fencing, holds := c.HoldsLease(); holds {
		return orders.LeaseHeld{Fencing: fencing}
	}
	return orders.LeaseLost{}
}

func (c *Controller) perform(ctx context.Context, work *sync.WaitGroup, action orders.Action) {
	switch a := action.(type) {
	case orders.Read:
		work.Go(func() { c.send(ctx, c.engines.read(ctx, a)) })
	case orders.Order:
		c.options.Logger.Info("order", "engine", a.Engine.Name, "model", a.Model.Name, "adapter", a.Model.Adapter, "load", a.Load, "fencing", a.Fencing)
		work.Go(func() { c.send(ctx, c.engines.order(ctx, a)) })
	case orders.AbandonLease:
		c.mu.Lock()
		c.grant = lease.Grant{}
		c.mu.Unlock()
	}
}

func (c *Controller) send(ctx context.Context, event orders.Event) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

// SetPosition sets the number of live entries of the data centre that rank above this one,
// initially 0. The first few entries request the lease often.
func (c *Controller) SetPosition(position int) {
	if c.position.Swap(int64(position)) == int64(position) {
		return
	}
	select {
	case c.positionChanged <- struct{}{}:
	default:
	}
}

// keepLease requests and renews the lease until ctx ends, and then releases it. Requests are
// frequent while this instance holds the lease and rare while another one does.
func (c *Controller) keepLease(ctx context.Context) {
	for ctx.Err() == nil {
		_, held := c.HoldsLease()
		c.requestLease(ctx)
		_, holds := c.HoldsLease()
		if held != holds {
			c.options.Logger.Info("orders lease changed", "held", holds)
		}
		c.waitForNextRequest(ctx, holds)
	}
	c.releaseLease()
}

// waitForNextRequest waits until the next lease request is due. When the position changes,
// it computes the due time anew from the same start, so that an entry that has moved up in
// rank does not delay a takeover by the longer interval of its previous position.
func (c *Controller) waitForNextRequest(ctx context.Context, holds bool) {
	start, jitter := time.Now(), rand.Float64()
	for {
		wait := lease.RenewInterval(c.options.LeaseTime)
		if !holds {
			wait = lease.RequestInterval(c.options.LeaseTime, int(c.position.Load()), jitter)
		}
		timer := time.NewTimer(time.Until(start.Add(wait)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			return
		case <-c.positionChanged:
			timer.Stop()
		}
	}
}

func (c *Controller) requestLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lease.RenewInterval(c.options.LeaseTime))
	defer cancel()
	sent := time.Now()
	reply, err := c.options.RequestLease(ctx, &lilacv1.LeaseRequest{Name: LeaseName, DurationMs: uint32(c.options.LeaseTime.Milliseconds())})
	if err != nil {
		// Without an answer the lease expires on its own.
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grant.Update(sent, reply)
}

// releaseLease lets another instance take over immediately. While an order may still be in
// flight, the lease must expire instead.
func (c *Controller) releaseLease() {
	if _, holds := c.HoldsLease(); !holds || c.engines.inFlight() {
		return
	}
	c.mu.Lock()
	c.grant = lease.Grant{}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), lease.RenewInterval(c.options.LeaseTime))
	defer cancel()
	_, _ = c.options.RequestLease(ctx, &lilacv1.LeaseRequest{Name: LeaseName})
}

// enginesOf returns the engines that the orders of the view name.
func enginesOf(view *model.View) []orders.Engine {
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
