package scaling

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/version/routing"
)

var dataCenters = []string{"a", "b", "c"}

// fakePlatform carries out orders: new replicas serve after bootTime.
type fakePlatform struct {
	now     time.Time
	core    *Core
	ordered map[routing.ReplicaGroup]int
	ready   map[routing.ReplicaGroup]int
	booting []boot
	// unavailable are data centres without reclaimable replicas, down is true if calls get no
	// answer, refusing if all are refused.
	unavailable    map[string]bool
	down, refusing bool
	load           float64
	orders         int
	// history holds the orders given, in order.
	history []Order
	lowest  int
}

type boot struct {
	group routing.ReplicaGroup
	at    time.Time
}

const bootTime = 4 * time.Second

func newFakePlatform(ordinary int) *fakePlatform {
	p := &fakePlatform{
		now: time.Unix(1_764_700_000, 0), ordered: make(map[routing.ReplicaGroup]int), ready: make(map[routing.ReplicaGroup]int),
		unavailable: make(map[string]bool), core: New(Options{TargetUse: 0.5, ShrinkAfter: 20 * time.Second}),
	}
	for _, dataCenter := range dataCenters {
		p.ready[replicaGroup(dataCenter, false)] = ordinary
	}
	return p
}

func replicaGroup(dataCenter string, reclaimable bool) routing.ReplicaGroup {
	return routing.ReplicaGroup{Service: "llm", DataCenter: dataCenter, Reclaimable: reclaimable}
}

func (p *fakePlatform) total(reclaimable bool) int {
	sum := 0
	for _, dataCenter := range dataCenters {
		sum += p.ready[replicaGroup(dataCenter, reclaimable)]
	}
	return sum
}

// run plays the time d in steps of 250 ms.
func (p *fakePlatform) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(250 * time.Millisecond) {
		p.boot()
		p.step()
		p.lowest = min(p.lowest, p.total(true)+p.total(false))
	}
}

func (p *fakePlatform) boot() {
	var waiting []boot
	for _, b := range p.booting {
		if p.now.Before(b.at) {
			waiting = append(waiting, b)
			continue
		}
		p.ready[b.group]++
	}
	p.booting = waiting
}

func (p *fakePlatform) step() {
	scaling := &routing.Scaling{Minimum: 1, Maximum: 20, BootTime: bootTime, ReclaimablePrice: 0.2, Prices: map[string]float64{"a": 1, "b": 1.2, "c": 0.8}}
	p.core.Step(p.now, Configured{Services: []routing.Service{{Name: "llm", Scaling: scaling}, {Name: "fixed"}}})
	var servers []routing.Server
	for key, count := range p.ready {
		for i := range count {
			servers = append(servers, routing.Server{Name: fmt.Sprint(key, i), Service: key.Service, DataCenter: key.DataCenter, Reclaimable: key.Reclaimable})
		}
	}
	p.core.Step(p.now, Listed{Servers: servers})
	p.core.Step(p.now, Load{Service: "llm", Replicas: p.load})
	for _, order := range p.core.Step(p.now, Tick{}) {
		p.orders++
		p.history = append(p.history, order)
		p.core.Step(p.now, Answered{Order: order, Outcome: p.carryOut(order)})
	}
}

func (p *fakePlatform) carryOut(order Order) Outcome {
	switch {
	case p.down:
		return Unknown
	case p.refusing:
		return Refused
	case order.Group.Reclaimable && p.unavailable[order.Group.DataCenter]:
		return Refused
	}
	have := p.ready[order.Group]
	for _, b := range p.booting {
		if b.group == order.Group {
			have++
		}
	}
	for ; have < order.Replicas; have++ {
		p.booting = append(p.booting, boot{order.Group, p.now.Add(bootTime)})
	}
	p.ready[order.Group] = min(p.ready[order.Group], order.Replicas)
	return Accepted
}

