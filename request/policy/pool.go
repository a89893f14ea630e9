package policy

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/request/parts"
	"github.com/lilacbridge/lilacbridge/request/queue"
	"github.com/lilacbridge/lilacbridge/request/retry"
	"github.com/lilacbridge/lilacbridge/request/tiers"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// classUseWindow is how long a class counts as in use after its last request.
const classUseWindow = time.Minute

// pool is a model or service with its servers and queue.
type pool struct {
	name string
	// key identifies the pool in digests.
	key     uint32
	service bool
	servers []*server
	// versioned is true if any server states its software version, mixed if two differ, and
	// unadmitted if one is not admitted.
	versioned, mixed, unadmitted bool
	queue                        *queue.Queue
	tiers                        *tiers.Table
	// running holds the requests that this instance runs in the pool.
	running           []*request
	runningByPosition tiers.Demand
	// quarantine holds suspects that wait for a trial.
	quarantine []*request
	// rejectionLimit is what the servers state of the rejections that they survive.
	rejectionLimit rejectionLimit
	// parts tells which parts of prompts crash the pool's servers.
	parts *parts.Table
	// partsRefused counts the requests refused because of blocked parts, partTrials those let
	// through to find out whether the part still crashes servers.
	partsRefused, partTrials uint64
	// openTrial is the blocked part that the next request with it tries since trialOpenedAt; nil for
	// none. nextClaimAt is when this instance may claim another trial.
	openTrial                  *parts.Block
	trialOpenedAt, nextClaimAt time.Time
	// parked holds copies of a running request that may only join it; see identical.go.
	parked []*request
	// minTokenGapTarget is the strictest target between tokens of the classes in use.
	minTokenGapTarget time.Duration
	// lastLevel is the least urgent engine priority of any instance's requests.
	lastLevel int
	// lastTier and lastRank are the least urgent ones of the classes in use at any instance.
	lastTier, lastRank int
	// shares are the guaranteed shares of the classes in use, by position.
	shares       tiers.Shares
	usageByClass map[string]*classUsage
	usages       []*classUsage
	// capacity is the number of requests that the pool can run within their targets, quota this
	// instance's part of it, tokenRate the pool's tokens per second, meanGap the mean gap of its
	// servers.
	capacity, quota, tokenRate float64
	meanGap                    time.Duration
	// engine is the learned performance of engines with large batches.
	engine *engineModel
	// medianPrefill is the median of the servers' prefill times of one token, in seconds. The
	// value of a cached prompt is computed from it, since the servers' own estimates differ
	// mostly by chance.
	medianPrefill float64
	// prefillScratch is reused to avoid an allocation for each update.
	prefillScratch []float64
	// work determines the lane sizes, sizes holds them by data centre, and hasLane reports which
	// lanes have engines; see lanes.go.
	work    laneWork
	sizes   map[string][laneCount]int
	hasLane [laneCount]bool
	// otherWorkKnown is true while other instances report their work.
	otherWorkKnown bool
	// plan is the lane plan of another instance that takes precedence; empty for none.
	// ownPrefillGap is this instance's estimate of the gap beside long prompts, in seconds.
	plan          loadboard.LanePlan
	ownPrefillGap float64
	// retryBudget is this instance's part of the pool's retries; retries counts them.
	retryBudget *retry.Budget
	retryLoans  retryLoans
	retries     RetryStats
	// openAt is when a server was last available, progressAt when one last sent anything to this
	// instance, rejectedAt when an attempt last failed.
	openAt, progressAt, rejectedAt time.Time
	// fullSince is since when requests of a position, or of a more urgent one, have waited for a free
	// slot; zero if none do.
	fullSince [model.Positions]time.Time
	// queueBounds is how many requests of each level may wait while the pool is full; see
	// full.go.
	queueBounds [model.Levels]float64
	// startRate is the number of requests per second that this instance starts; laneStartRates is
	// the same by the lane of the engine.
	startRate      float64
	laneStartRates [laneCount]float64
	// expectedSlots is how many slots the requests of each position are expected to occupy,
	// slotSplit how many this instance's requests may; see expected.go.
	expectedSlots, slotSplit tiers.Demand
	// shortage is what was last told of the servers to a request refused for lack of room, at
	// shortageAt.
	shortage   Shortage
	shortageAt time.Time
	// dirty is true if a waiting request may have become able to start.
	dirty bool
	// pressure is true if the settings state that callers compete for the pool's servers, paced
	// if a server of the pool reports how long work takes on it.
	pressure, paced bool
	// enabled reports whether a feature for contended pools is switched on.
	enabled func(settings.Feature) bool
	// fastKind is the pace of the fast servers of a paced pool.
	fastKind float64
	// holderKey is what the holders of the servers' memory were determined from; tooLarge counts
	// refused requests that exceed it, reservedByReason the reservations.
	holderKey        holderKey
	tooLarge         uint64
	reservedByReason map[string]uint64
	// memoryBlind is true while the loads of a good part of the instances are unknown, loadsKnownAt
	// when they were last known.
	memoryBlind  bool
	loadsKnownAt time.Time
	// finishing is the state of admission by the end of the answer; see finish.go.
	finishing finishing
	// teams divides the service of a contended pool among teams.
	teams teamShares
}

