package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/process/number"
)

// Prefilling a long prompt lengthens the gaps between tokens of all answers on the engine to
// several times an empty step. A class with a shorter target than that misses it however few
// requests the engine runs. Engines also finish a prompt that they have begun, so an answer with
// a short target for the first token is late behind a long prompt. Therefore some engines of each
// data centre are dedicated to either kind, in lanes, and long prompts go to the others. All
// instances rank the engines by the same hash and take the lane sizes from the instance with the
// best rank: if instances disagreed about an engine, it would serve both kinds.

// lane is the kind of request that an engine is dedicated to, or that a request belongs to.
type lane int

const (
	// laneLong is for long prompts and for everything without a lane of its own.
	laneLong lane = iota
	// laneQuick is for requests whose target for the first token is shorter than the prefill of a
	// long prompt.
	laneQuick
	// laneTight is for requests whose target for the gap between tokens is shorter than the gap
	// beside a long prompt.
	laneTight
	// laneCount is the number of lanes.
	laneCount
)

const (
	// longestPrompt is the prompt length, in tokens, whose prefill time is compared with targets
	// for the first token: engines finish a prompt that they have begun.
	longestPrompt = 50000
	// minLongPrefill is the prefill time from which a prompt counts as long: it delays several
	// token events of each answer on the engine.
	minLongPrefill = 80 * time.Millisecond
	// gapHysteresis is the relative change of the gap beside long prompts from which lanes use
	// the new value, so that they do not change with each sample.
	gapHysteresis = 0.2
	// laneSampleWeight is the weight of one request in the lanes' shares of work, for an instance
	// that knows only its own requests.
	laneSampleWeight = 0.02
	// initialTightWork and initialWork are the initial means of the work in the tight lane and in
	// all: a third for the tight lane, with the weight of 50 requests, so that the first few do
	// not move lanes.
	initialTightWork = 1000
	initialWork      = 3000
	// minLaneShare is the share of work below which a lane gets no engine.
	minLaneShare = 0.02
	// minEnginesForQuickLane is the number of engines in a data centre from which there is a
	// quick lane: with fewer, one engine more or less is too large a step.
	minEnginesForQuickLane = 6
	// laneSizeHysteresis is the difference between work and lane size, in engines, from which the
	// size changes: each change moves homes, whose prompts are then prefilled again.
	laneSizeHysteresis = 0.8
	// workRateWindow is the time constant of the average work rate of all instances: short enough
	// to show a burst, long enough for some hundred requests to settle the shares.
	workRateWindow = 2 * time.Second
	// baselineWorkInterval is the interval at which the baseline work, one mean request, is added
	// to an idle pool.
	baselineWorkInterval = time.Second
)

// assignedLane returns the lane that the request belongs to. Where the pool has no quick lane,
// its requests belong to laneLong.
func (r *request) assignedLane() lane {
	if wanted := r.wantedLane(); wanted != laneQuick || r.pool.hasLane[laneQuick] {
		return wanted
	}
	return laneLong
}

// wantedLane returns the lane of the request's class, whether or not the pool has that lane.
func (r *request) wantedLane() lane { return r.pool.wantedLane(r.class) }

// wantedLane returns the lane that suits the targets of the class.
func (p *pool) wantedLane(class *lilacv1.Class) lane {
	first := time.Duration(class.GetFirstTokenMs()) * time.Millisecond
	switch {
	case p.service || class.GetBetweenTokensMs() == 0:
		return laneLong
	case p.isTight(class):
		return laneTight
	case first < p.prefillTime(longestPrompt):
		return laneQuick
	}
	return laneLong
}

// isTight reports whether answers of the class would miss their target between tokens beside long
// prompts.
func (p *pool) isTight(class *lilacv1.Class) bool {
	return float64(class.GetBetweenTokensMs())/1000 < p.prefillGap()
}

// prefillGap returns the gap between tokens beside long prompts, in seconds, that lanes are
// formed by.
func (p *pool) prefillGap() float64 {
	if p.plan.Author != "" {
		return micro * float64(p.plan.InterTokenGapUs)
	}
	if current := p.meanKind() * p.engine.prefillGap(p.slots()); p.ownPrefillGap == 0 || math.Abs(current-p.ownPrefillGap) > gapHysteresis*p.ownPrefillGap {
		p.ownPrefillGap = current
	}
	return p.ownPrefillGap
}

// slots returns the number of slots of each of the pool's engines.
func (p *pool) slots() int {
	if len(p.servers) == 0 {
		return defaultSlots
	}
	return p.servers[0].slots
}

// uniquePromptTokens returns the length of the prompt after its last shared block.
func (r *request) uniquePromptTokens() float64 {
	if len(r.Prefix) < 2 {
		return float64(r.PromptTokens)
	}
	return float64(r.PromptTokens - r.Prefix[len(r.Prefix)-2].End)
}

