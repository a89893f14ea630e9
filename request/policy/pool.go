package policy

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/request/queue"
	"github.com/lilacbridge/lilacbridge/request/tiers"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// tightFor is how long a class's target and share bind the pool after its last request.
const tightFor = time.Minute

// pool is a model or service with its servers and what waits for it.
type pool struct {
	name    string
	service bool
	servers []*server
	queue   *queue.Queue
	tiers   *tiers.Table
	// running are the requests that this instance runs in the pool.
	running []*request
	byPlace tiers.Demand
	// quarantine holds suspects that wait for their trial.
	quarantine []*request
	// parked holds copies that may only join the first; see identical.
	parked []*request
	// tight is the tightest target between tokens of the classes in use.
	tight time.Duration
	// lastLevel is the last of the levels that any instance's requests have at engines.
	lastLevel int
	// lastTier and lastRank are the least urgent ones of the classes in use anywhere.
	lastTier, lastRank int
	// shares are the guaranteed ones of the same classes.
	shares tiers.Shares
	used   map[string]*classUse
	uses   []*classUse
	// capacity is how many requests the pool runs within targets, quota this
	// instance's part of it, rate its tokens a second, gap its mean gap.
	capacity, quota, rate float64
	gap                   time.Duration
	// engine is what was learned of engines with large batches.
	engine *engineModel
	// reading is the usual time for a prompt token, in seconds: the median of the
	// servers. What a prompt is worth where it is held goes by this one, since the
	// servers' own rates differ more by chance than they do.
	reading float64
	// rates is kept to spare an allocation each time.
	rates []float64
	// work is what the lanes are sized by, sizes their engines by data centre, and
	// hasLane tells which there are; see lanes.
	work    laneWork
	sizes   map[string][lanes]int
	hasLane [lanes]bool
	// toldWork is true while others tell their work.
	toldWork bool
	// plan is the division into lanes of another instance that goes before the own one;
	// empty for none. beside is the own gap beside long prompts, in seconds.
	plan   loadboard.LanePlan
	beside float64
	// openAt is when a server was last open, progressAt when one last sent
	// anything to this instance, rejectedAt when an attempt last failed.
	openAt, progressAt, rejectedAt time.Time
	// fullSince is since when requests of a place or of those before it wait for want of
	// room; zero while none do.
	fullSince [model.Places]time.Time
	// bound is how many requests of each level may wait while the pool is full; see full.
	bound [model.Levels]float64
	// starts is the rate at which requests start here, a second; laneStarts the same by the
	// lane of their engine.
	starts     float64
	laneStarts [lanes]float64
	// expected is how many slots the requests of each place will occupy, split how many
	// those of this instance may; see expected.go.
	expected, split tiers.Demand
	// dirty is true while waiting requests may have found room.
	dirty bool
}

type classUse struct {
	class *lilacv1.Class
	at    time.Time
	flow  flow
}

func newPool(name string, now time.Time) *pool {
	p := &pool{name: name, queue: queue.New(), tiers: tiers.NewTable(name, now), used: make(map[string]*classUse), quota: 1, rate: 1, work: newLaneWork(), engine: newEngineModel(), reading: firstPrefill, sizes: make(map[string][lanes]int), openAt: now, progressAt: now}
	for level := range p.bound {
		p.bound[level] = boundMost
	}
	return p
}

// use notes that a class's requests come to the pool.
func (p *pool) use(class *lilacv1.Class, now time.Time) {
	u := p.used[class.GetName()]
	if u == nil {
		u = &classUse{}
		p.used[class.GetName()] = u
		p.uses = append(p.uses, u)
	}
	u.class, u.at = class, now
	p.queue.SetShare(class.GetName(), shareOf(class))
	p.tighten(now)
}

// defaultShare is the guaranteed share of a class that states none.
const defaultShare = 0.02

func shareOf(class *lilacv1.Class) float64 {
	if class.GetSharePermille() == 0 {
		return defaultShare
	}
	return float64(class.GetSharePermille()) / 1000
}