// contended reports whether the pool may have too little room at times: by the settings, or since
// its servers share their machines with other work.
func (p *pool) contended() bool { return p.pressure || p.paced }

type classUsage struct {
	class   *lilacv1.Class
	lastAt  time.Time
	traffic classTraffic
}

func newPool(name string, now time.Time) *pool {
	p := &pool{name: name, key: loadboard.Key(name), queue: queue.New(), tiers: tiers.NewTable(name, now), usageByClass: make(map[string]*classUsage), quota: 1, tokenRate: 1, work: newLaneWork(), engine: newEngineModel(), medianPrefill: initialPrefill, sizes: make(map[string][laneCount]int), retries: newRetryStats(), enabled: new(settings.Policy).Enabled, parts: parts.NewTable(), openAt: now, progressAt: now, finishing: newFinishing()}
	for level := range p.queueBounds {
		p.queueBounds[level] = maxQueueBound
	}
	return p
}

// recordUse records the arrival of a request of the class.
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

// updateClassUse recomputes what depends on the classes in use.
func (p *pool) updateClassUse(now time.Time) {
	p.minTokenGapTarget, p.shares = 0, tiers.Shares{}
	others := p.tiers.OthersDemand()
	p.lastLevel, p.lastTier = min(others.LastPosition(), lateEngineLevel-1), others.LastTier()
	p.lastRank = model.RankOf(max(others.LastPosition(), 0))
	for _, u := range p.usages {
		if now.Sub(u.lastAt) >= classUseWindow {
			continue
		}
		p.shares[positionOf(u.class)] += guaranteedShare(u.class)
		p.lastLevel = max(p.lastLevel, engineLevelOf(u.class))
		p.lastTier = max(p.lastTier, int(u.class.GetTier()))
		p.lastRank = max(p.lastRank, model.RankOf(positionOf(u.class)))
		target := time.Duration(u.class.GetBetweenTokensMs()) * time.Millisecond
		if target > 0 && (p.minTokenGapTarget == 0 || target < p.minTokenGapTarget) {
			p.minTokenGapTarget = target
		}
	}
}

// lateSlots is the most slots that the late waiting requests of one position ask for together.
const lateSlots = 4

// demand returns the slots that this instance asks for, by position. Waiting requests that are late
// ask for few: they cannot meet their target any more and start in slots that others leave. All
// late requests of a burst would otherwise hold slots back from lower tiers and other instances
// whose requests can still be in time. The same holds for teams that were served more than their
// share. A few are counted so that an instance without the burst
// does not lose its part of the slots to one with it.
func (p *pool) demand() tiers.Demand {
	demand := p.runningByPosition
	for level := range model.Levels {
		waiting, late := p.queue.LevelLen(level)
		late += p.queue.OverLen(level)
		demand[model.PositionOf(level)] += float64(waiting - late + min(late, lateSlots))
	}
	return demand
}

