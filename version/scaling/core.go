// Package scaling decides how many replicas of each service to order from the platform, by
// data centre and kind. It has no input or output.
//
// The number follows the load of all instances, as the number of replicas that would carry
// it at full use. The largest of the recent loads counts, so that a wave of traffic moves
// no replicas, and growth precedes shrinking by the length of that memory. Replicas of the
// kind that the platform may reclaim are preferred where they are cheaper; their number is
// even over the data centres, so that a reclaim takes the smallest share. An order is a
// desired number, which is stated again if the list of servers does not show it.
package scaling

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

// Options are the weights of the decision.
type Options struct {
	// TargetUse is the share of the replicas' capacity that the load may use.
	TargetUse float64
	// ShrinkAfter is how long the load must have been lower before replicas are removed.
	ShrinkAfter time.Duration
	// OrdinaryUse is the same for the replicas that ordinary ones are ordered for, which cost more.
	// Up to TargetUse there is no difference.
	OrdinaryUse float64
}

const (
	// loadTTL is the age from which a load is too old to act on.
	loadTTL = 5 * time.Second
	// listTTL is the age from which the list of servers is too old to act on.
	listTTL = 5 * time.Second
	// listLag is how long the list may take to show the effect of an order, in addition to
	// the boot time.
	listLag = 3 * time.Second
	// refusedFor is how long a kind of replica counts as unavailable in a data centre after
	// an order was refused or its replicas were reclaimed.
	refusedFor = 8 * time.Second
	// growthStep is the share by which growth goes beyond what the load needs, so that a
	// load that rises for some seconds changes the set of replicas once: each change moves
	// prompts to replicas that have to read them.
	growthStep = 0.15
	// retryAfter is the pause after a call that was refused or got no answer.
	retryAfter = time.Second
)

// Event is an input of Step.
type Event interface{ event() }

// Configured replaces the services; those without scaling are ignored.
type Configured struct{ Services []routing.Service }

// Listed replaces the list of servers.
type Listed struct{ Servers []routing.Server }

// Load is the load of a service in all instances together.
type Load struct {
	Service string
	// Replicas is the number of replicas that would carry the load at full use.
	Replicas float64
}

// Answered is the platform's answer to an order.
type Answered struct {
	Order   Order
	Outcome Outcome
}

// Tick asks for the orders that are due.
type Tick struct{}

func (Configured) event() {}
func (Listed) event()     {}
func (Load) event()       {}
func (Answered) event()   {}
func (Tick) event()       {}

// Outcome is the result of an order.
type Outcome int

const (
	// Accepted orders take effect.
	Accepted Outcome = iota
	// Refused orders have no effect: no such replicas are available.
	Refused
	// Unknown orders may take effect later.
	Unknown
)

// Order is the only action: state the desired number of replicas of a group.
type Order struct {
	Group    routing.ReplicaGroup
	Replicas int
	// Reason says why, for logs.
	Reason string
}

// Core holds the state. It is not safe for concurrent use.
type Core struct {
	options  Options
	services map[string]*service
	listedAt time.Time
}

type service struct {
	name    string
	scaling routing.Scaling
	loads   []loadSample
	// firstLoadAt is when the load was first above 0.
	firstLoadAt time.Time
	groups      map[routing.ReplicaGroup]*group
	total       int
	// needed is the number of replicas, of total, that the load needs whatever they cost.
	needed int
	reason string
}

type loadSample struct {
	at       time.Time
	replicas float64
}

// group is the state of one kind of replica in one data centre.
type group struct {
	// ready is the number of servers listed as ready, found the most that were before this
	// holder gave an order.
	ready, found int
	// ordered is the number last ordered by this holder, -1 for none, at orderedAt.
	ordered   int
	orderedAt time.Time
	// unavailableUntil is when orders that grow the group are worth trying again.
	unavailableUntil time.Time
	// retryAt is when an order that was refused or got no answer is repeated; refusals counts the
	// refusals since an order was last accepted.
	retryAt  time.Time
	refusals int
}

// New returns a Core without services.
func New(options Options) *Core {
	return &Core{options: options, services: make(map[string]*service)}
}

// Step applies an event and returns the orders to give now.
func (c *Core) Step(now time.Time, event Event) []Order {
	switch e := event.(type) {
	case Configured:
		c.configure(e.Services)
	case Listed:
		c.list(now, e.Servers)
	case Load:
		c.observeLoad(now, e)
	case Answered:
		c.answered(now, e)
	case Tick:
		return c.orders(now)
	}
	return nil
}

func (c *Core) configure(services []routing.Service) {
	known := make(map[string]bool)
	for i := range services {
		scaling := services[i].Scaling
		if scaling == nil || scaling.Maximum == 0 {
			continue
		}
		name := services[i].Name
		known[name] = true
		s := c.services[name]
		if s == nil {
			s = &service{name: name, groups: make(map[routing.ReplicaGroup]*group)}
			c.services[name] = s
		}
		s.scaling = *scaling
	}
	maps.DeleteFunc(c.services, func(name string, _ *service) bool { return !known[name] })
}

// list counts the ready servers of each group. Servers that the platform reclaims are those
// of a reclaimable group that begin to leave although it was not ordered to shrink.
func (c *Core) list(now time.Time, servers []routing.Server) {
	c.listedAt = now
	ready := make(map[routing.ReplicaGroup]int)
	leaving := make(map[routing.ReplicaGroup]int)
	for i := range servers {
		server := &servers[i]
		key := routing.ReplicaGroup{Service: server.Service, DataCenter: server.DataCenter, Reclaimable: server.Reclaimable}
		if server.Draining {
			leaving[key]++
		} else {
			ready[key]++
		}
	}
	for _, s := range c.services {
		for key, count := range ready {
			if key.Service == s.name && count > 0 {
				s.group(key)
			}
		}
		for key, g := range s.groups {
			if key.Reclaimable && leaving[key] > 0 && ready[key] < min(g.ready, g.ordered) {
				g.unavailableUntil = now.Add(refusedFor)
			}
			g.ready = ready[key]
			if g.ordered < 0 {
				g.found = max(g.found, g.ready)
			}
		}
	}
}