// tighten brings what the classes in use ask of the pool up to date.
func (p *pool) tighten(now time.Time) {
	p.tight, p.shares = 0, tiers.Shares{}
	others := p.tiers.OthersDemand()
	p.lastLevel, p.lastTier = min(others.LastPlace(), lateEngineLevel-1), others.LastTier()
	p.lastRank = model.RankOf(max(others.LastPlace(), 0))
	for _, u := range p.uses {
		if now.Sub(u.at) >= tightFor {
			continue
		}
		p.shares[placeOf(u.class)] += shareOf(u.class)
		p.lastLevel = max(p.lastLevel, engineLevelOf(u.class))
		p.lastTier = max(p.lastTier, int(u.class.GetTier()))
		p.lastRank = max(p.lastRank, model.RankOf(placeOf(u.class)))
		target := time.Duration(u.class.GetBetweenTokensMs()) * time.Millisecond
		if target > 0 && (p.tight == 0 || target < p.tight) {
			p.tight = target
		}
	}
}

// lateSlots is how many slots the late requests of one place ask for together.
const lateSlots = 4

// demand is what this instance asks slots for. What waits and is late asks for
// few: it can't meet its target any more, and starts in what others leave. A
// burst's late requests would otherwise hold slots back from requests of lower
// tiers, and of other instances, that still can. The few keep an instance
// without the burst from losing its place to it.
func (p *pool) demand() tiers.Demand {
	demand := p.byPlace
	for level := range model.Levels {
		waiting, late := p.queue.LevelLen(level)
		demand[model.PlaceOf(level)] += float64(waiting - late + min(late, lateSlots))
	}
	return demand
}

// runs is how many requests of the place and of those before it this instance
// runs. Only these count against the quota for a request of the place. While a
// burst of a later place waits elsewhere the quota holds few slots; if answers of
// that place that run here counted, an urgent request would wait seconds for their
// ends, although its own demand won it a slot. What runs above the quota is at
// most what ran of later places, and the servers' limits hold in any case.
func (p *pool) runs(place int) float64 {
	sum := 0.0
	for _, running := range p.byPlace[:place+1] {
		sum += running
	}
	return sum
}

// measure works out capacity, quota and rate from what is known of the servers.
func (p *pool) measure(now time.Time) {
	p.tighten(now)
	p.learnEngines()
	p.measureReading()
	p.formLanes(now, p.toldWork)
	p.capacity, p.rate, p.gap = 0, 0, 0
	open, norms := 0, 0.0
	for _, s := range p.servers {
		if s.closed() || s.cut || now.Before(s.leavingUntil) || now.Before(s.ejectedUntil) {
			continue
		}
		open++
		norms += s.norm
		n := s.limit(s.paced(p, 0), p.tight)
		if s.limited.Advertised {
			n = min(n, s.limited.PerSecond*limitedSlotTime.Seconds())
		}
		p.capacity += n
		p.rate += s.rateAt(n)
		p.gap += s.gapAt(n)
	}
	if open > 0 {
		p.gap /= time.Duration(open)
		for _, s := range p.servers {
			s.fade(now, norms/float64(open))
		}
	}
	p.splitSlots()
	if p.capacity > 0 {
		p.rate *= min(1, p.quota/p.capacity)
	}
	p.rate = max(p.rate, 1)
}

// learnEngines brings the engines' estimates up to date with what was measured.
func (p *pool) learnEngines() {
	for i, s := range p.servers {
		if s.engine == nil {
			return
		}
		if i == 0 {
			p.engine.settle(float64(s.slots))
		}
		s.applyEngineModel()
	}
}

// readTime is the usual time for prompt tokens in the pool.
func (p *pool) readTime(tokens float64) time.Duration {
	return time.Duration(p.reading * tokens * float64(time.Second))
}

func (p *pool) measureReading() {
	p.rates = p.rates[:0]
	for _, s := range p.servers {
		p.rates = append(p.rates, s.prefill)
	}
	if len(p.rates) > 0 {
		slices.Sort(p.rates)
		p.reading = p.rates[len(p.rates)/2]
	}
}

// rateAt is the tokens a second, or a service's answers, at load n.
func (s *server) rateAt(n float64) float64 {
	if s.service {
		return float64(s.slots) / s.answer
	}
	return n / s.gapAt(n).Seconds()
}

// wait is how long the queue takes at this instance's rate.
func (p *pool) wait() time.Duration {
	return time.Duration(p.queue.Cost() / p.rate * float64(time.Second))
}

func (p *pool) attach(r *request) {
	r.poolIndex = len(p.running)
	p.running = append(p.running, r)
	p.byPlace[placeOf(r.class)]++
}

func (p *pool) detach(r *request) {
	last := len(p.running) - 1
	p.running[r.poolIndex] = p.running[last]
	p.running[r.poolIndex].poolIndex = r.poolIndex
	p.running[last] = nil
	p.running = p.running[:last]
	p.byPlace[placeOf(r.class)]--
}