// runningUpTo returns how many requests of the position and of more urgent positions this instance
// runs. Only these count against the quota for a request of the position. While a burst of a less
// urgent position at other instances keeps the quota small, this instance's running answers of that
// position would otherwise make an urgent request wait seconds for their end, although its own
// demand won it a slot. The excess over the quota is at most the answers of less urgent positions
// that ran before, and the servers' limits hold in any case.
func (p *pool) runningUpTo(position int) float64 {
	sum := 0.0
	for _, running := range p.runningByPosition[:position+1] {
		sum += running
	}
	return sum
}

// update recomputes lanes, capacity, quota and rates from the state of the servers.
func (p *pool) update(now time.Time) {
	p.updateClassUse(now)
	p.updatePaces(now)
	p.updateEngineModel()
	p.updateMedianPrefill()
	p.assignLanes(now, p.otherWorkKnown)
	p.capacity, p.tokenRate, p.meanGap = 0, 0, 0
	open, gapsPerRequest, serviceTimes := 0, 0.0, 0.0
	for _, s := range p.servers {
		if s.closed() || s.unreachable || now.Before(s.leavingUntil) || now.Before(s.ejectedUntil) {
			continue
		}
		open++
		gapsPerRequest += s.gapPerRequest
		serviceTimes += s.serviceTime
		n := s.limit(s.gapTarget(p, 0), p.minTokenGapTarget)
		if s.rateLimit.Advertised {
			n = min(n, s.rateLimit.PerSecond*limitedSlotTime.Seconds())
		}
		p.capacity += n
		p.tokenRate += s.tokenRateAt(n)
		p.meanGap += s.gapAt(n)
	}
	if open > 0 {
		p.meanGap /= time.Duration(open)
		for _, s := range p.servers {
			s.decayGap(now, gapsPerRequest/float64(open))
			s.decayServiceTime(now, serviceTimes/float64(open))
		}
	}
	p.splitSlots()
	if p.capacity > 0 {
		p.tokenRate *= min(1, p.quota/p.capacity)
	}
	p.tokenRate = max(p.tokenRate, 1)
}

// updateEngineModel refits the engine model and applies it to the servers.
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

// prefillTime returns the typical prefill time of so many prompt tokens in the pool.
func (p *pool) prefillTime(tokens float64) time.Duration {
	return number.Seconds(p.medianPrefill * tokens)
}

func (p *pool) updateMedianPrefill() {
	p.prefillScratch = p.prefillScratch[:0]
	for _, s := range p.servers {
		p.prefillScratch = append(p.prefillScratch, s.prefill*s.paceKind)
	}
	if len(p.prefillScratch) > 0 {
		slices.Sort(p.prefillScratch)
		p.medianPrefill = p.prefillScratch[len(p.prefillScratch)/2]
	}
}

// tokenRateAt returns the tokens a second at load n, or the responses a second of a plain
// service.
func (s *server) tokenRateAt(n float64) float64 {
	if s.service {
		return float64(s.slots) / s.serviceSeconds()
	}
	return n / s.gapAt(n).Seconds()
}

// queueWait returns the time to serve the queue at this instance's rate.
func (p *pool) queueWait() time.Duration {
	return number.Seconds(p.queue.Cost() / p.tokenRate)
}

func (p *pool) attach(r *request) {
	r.poolIndex = len(p.running)
	p.running = append(p.running, r)
	p.runningByPosition[positionOf(r.class)]++
}

func (p *pool) detach(r *request) {
	last := len(p.running) - 1
	p.running[r.poolIndex] = p.running[last]
	p.running[r.poolIndex].poolIndex = r.poolIndex
	p.running[last] = nil
	p.running = p.running[:last]
	p.runningByPosition[positionOf(r.class)]--
}
