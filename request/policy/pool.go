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

// classUseWindow is how long a class's target and share bind the pool after its last request.
const classUseWindow = time.Minute

// pool is a model or service with its servers and what waits for it.
type pool struct {
	name    string
	service bool
	servers []*server
	queue   *queue.Queue
	tiers   *tiers.Table
	// running are the requests that this instance runs in the pool.
	running        []*request
	runningByPlace tiers.Demand
	// quarantine holds suspects that wait for their trial.
	quarantine []*request
	// parked holds copies that may only join the first; see identical.
	parked []*request
	// minBetween is the tightest target between tokens of the classes in use.
	minBetween time.Duration
	// lastLevel is the last of the levels that any instance's requests have at engines.
	lastLevel int
	// lastTier and lastRank are the least urgent ones of the classes in use anywhere.
	lastTier, lastRank int
	// shares are the guaranteed ones of the same classes.
	shares       tiers.Shares
	usageByClass map[string]*classUsage
	usages       []*classUsage
	// capacity is how many requests the pool runs within targets, quota this
	// instance's part of it, rate its tokens a second, gap its mean gap.
	capacity, quota, tokenRate float64
	meanGap                    time.Duration
	// engine is what was learned of engines with large batches.
	engine *engineModel
	// medianPrefill is the usual time for a prompt token, in seconds: the median of the
	// servers. What a prompt is worth where it is held goes by this one, since the
	// servers' own rates differ more by chance than they do.
	medianPrefill float64
	// prefillScratch is kept to spare an allocation each time.
	prefillScratch []float64
	// work is what the lanes are sized by, sizes their engines by data centre, and
	// hasLane tells which there are; see lanes.
	work    laneWork
	sizes   map[string][laneCount]int
	hasLane [laneCount]bool
	// otherWorkKnown is true while others tell their work.
	otherWorkKnown bool
	// plan is the division into lanes of another instance that goes before the own one;
	// empty for none. beside is the own gap beside long prompts, in seconds.
	plan          loadboard.LanePlan
	ownPrefillGap float64
	// openAt is when a server was last open, progressAt when one last sent
	// anything to this instance, rejectedAt when an attempt last failed.
	openAt, progressAt, rejectedAt time.Time
	// fullSince is since when requests of a place or of those before it wait for want of
	// room; zero while none do.
	fullSince [model.Places]time.Time
	// queueBounds is how many requests of each level may wait while the pool is full; see full.
	queueBounds [model.Levels]float64
	// startRate is the rate at which requests start here, a second; laneStarts the same by the
	// lane of their engine.
	startRate      float64
	laneStartRates [laneCount]float64
	// expectedSlots is how many slots the requests of each place will occupy, split how many
	// those of this instance may; see expected.go.
	expectedSlots, slotSplit tiers.Demand
	// dirty is true while waiting requests may have found room.
	dirty bool
}

type classUsage struct {
	class   *lilacv1.Class
	lastAt  time.Time
	traffic classTraffic
}

func newPool(name string, now time.Time) *pool {
	p := &pool{name: name, queue: queue.New(), tiers: tiers.NewTable(name, now), usageByClass: make(map[string]*classUsage), quota: 1, tokenRate: 1, work: newLaneWork(), engine: newEngineModel(), medianPrefill: initialPrefill, sizes: make(map[string][laneCount]int), openAt: now, progressAt: now}
	for level := range p.queueBounds {
		p.queueBounds[level] = maxQueueBound
	}
	return p
}

// recordUse notes that a class's requests come to the pool.
func (p *pool) recordUse(class *lilacv1.Class, now time.Time) {
	u := p.usageByClass[class.GetName()]
	if u == nil {
		u = &classUsage{}
		p.usageByClass[class.GetName()] = u
		p.usages = append(p.usages, u)
	}
	u.class, u.lastAt = class, now
	p.queue.SetShare(class.GetName(), guaranteedShare(class))
	p.updateClassUse(now)
}

// defaultShare is the guaranteed share of a class that states none.
const defaultShare = 0.02

func guaranteedShare(class *lilacv1.Class) float64 {
	if class.GetSharePermille() == 0 {
		return defaultShare
	}
	return float64(class.GetSharePermille()) / 1000
}