func (s *service) group(key routing.ReplicaGroup) *group {
	g := s.groups[key]
	if g == nil {
		g = &group{ordered: -1}
		s.groups[key] = g
	}
	return g
}

func (c *Core) observeLoad(now time.Time, load Load) {
	s := c.services[load.Service]
	if s == nil {
		return
	}
	if s.firstLoadAt.IsZero() && load.Replicas > 0 {
		s.firstLoadAt = now
	}
	s.loads = append(s.loads, loadSample{now, load.Replicas})
	s.loads = slices.DeleteFunc(s.loads, func(l loadSample) bool { return now.Sub(l.at) > c.options.ShrinkAfter })
}

func (c *Core) answered(now time.Time, a Answered) {
	s := c.services[a.Order.Group.Service]
	if s == nil {
		return
	}
	g := s.group(a.Order.Group)
	g.orderedAt = now
	switch a.Outcome {
	case Accepted:
		g.ordered, g.retryAt, g.refusals = a.Order.Replicas, time.Time{}, 0
	case Refused:
		g.unavailableUntil, g.retryAt = now.Add(refusedFor), now.Add(retryAfter)
		if s.sparesCheapOnly(c.options) {
			g.retryAt = now.Add(retryAfter << min(g.refusals, maxBackoffSteps))
		}
		g.refusals++
	case Unknown:
		g.retryAt = now.Add(retryAfter)
	}
}

// orders returns the orders that are due, growing groups first.
func (c *Core) orders(now time.Time) []Order {
	if now.Sub(c.listedAt) > listTTL {
		return nil
	}
	var list []Order
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		list = append(list, c.services[name].orders(now, c.options)...)
	}
	return list
}

func (s *service) orders(now time.Time, options Options) []Order {
	dataCenters := s.dataCenters()
	if len(dataCenters) == 0 {
		return nil
	}
	s.setTotal(now, options)
	var list []Order
	desired := s.desired
	if s.sparesCheapOnly(options) {
		desired = s.desiredWithCheapSpares
	}
	for key, replicas := range desired(now, dataCenters) {
		g := s.group(key)
		if !s.due(now, key, g, replicas) {
			continue
		}
		list = append(list, Order{key, replicas, s.reason})
	}
	s.sortByGrowth(list)
	return list
}

// sortByGrowth sorts orders for different groups, growing groups first, into the one order that all
// instances choose.
func (s *service) sortByGrowth(list []Order) {
	slices.SortFunc(list, func(a, b Order) int {
		growth := func(o Order) int { return o.Replicas - s.groups[o.Group].ready }
		byKind := 0
		if a.Group.Reclaimable != b.Group.Reclaimable {
			byKind = 1
			if a.Group.Reclaimable {
				byKind = -1
			}
		}
		return cmp.Or(growth(b)-growth(a), cmp.Compare(a.Group.DataCenter, b.Group.DataCenter), byKind)
	})
}

// dataCenters returns the data centres in which the service runs.
func (s *service) dataCenters() []string {
	found := make(map[string]bool)
	for key := range s.groups {
		found[key.DataCenter] = true
	}
	return slices.Sorted(maps.Keys(found))
}

// found returns how many replicas there were without an order of this holder. Servers
// appear in the list one by one after they start.
func (s *service) found() int {
	total := 0
	for _, g := range s.groups {
		total += g.found
	}
	return total
}

// setTotal sets the number of replicas wanted in all data centres together.
//
// Without a recent load the number stays, so a new holder or a cut-off one removes
// nothing.
func (s *service) setTotal(now time.Time, options Options) {
	settled := !s.firstLoadAt.IsZero() && now.Sub(s.firstLoadAt) >= options.ShrinkAfter
	if found := s.found(); !settled && found > s.total {
		s.total, s.reason = found, "as found"
	}
	if !settled {
		s.needed = max(s.needed, s.found())
	}
	if len(s.loads) == 0 || now.Sub(s.loads[len(s.loads)-1].at) > loadTTL {
		return
	}
	peak := 0.0
	for _, l := range s.loads {
		peak = max(peak, l.replicas)
	}
	wanted := number.Int(math.Ceil(peak / options.TargetUse))
	if needed := number.Int(math.Ceil(peak / max(options.TargetUse, options.OrdinaryUse))); needed > s.needed || settled {
		s.needed = needed
	}
	if wanted > s.total || wanted < s.total && settled {
		if wanted > s.total {
			wanted += number.Int(growthStep * float64(wanted))
		}
		s.total = wanted
		s.reason = fmt.Sprintf("load of %.1f replicas in the last %v, to be at most %.0f%% of capacity", peak, options.ShrinkAfter, 100*options.TargetUse)
		if s.sparesCheapOnly(options) {
			s.reason += fmt.Sprintf(", %d also as ordinary ones", s.needed)
		}
	}
}

// due reports whether the order is to be given now.
func (s *service) due(now time.Time, key routing.ReplicaGroup, g *group, replicas int) bool {
	if now.Before(g.retryAt) {
		return false
	}
	if g.ordered < 0 {
		return replicas != g.ready
	}
	if replicas != g.ordered {
		return true
	}
	return replicas != g.ready && now.Sub(g.orderedAt) > s.scaling.BootTime+listLag
}
