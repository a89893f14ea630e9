package scaling

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/version/routing"
)

// bill adds up what a run costs, in hundredths of an ordinary replica for a quarter of a second, and how
// far its replicas fall short of the load. The price is a whole number, whose sum does not depend on
// the order of its parts.
type bill struct {
	price           int
	shortage, calls float64
}

// play runs the platform for d under a load that changes each second, and returns the bill.
func (p *fakePlatform) play(d time.Duration, load func(time.Duration) float64) (b bill) {
	prices := map[string]int{"a": 100, "b": 120, "c": 80}
	before := p.orders
	for at := time.Duration(0); at < d; at += 250 * time.Millisecond {
		p.load = load(at)
		p.run(250 * time.Millisecond)
		for key, count := range p.ready {
			price := prices[key.DataCenter]
			if key.Reclaimable {
				price /= 5
			}
			b.price += price * count
		}
		b.shortage += 0.25 * max(0, p.load-float64(p.total(true)+p.total(false)))
	}
	b.calls = float64(p.orders - before)
	return b
}

// pricedPlatform returns a platform whose core scales by price or not, with the load of 10 replicas
// carried by reclaimable ones.
func pricedPlatform(byPrice bool) *fakePlatform {
	p := newFakePlatform(6)
	options := Options{TargetUse: 0.3, ShrinkAfter: 20 * time.Second}
	if byPrice {
		options.OrdinaryUse = 0.67
	}
	p.core = New(options)
	p.load = 10
	p.run(30 * time.Second)
	return p
}

// reclaim takes away the reclaimable replicas of a data centre; none are to be had anywhere.
func (p *fakePlatform) reclaim(dataCenter string) {
	p.ready[replicaGroup(dataCenter, true)] = 0
	for _, dataCenter := range dataCenters {
		p.unavailable[dataCenter] = true
	}
}

func playBoth(t *testing.T, change func(*fakePlatform), load func(time.Duration) float64) (before, after bill) {
	for _, byPrice := range []bool{false, true} {
		p := pricedPlatform(byPrice)
		change(p)
		b := p.play(30*time.Second, load)
		t.Logf("by price %v: bill %d, shortage %.1f, %.0f calls", byPrice, b.price, b.shortage, b.calls)
		if byPrice {
			after = b
		} else {
			before = b
		}
	}
	return before, after
}

func steadyLoad(time.Duration) float64 { return 10 }

// A reclaim while no reclaimable replicas are to be had: guards against ordinary replicas in the
// place of spare ones, which cost five times as much.
func TestReclaimWithNothingToBeHadBuysNoSpareReplicas(t *testing.T) {
	is := is.New(t)
	before, after := playBoth(t, func(p *fakePlatform) { p.reclaim("a") }, steadyLoad)
	is.True(float64(after.price) < 0.8*float64(before.price))
	is.Equal(after.shortage, 0.0)
}

// All reclaimable replicas go: guards against a load that nothing carries.
func TestReclaimOfAllReplicasBuysWhatTheLoadNeeds(t *testing.T) {
	is := is.New(t)
	before, after := playBoth(t, func(p *fakePlatform) {
		for _, dataCenter := range dataCenters {
			p.reclaim(dataCenter)
		}
	}, steadyLoad)
	is.True(after.price < before.price)
	is.True(after.shortage <= before.shortage)
}

// A wave of load, and a burst on top of it: guards against savings that the load misses.
func TestWaveOfLoadWithPricesIsCarried(t *testing.T) {
	is := is.New(t)
	before, after := playBoth(t, func(*fakePlatform) {}, func(at time.Duration) float64 {
		wave := []float64{8, 10, 12.5, 10}[int(at/(2750*time.Millisecond))%4]
		if at > 12*time.Second && at < 18*time.Second {
			wave *= 2.5
		}
		return wave
	})
	is.True(after.price <= before.price)
	is.True(after.shortage <= before.shortage)
}

// Guards against instances that decide differently upon the same input, by the order of a map.
func TestSameInputGivesTheSameOrders(t *testing.T) {
	is := is.New(t)
	play := func() []Order {
		p := pricedPlatform(true)
		p.reclaim("a")
		p.play(30*time.Second, func(at time.Duration) float64 { return 10 + at.Seconds() })
		return p.history
	}
	first := play()
	for range 50 {
		is.Equal(play(), first)
	}
}

// Guards against orders for both kinds of replicas of a data centre that come in the order of a map.
func TestOrdersOfEqualGrowthHaveOneOrder(t *testing.T) {
	is := is.New(t)
	ordinary, cheap := replicaGroup("a", false), replicaGroup("a", true)
	s := &service{groups: map[routing.ReplicaGroup]*group{ordinary: {}, cheap: {}}}
	list, reversed := []Order{{Group: ordinary, Replicas: 2}, {Group: cheap, Replicas: 2}}, []Order{{Group: cheap, Replicas: 2}, {Group: ordinary, Replicas: 2}}
	s.sortByGrowth(list)
	s.sortByGrowth(reversed)
	is.Equal(list, reversed)
}

// A burst right after a reclaim: guards against too few replicas while none are to be had.
func TestBurstAfterReclaimIsCarried(t *testing.T) {
	is := is.New(t)
	before, after := playBoth(t, func(p *fakePlatform) { p.reclaim("c") }, func(at time.Duration) float64 {
		if at > 2*time.Second && at < 9*time.Second {
			return 20
		}
		return 10
	})
	is.True(after.price < before.price)
	is.Equal(after.shortage, 0.0)
}

// There is no load yet: guards against ordinary replicas that go before those in their place serve.
func TestReplicasFoundStayUntilOthersServe(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(10)
	p.core = New(Options{TargetUse: 0.3, ShrinkAfter: 20 * time.Second, OrdinaryUse: 0.67})
	p.lowest = 30
	p.run(15 * time.Second)
	is.Equal(p.lowest, 30)
	is.Equal(p.total(true), 30)
}

// The platform has nothing: guards against a call each second for as long as that lasts.
func TestRefusedOrdersBackOff(t *testing.T) {
	is := is.New(t)
	p := pricedPlatform(true)
	p.refusing = true
	b := p.play(30*time.Second, func(time.Duration) float64 { return 18 })
	is.True(b.calls <= 30.0/(1<<maxBackoffSteps)*2*float64(len(dataCenters))+12)
}
