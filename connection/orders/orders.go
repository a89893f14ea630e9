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
	// Lease asks the state processes, as stateclient.Client does.
	Lease func(context.Context, *lilacv1.LeaseRequest) (*lilacv1.LeaseReply, error)
	// Client makes the calls to engines; nil means one of the Giver's own.
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

// Giver gives orders while it holds the lease.
type Giver struct {
	options Options
	engines engines
	events  chan orders.Event

	// position among those who ask for the lease, and that it changed.
	position atomic.Int64
	moved    chan struct{}

	mu      sync.Mutex
	holding lease.Grant
}

// New returns a Giver that does nothing until Run.
func New(o Options) *Giver {
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
	g := &Giver{options: o, events: make(chan orders.Event, 16), moved: make(chan struct{}, 1)}
	g.engines = newEngines(o.Client, g.valid, o.OrderTimeout)
	return g
}

// valid tells whether this instance may still act under the number.
func (g *Giver) valid(fencing uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holding.Valid(time.Now()) && g.holding.Fencing() == fencing
}

// Holds tells whether this instance holds the lease, and under which number.
func (g *Giver) Holds() (fencing uint64, holds bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holding.Fencing(), g.holding.Valid(time.Now())
}

// Run asks for the lease and gives orders while it holds it, until ctx ends. It
// then gives the lease back, unless an order is still in flight.
func (g *Giver) Run(ctx context.Context) error {
	core := orders.NewCore(g.options.LoadsPerMinute, g.options.OrderTimeout)
	var work sync.WaitGroup
	defer work.Wait()
	work.Go(func() { g.keepLease(ctx) })
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var seen *model.View
	step := func(event orders.Event) {
		for _, action := range core.Step(time.Now(), event) {
			g.act(ctx, &work, action)
		}
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-g.events:
			step(event)
		case <-ticker.C:
			if view := g.options.View(); view != nil && view != seen {
				seen = view
				step(orders.Configured{Engines: wishes(view)})
			}
			step(g.standing())
		}
	}
}

// standing tells the core whether the lease holds at this moment.
func (g *Giver) standing() orders.Event {
	if fencing, holds := g.Holds(); holds {
		return orders.LeaseHeld{Fencing: fencing}
	}
	return orders.LeaseLost{}
}

func (g *Giver) act(ctx context.Context, work *sync.WaitGroup, action orders.Action) {
	switch a := action.(type) {
	case orders.Read:
		work.Go(func() { g.send(ctx, g.engines.read(ctx, a)) })
	case orders.Order:
		g.options.Logger.Info("order", "engine", a.Engine.Name, "model", a.Model.Name, "adapter", a.Model.Adapter, "load", a.Load, "fencing", a.Fencing)
		work.Go(func() { g.send(ctx, g.engines.order(ctx, a)) })
	case orders.AbandonLease:
		g.mu.Lock()
		g.holding = lease.Grant{}
		g.mu.Unlock()
	}
}

func (g *Giver) send(ctx context.Context, event orders.Event) {
	select {
	case g.events <- event:
	case <-ctx.Done():
	}
}

// SetPosition tells how many live entries of the data centre rank above this
// one; the first few ask for the lease often. It is 0 at first.
func (g *Giver) SetPosition(position int) {
	if g.position.Swap(int64(position)) == int64(position) {
		return
	}
	select {
	case g.moved <- struct{}{}:
	default:
	}
}

// keepLease asks for the lease, often while it is held and seldom while another
// holds it.
func (g *Giver) keepLease(ctx context.Context) {
	for ctx.Err() == nil {
		_, held := g.Holds()
		g.ask(ctx)
		_, holds := g.Holds()
		if held != holds {
			g.options.Logger.Info("lease for orders", "held", holds)
		}
		g.pause(ctx, holds)
	}
	g.giveBack()
}

// pause waits for the next request's turn.
//
// It guards against a takeover that comes late because the next in rank still
// sleeps as long as its old place told it to: the turn is counted anew, from
// the same start, when the place changes.
func (g *Giver) pause(ctx context.Context, holds bool) {
	began, part := time.Now(), rand.Float64()
	for {
		wait := lease.RenewInterval(g.options.LeaseTime)
		if !holds {
			wait = lease.RequestInterval(g.options.LeaseTime, int(g.position.Load()), part)
		}
		timer := time.NewTimer(time.Until(began.Add(wait)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			return
		case <-g.moved:
			timer.Stop()
		}
	}
}

func (g *Giver) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lease.RenewInterval(g.options.LeaseTime))
	defer cancel()
	sent := time.Now()
	reply, err := g.options.Lease(ctx, &lilacv1.LeaseRequest{Name: LeaseName, DurationMs: uint32(g.options.LeaseTime.Milliseconds())})
	if err != nil {
		// Without an answer the lease ends by its own time.
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holding.Update(sent, reply)
}

// giveBack lets another begin at once, unless an order may still be in flight:
// then the lease has to run out.
func (g *Giver) giveBack() {
	if _, holds := g.Holds(); !holds || g.engines.inFlight() {
		return
	}
	g.mu.Lock()
	g.holding = lease.Grant{}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), lease.RenewInterval(g.options.LeaseTime))
	defer cancel()
	_, _ = g.options.Lease(ctx, &lilacv1.LeaseRequest{Name: LeaseName})
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