// laneWork is the work of all instances by lane, in prompt tokens.
type laneWork struct {
	// means are the moving averages of the work of one request of this instance.
	means [laneCount]float64
	// rates is the work of this instance, otherRates that of the others, in tokens a second.
	rates, otherRates [laneCount]float64
	// otherLaneDemand is the number of slots that other instances ask for.
	otherLaneDemand [laneCount]float64
}

func newLaneWork() laneWork {
	return laneWork{means: [laneCount]float64{laneLong: initialWork - initialTightWork, laneTight: initialTightWork}}
}

// observeWork records the work of an arriving request. It leaves out the shared part of the
// prompt: while no cache is warm, long prompts would make twenty times the work of short ones for
// some seconds and leave these a single engine.
func (p *pool) observeWork(r *request) {
	if p.service {
		return
	}
	to := r.wantedLane()
	work := r.uniquePromptTokens() + p.engine.generatedTokenCost()*r.estimated
	for l := range p.work.means {
		sample := 0.0
		if lane(l) == to {
			sample = work
		}
		p.work.means[l] += laneSampleWeight * (sample - p.work.means[l])
	}
	p.work.rates[to] += work / workRateWindow.Seconds()
}

// decayWorkRates applies one slowTick of exponential decay to the own rates.
func (p *pool) decayWorkRates() {
	for l := range p.work.rates {
		p.work.rates[l] *= math.Exp(-slowTick.Seconds() / workRateWindow.Seconds())
	}
}

// laneShares returns each lane's share of all work. It includes the work of other instances where
// that is known: one of 78 instances sees five requests a second, and alone would take 20 s to
// notice a burst that lasts ten.
func (p *pool) laneShares(othersKnown bool) [laneCount]float64 {
	shares, sum := p.work.means, 0.0
	for l := range shares {
		if othersKnown {
			// The baseline work gives the initial shares before there is traffic.
			shares[l] = p.work.rates[l] + p.work.otherRates[l] + p.work.means[l]/baselineWorkInterval.Seconds()
		}
		sum += shares[l]
	}
	for l := range shares {
		shares[l] /= max(sum, 1)
	}
	return shares
}

// assignLanes assigns the available engines of each data centre to lanes, in the order of a hash:
// the tight lane from one end, the quick lane from the other.
func (p *pool) assignLanes(now time.Time, othersKnown bool) {
	if p.service {
		return
	}
	groups := make(map[string][]*server)
	previous := make([]lane, len(p.servers))
	for i, s := range p.servers {
		previous[i], s.lane = s.lane, laneLong
		if !s.closed() && !s.unreachable && !now.Before(s.ejectedUntil) {
			groups[s.dataCenter] = append(groups[s.dataCenter], s)
		}
	}
	p.hasLane = [laneCount]bool{}
	shares := p.laneShares(othersKnown)
	shares[laneTight] = max(shares[laneTight], p.tightLaneShare(len(p.servers)))
	for dataCenter, group := range groups {
		if len(group) < 2 {
			continue
		}
		slices.SortFunc(group, func(a, b *server) int {
			return cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name))
		})
		tight, quick := p.laneSizes(dataCenter, len(group), p.laneWorkFactor(group), shares)
		p.orderForLanes(group, tight, quick)
		p.assignLane(group[:tight], laneTight)
		p.assignLane(group[len(group)-quick:], laneQuick)
	}
	answerTime := p.tightAnswerTime()
	for i, s := range p.servers {
		if previous[i] == laneTight && s.lane != laneTight {
			s.noLongPromptsUntil = now.Add(answerTime)
		}
	}
}

// tightAnswerTime returns the duration of a typical answer of the tight class with the longest
// answers.
func (p *pool) tightAnswerTime() time.Duration {
	step, longest := p.engine.stepAt(float64(p.slots())), 0.0
	for _, u := range p.usages {
		if p.wantedLane(u.class) == laneTight {
			longest = max(longest, u.traffic.answerTime(step))
		}
	}
	return number.Seconds(longest)
}

// excludesLongPrompts reports whether the engine gets no long prompts: it is in the tight lane,
// or left it and may still run tight answers.
func (s *server) excludesLongPrompts(now time.Time) bool {
	return s.lane == laneTight || now.Before(s.noLongPromptsUntil)
}

// laneUtilization is the fraction of a lane's slots that its requests are expected to occupy.
const laneUtilization = 0.8