// Guards against capacity that is taken away before what replaces it serves.
func TestReclaimableReplicasReplaceOrdinaryOnesOnceReady(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(10)
	p.lowest = 30
	p.run(15 * time.Second)
	is.Equal(p.total(true), 30)
	is.Equal(p.total(false), 0)
	is.Equal(p.lowest, 30)
}

// All reclaimable replicas of a data centre are reclaimed, or all of them. Guards against a
// gap until the platform has such replicas again.
func TestReclaimedReplicasAreReplaced(t *testing.T) {
	for name, gone := range map[string][]string{"one data centre": {"a"}, "all": dataCenters} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newFakePlatform(10)
			p.load = 15
			p.run(15 * time.Second)
			for _, dataCenter := range gone {
				p.ready[replicaGroup(dataCenter, true)] = 0
				p.unavailable[dataCenter] = true
			}
			p.run(10 * time.Second)
			is.True(p.total(true)+p.total(false) >= 30)
			clear(p.unavailable)
			p.run(30 * time.Second)
			is.Equal(p.total(false), 0)
			for _, dataCenter := range dataCenters {
				is.True(p.ready[replicaGroup(dataCenter, true)] >= 6)
			}
		})
	}
}

// Traffic rises and falls by a quarter with a period of 11 s. Guards against replicas that
// come and go with each wave, with cold caches each time.
func TestWavesOfTrafficMoveNoReplicas(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(10)
	wave := func(periods int) {
		for range periods {
			for _, load := range []float64{10, 12.5, 15, 12.5} {
				p.load = load
				p.run(2750 * time.Millisecond)
			}
		}
	}
	wave(4)
	before := p.orders
	wave(4)
	is.Equal(p.orders, before)
	is.Equal(p.total(true), 30)
}

// Load triples within a second, and stays low later. Guards against growth that waits, and
// against replicas that stay after the burst.
func TestReplicasFollowTheLoad(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(4)
	p.load = 3
	p.run(30 * time.Second)
	is.Equal(p.total(true), 6)
	p.load = 12
	p.run(bootTime + time.Second)
	is.True(p.total(true) >= 24)
	is.True(p.total(true) <= 28) // growthStep beyond what the load needs
	p.load = 2
	p.run(45 * time.Second)
	is.Equal(p.total(true), 4)
	for _, dataCenter := range dataCenters {
		is.True(p.ready[replicaGroup(dataCenter, true)]+p.ready[replicaGroup(dataCenter, false)] >= 1) // the minimum
	}
}

// The holder changes while there are no reports of load yet. Guards against a new holder that
// takes replicas away for lack of knowledge.
func TestNewHolderWithoutLoadRemovesNothing(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(10)
	p.load = 14
	p.run(40 * time.Second)
	before := p.total(true)
	p.core, p.load = New(p.core.options), 0
	p.run(40 * time.Second)
	is.Equal(p.total(true), before)
}

// Calls get no answer. Guards against orders that are lost, and against a call each tick.
func TestOrderWithoutAnswerIsRepeated(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(10)
	p.down = true
	p.run(5 * time.Second)
	is.True(p.orders <= 3*6)
	p.down = false
	p.run(15 * time.Second)
	is.Equal(p.total(true), 30)
	is.Equal(p.total(false), 0)
}

// The platform has no replicas of either kind. Guards against a call each tick.
func TestRefusedOrdersArePaced(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(10)
	p.refusing, p.load = true, 30
	p.run(10 * time.Second)
	is.True(p.orders <= 10*len(dataCenters)*2)
}

// An order is undone by a late call of an earlier holder. Guards against a difference that
// stays.
func TestDifferentNumberIsOrderedAgain(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(10)
	p.run(15 * time.Second)
	p.ready[replicaGroup("a", true)] = 3
	p.run(20 * time.Second)
	is.Equal(p.total(true), 30)
}

// The list of servers is outdated. Guards against orders from a cut-off holder's view.
func TestNoOrdersOnAnOutdatedList(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(10)
	p.step()
	is.Equal(len(p.core.Step(p.now.Add(listTTL+time.Second), Tick{})), 0)
}