// updateClassUse brings what the classes in use ask of the pool up to date.
func (p *pool) updateClassUse(now time.Time) {
	p.minBetween, p.shares = 0, tiers.Shares{}
	others := p.tiers.Others()
	p.lastLevel, p.lastTier = min(others.Last(), lateLevel-1), others.LastTier()
	p.lastRank = model.RankOf(max(others.Last(), 0))
	for _, u := range p.usages {
		if now.Sub(u.lastAt) >= classUseWindow {
			continue
		}
		p.shares[placeOf(u.class)] += guaranteedShare(u.class)
		p.lastLevel = max(p.lastLevel, usualLevel(u.class))
		p.lastTier = max(p.lastTier, int(u.class.GetTier()))
		p.lastRank = max(p.lastRank, model.RankOf(placeOf(u.class)))
		target := time.Duration(u.class.GetBetweenTokensMs()) * time.Millisecond
		if target > 0 && (p.minBetween == 0 || target < p.minBetween) {
			p.minBetween = target
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
	demand := p.runningByPlace
	for level := range model.Levels {
		waiting, late := p.queue.LevelLen(level)
		demand[model.PlaceOf(level)] += float64(waiting - late + min(late, lateSlots))
	}
	return demand
}

// runningUpTo is how many requests of the place and of those before it this instance
// runs. Only these count against the quota for a request of the place. While a
// burst of a later place waits elsewhere the quota holds few slots; if answers of
// that place that run here counted, an urgent request would wait seconds for their
// ends, although its own demand won it a slot. What runs above the quota is at
// most what ran of later places, and the servers' limits hold in any case.
func (p *pool) runningUpTo(place int) float64 {
	sum := 0.0
	for _, running := range p.runningByPlace[:place+1] {
		sum += running
	}
	return sum
}

// update works out capacity, quota and rate from what is known of the servers.
func (p *pool) update(now time.Time) {
	p.updateClassUse(now)
	p.updateEngineModel()
	p.updateMedianPrefill()
	p.assignLanes(now, p.otherWorkKnown)
	p.capacity, p.tokenRate, p.meanGap = 0, 0, 0
	open, gapsPerRequest := 0, 0.0
	for _, s := range p.servers {
		if s.closed() || s.unreachable || now.Before(s.leavingUntil) || now.Before(s.ejectedUntil) {
			continue
		}
		open++
		gapsPerRequest += s.gapPerRequest
		n := s.limit(s.gapTarget(p, 0), p.minBetween)
		if s.limited.Named {
			n = min(n, s.limited.PerSecond*limitedHold.Seconds())
		}
		p.capacity += n
		p.tokenRate += s.tokenRateAt(n)
		p.meanGap += s.gapAt(n)
	}
	if open > 0 {
		p.meanGap /= time.Duration(open)
		for _, s := range p.servers {
			s.decayGap(now, gapsPerRequest/float64(open))
		}
	}
	p.splitSlots()
	if p.capacity > 0 {
		p.tokenRate *= min(1, p.quota/p.capacity)
	}
	p.tokenRate = max(p.tokenRate, 1)
}

// updateEngineModel brings the engines' estimates up to date with what was measured.
func (p *pool) updateEngineModel() {
	for i, s := range p.servers {
		if s.engine == nil {
			return
		}
		if i == 0 {
			p.engine.refit(float64(s.slots))
		}
		s.applyEngineModel()
	}
}

// prefillTime is the usual time for prompt tokens in the pool.
func (p *pool) prefillTime(tokens float64) time.Duration {
	return time.Duration(p.medianPrefill * tokens * float64(time.Second))
}

func (p *pool) updateMedianPrefill() {
	p.prefillScratch = p.prefillScratch[:0]
	for _, s := range p.servers {
		p.prefillScratch = append(p.prefillScratch, s.prefill)
	}
	if len(p.prefillScratch) > 0 {
		slices.Sort(p.prefillScratch)
		p.medianPrefill = p.prefillScratch[len(p.prefillScratch)/2]
	}
}

// tokenRateAt is the tokens a second, or a service's answers, at load n.
func (s *server) tokenRateAt(n float64) float64 {
	if s.service {
		return float64(s.slots) / s.serviceTime
	}
	return n / s.gapAt(n).Seconds()
}

// queueWait is how long the queue takes at this instance's rate.
func (p *pool) queueWait() time.Duration {
	return time.Duration(p.queue.Cost() / p.tokenRate * float64(time.Second))
}

func (p *pool) attach(r *request) {
	r.poolAt = len(p.running)
	p.running = append(p.running, r)
	p.runningByPlace[placeOf(r.class)]++
}

func (p *pool) detach(r *request) {
	last := len(p.running) - 1
	p.running[r.poolAt] = p.running[last]
	p.running[r.poolAt].poolAt = r.poolAt
	p.running[last] = nil
	p.running = p.running[:last]
	p.runningByPlace[placeOf(r.class)]--
}