// tightLaneShare returns the fraction of all n engines that tight answers need by their slot
// demand, limited to what the demand of other requests leaves free. It covers at least what tight
// answers occupy now, up to a third of the engines: a burst of long prompts must not take the lane
// from them. Where engines have few slots, a lane sized by work alone is too small, and answers
// that find it full are late beside long prompts.
func (p *pool) tightLaneShare(n int) float64 {
	demand, total := p.laneDemand(), 0.0
	for l := range demand {
		demand[l] += p.work.otherLaneDemand[l]
		total += demand[l]
	}
	slots, tight := laneUtilization*float64(n*p.slots()), demand[laneTight]
	spare, current := slots-(total-tight), min(tight/holdSlowdown, slots/3)
	return max(min(tight, spare), current) / max(slots, 1)
}

// laneDemand returns this instance's slot demand by lane.
func (p *pool) laneDemand() (byLane [laneCount]float64) {
	demand := p.slotDemand()
	for _, u := range p.usages {
		position := positionOf(u.class)
		byLane[p.wantedLane(u.class)] += demand[position]
		demand[position] = 0
	}
	return byLane
}

func (p *pool) assignLane(group []*server, l lane) {
	for _, s := range group {
		s.lane = l
		p.hasLane[l] = true
	}
}

// laneSizes returns how many of a data centre's n engines each lane gets, always fewer than n:
// the plan of the instance with the best rank, or without one at least one engine for each lane
// that has work. workFactor scales the lanes' shares of the work to shares of the
// engines.
func (p *pool) laneSizes(dataCenter string, n int, workFactor float64, shares [laneCount]float64) (tight, quick int) {
	size := p.sizes[dataCenter]
	if planned, known := p.plan.Sizes[loadboard.Key(dataCenter)]; known {
		size[laneTight], size[laneQuick] = int(planned.Tight), int(planned.Quick)
	} else {
		for l, share := range shares {
			size[l] = laneSize(lane(l), size[l], n, share*workFactor)
		}
	}
	tight = min(size[laneTight], n-1)
	quick = min(size[laneQuick], n-1-tight)
	p.sizes[dataCenter] = size
	return tight, quick
}

// laneSize returns how many of n engines a lane with the given share of all work gets.
func laneSize(l lane, size, n int, share float64) int {
	switch target := share * float64(n); {
	case l == laneLong || l == laneQuick && n < minEnginesForQuickLane || share < minLaneShare:
		return 0
	case size == 0 || math.Abs(target-float64(size)) > laneSizeHysteresis:
		return max(number.Int(target+0.5), 1)
	}
	return size
}

// ownPlan returns this instance's lane sizes, to be shared with other instances.
func (p *pool) ownPlan(instance string) loadboard.LanePlan {
	plan := loadboard.LanePlan{Author: instance, InterTokenGapUs: number.Uint32(p.prefillGap() / micro), Sizes: make(map[uint32]loadboard.LaneSizes, len(p.sizes))}
	for dataCenter, size := range p.sizes {
		plan.Sizes[loadboard.Key(dataCenter)] = loadboard.LaneSizes{Tight: uint32(size[laneTight]), Quick: uint32(size[laneQuick])}
	}
	return plan
}

const (
	// longPromptPenalty is the cost of a long prompt in a quick or tight lane, outsideLanePenalty
	// that of an answer outside its lane: a missed target of another answer, or a likely one of
	// its own.
	longPromptPenalty  = 4 * time.Second
	outsideLanePenalty = time.Second
	// shortPromptPenalty is the cost of a short prompt in a quick or tight lane: it delays the
	// answers there by two steps at most.
	shortPromptPenalty = 700 * time.Millisecond
)

// maxInterferenceGaps is how long an engine of the tight lane may prefill prompts of other lanes, in
// multiples of the strictest target between tokens: token events carry several tokens and absorb
// that.
const maxInterferenceGaps = 2

// interferes reports whether the engine excludes long prompts and the request, which is not tight,
// would delay its tight answers, given the backlog there.
func (s *server) interferes(now time.Time, r *request, prefillTokens float64) bool {
	if !s.excludesLongPrompts(now) || !r.Pinned || r.pool.isTight(r.class) {
		return false
	}
	prefillSeconds := s.prefillSeconds(prefillTokens + s.backlogBefore(engineLevels-1))
	return prefillSeconds > maxInterferenceGaps*r.pool.minTokenGapTarget.Seconds()
}

// lanePenalty returns the cost of running the request outside its lane or homes, where
// prefillTokens of its prompt are not cached.
func (s *server) lanePenalty(r *request, h *homes, prefillTokens float64) time.Duration {
	requestLane := r.assignedLane()
	switch {
	case s.service || !r.Pinned:
		return 0
	case s.lane == requestLane:
		return h.penalty(s)
	case s.lane != laneLong && requestLane != laneTight && r.pool.prefillTime(prefillTokens) >= minLongPrefill:
		return longPromptPenalty
	case requestLane == laneLong:
		return shortPromptPenalty
	}
	return outsideLanePenalty
}
