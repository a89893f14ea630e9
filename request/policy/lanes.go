package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
)

// Reading a long prompt delays the tokens of all answers on its engine, by several
// times an empty step each while it lasts. An answer whose class wants less than that
// between two tokens is late then, however few requests the engine runs. An engine
// also reads a prompt that it has begun to its end, and an answer that is wanted soon
// is late behind a long one. So in each data centre some engines are kept for either,
// their lanes, and long prompts are read on the others. All instances rank the
// engines alike, and follow the lanes' sizes of the instance of the best rank: an engine
// that is in a lane for some and not for others is in none.

// lane is what an engine is kept for, or the one that a request belongs to.
type lane int

const (
	// laneLong takes long prompts, and all that has no other lane.
	laneLong lane = iota
	// laneQuick is for answers that are wanted before a long prompt is read.
	laneQuick
	// laneTight is for answers with short pauses between their tokens.
	laneTight
	// lanes counts them.
	lanes
)

const (
	// longestPrompt is the length of prompt that counts against a target for the first
	// token, in tokens: an engine reads what it has begun to its end.
	longestPrompt = 50000
	// longRead is the time of reading from which a prompt counts as long: it holds up
	// several events of an answer.
	longRead = 80 * time.Millisecond
	// besideHold is by what part the gap beside prompts must change before lanes go by the
	// new one, so that they don't change with each measurement.
	besideHold = 0.2
	// laneLearn is the weight of one request in the lanes' shares of all work, where an
	// instance goes by its own requests.
	laneLearn = 0.02
	// firstTightWork and firstWork are the means before any request was seen: a
	// third, with the weight of 50 requests, so that the first few don't move lanes.
	firstTightWork = 1000
	firstWork      = 3000
	// leastLane is the share of work below which nothing is kept free.
	leastLane = 0.02
	// quickLaneFrom is the number of engines in a data centre from which answers that
	// are wanted soon have a lane of their own: below, one engine more or less is too
	// large a step.
	quickLaneFrom = 6
	// laneHold is by how many engines the work must differ from a lane before it
	// changes: each change moves homes, whose prompts are then read again.
	laneHold = 0.8
	// workFor is the time over which the work of all instances is averaged: a burst
	// is seen within it, and some hundred requests settle the shares.
	workFor = 2 * time.Second
	// usualFor is the time in which one request of the usual work comes to an idle pool.
	usualFor = time.Second
)

// laneOf is the lane that the request belongs to: the one that it wants, where the
// pool has such engines.
func (r *request) laneOf() lane {
	if wanted := r.wants(); wanted != laneQuick || r.pool.hasLane[laneQuick] {
		return wanted
	}
	return laneLong
}

// wants is the lane that the request's class asks for, whether there is one or not.
func (r *request) wants() lane { return r.pool.wantedBy(r.class) }

// wantedBy is the lane that the class asks for.
func (p *pool) wantedBy(class *lilacv1.Class) lane {
	first := time.Duration(class.GetFirstTokenMs()) * time.Millisecond
	switch {
	case p.service || class.GetBetweenTokensMs() == 0:
		return laneLong
	case p.isTight(class):
		return laneTight
	case first < p.readTime(longestPrompt):
		return laneQuick
	}
	return laneLong
}

// isTight tells whether the class's answers would be late between tokens beside long
// prompts.
func (p *pool) isTight(class *lilacv1.Class) bool {
	return float64(class.GetBetweenTokensMs())/1000 < p.besideLong()
}

// besideLong is the gap between tokens beside long prompts that lanes go by.
func (p *pool) besideLong() float64 {
	if p.plan.By != "" {
		return micro * float64(p.plan.Beside)
	}
	if now := p.engine.beside(p.slots()); p.beside == 0 || math.Abs(now-p.beside) > besideHold*p.beside {
		p.beside = now
	}
	return p.beside
}

// slots is the batch of the pool's engines.
func (p *pool) slots() int {
	if len(p.servers) == 0 {
		return defaultSlots
	}
	return p.servers[0].slots
}

// ownPart is the part of the prompt that no other request shares, in tokens.
func (r *request) ownPart() float64 {
	if len(r.Prefix) < 2 {
		return float64(r.PromptTokens)
	}
	return float64(r.PromptTokens - r.Prefix[len(r.Prefix)-2].End)
}

// laneWork is the work of the instances in each lane.
type laneWork struct {
	// means are running means of one own request's work.
	means [lanes]float64
	// rates are the own work in tokens a second, told the others'.
	rates, told [lanes]float64
	// toldClaims are the slots that the others ask for.
	toldClaims [lanes]float64
}

func newLaneWork() laneWork {
	return laneWork{means: [lanes]float64{laneLong: firstWork - firstTightWork, laneTight: firstTightWork}}
}

// noteWork learns from a request that comes. Its shared parts are left out: while
// all is cold, long prompts make twenty times the work of short ones for some
// seconds, and would leave these a single engine.
func (p *pool) noteWork(r *request) {
	if p.service {
		return
	}
	to := r.wants()
	work := r.ownPart() + p.engine.tokenWork()*r.estimated
	for l := range p.work.means {
		sample := 0.0
		if lane(l) == to {
			sample = work
		}
		p.work.means[l] += laneLearn * (sample - p.work.means[l])
	}
	p.work.rates[to] += work / workFor.Seconds()
}

// fadeWork lets the rates follow the last seconds.
func (p *pool) fadeWork() {
	for l := range p.work.rates {
		p.work.rates[l] *= math.Exp(-slowTick.Seconds() / workFor.Seconds())
	}
}

// laneShares are the parts of all work. Where others tell theirs, theirs count too:
// one instance in 78 sees five requests a second, and would take 20 s to notice a
// burst that lasts ten.
func (p *pool) laneShares(told bool) [lanes]float64 {
	shares, sum := p.work.means, 0.0
	for l := range shares {
		if told {
			// Before there is traffic the lanes are those of the usual shares.
			shares[l] = p.work.rates[l] + p.work.told[l] + p.work.means[l]/usualFor.Seconds()
		}
		sum += shares[l]
	}
	for l := range shares {
		shares[l] /= max(sum, 1)
	}
	return shares
}

// formLanes marks the lanes' engines in each data centre among the open ones in
// order of a hash: the tight lane at one end, the quick one at the other.
func (p *pool) formLanes(now time.Time, told bool) {
	if p.service {
		return
	}
	groups := make(map[string][]*server)
	former := make([]lane, len(p.servers))
	for i, s := range p.servers {
		former[i], s.lane = s.lane, laneLong
		if !s.closed() && !s.cut && !now.Before(s.ejectedUntil) {
			groups[s.dataCenter] = append(groups[s.dataCenter], s)
		}
	}
	p.hasLane = [lanes]bool{}
	shares := p.laneShares(told)
	shares[laneTight] = max(shares[laneTight], p.tightNeed(len(p.servers)))
	for dataCenter, group := range groups {
		if len(group) < 2 {
			continue
		}
		slices.SortFunc(group, func(a, b *server) int {
			return cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name))
		})
		tight, quick := p.laneSizes(dataCenter, len(group), shares)
		p.mark(group[:tight], laneTight)
		p.mark(group[len(group)-quick:], laneQuick)
	}
	hold := p.tightHold()
	for i, s := range p.servers {
		if former[i] == laneTight && s.lane != laneTight {
			s.quietUntil = now.Add(hold)
		}
	}
}

// tightHold is how long the longest of the usual tight answers take.
func (p *pool) tightHold() time.Duration {
	step, hold := p.engine.stepAt(float64(p.slots())), 0.0
	for _, u := range p.uses {
		if p.wantedBy(u.class) == laneTight {
			hold = max(hold, u.flow.lasts(step))
		}
	}
	return time.Duration(hold * float64(time.Second))
}

// quiet tells whether the engine reads no long prompts: it is in the tight lane, or was
// and may still run tight answers from then.
func (s *server) quiet(now time.Time) bool {
	return s.lane == laneTight || now.Before(s.quietUntil)
}

// laneFill is the part of a lane's slots that its requests are expected to take.
const laneFill = 0.8

// tightNeed is the part of all n engines whose slots tight answers will take, as far as
// the others leave it free; but what they take now, up to a third of the engines, in any
// case: a burst of long prompts must not take the lane from them. Where engines have few
// slots, work alone makes the lane too small: answers that find it full are late beside
// long prompts.
func (p *pool) tightNeed(n int) float64 {
	claims, all := p.laneClaims(), 0.0
	for l := range claims {
		claims[l] += p.work.toldClaims[l]
		all += claims[l]
	}
	slots, tight := laneFill*float64(n*p.slots()), claims[laneTight]
	spare, now := slots-(all-tight), min(tight/slowdown, slots/3)
	return max(min(tight, spare), now) / max(slots, 1)
}

// laneClaims is what this instance asks slots for, by lane.
func (p *pool) laneClaims() (claims [lanes]float64) {
	claim := p.claim()
	for _, u := range p.uses {
		place := placeOf(u.class)
		claims[p.wantedBy(u.class)] += claim[place]
		claim[place] = 0
	}
	return claims
}

func (p *pool) mark(group []*server, l lane) {
	for _, s := range group {
		s.lane = l
		p.hasLane[l] = true
	}
}

// laneSizes returns how many of a data centre's n engines each lane gets, not all of
// them: what the instance of the best rank plans, else at least one for each lane that
// has work.
func (p *pool) laneSizes(dataCenter string, n int, shares [lanes]float64) (tight, quick int) {
	size := p.sizes[dataCenter]
	if planned, known := p.plan.Sizes[loadboard.Key(dataCenter)]; known {
		size[laneTight], size[laneQuick] = int(planned.Tight), int(planned.Quick)
	} else {
		for l, share := range shares {
			size[l] = laneSize(lane(l), size[l], n, share)
		}
	}
	tight = min(size[laneTight], n-1)
	quick = min(size[laneQuick], n-1-tight)
	p.sizes[dataCenter] = size
	return tight, quick
}

// laneSize is the number of n engines for a lane with the share of all work.
func laneSize(l lane, size, n int, share float64) int {
	switch wanted := share * float64(n); {
	case l == laneLong || l == laneQuick && n < quickLaneFrom || share < leastLane:
		return 0
	case size == 0 || math.Abs(wanted-float64(size)) > laneHold:
		return max(int(wanted+0.5), 1)
	}
	return size
}

// ownPlan is this instance's division into lanes, for the others.
func (p *pool) ownPlan(self string) loadboard.LanePlan {
	plan := loadboard.LanePlan{By: self, Beside: uint32(p.besideLong() / micro), Sizes: make(map[uint32]loadboard.LaneSizes, len(p.sizes))}
	for dataCenter, size := range p.sizes {
		plan.Sizes[loadboard.Key(dataCenter)] = loadboard.LaneSizes{Tight: uint32(size[laneTight]), Quick: uint32(size[laneQuick])}
	}
	return plan
}

const (
	// strayLong is the price of a long prompt in a lane, strayTight that of an answer
	// outside its lane: a miss of one answer's target, or a likely one.
	strayLong  = 4 * time.Second
	strayTight = time.Second
	// strayShort is the price of a prompt in a lane that is short there: it holds
	// others up by two steps at most.
	strayShort = 700 * time.Millisecond
)

// intrudeMost is how long an engine of the tight lane may read for others, in gaps
// between tokens of the tightest answers: an event of several tokens bears it.
const intrudeMost = 2

// intrudes tells whether the engine is kept for tight answers and the request, which is
// none, would hold them up: with all that waits there it has too much to read.
func (s *server) intrudes(now time.Time, r *request, read float64) bool {
	if !s.quiet(now) || !r.Pinned || r.pool.isTight(r.class) {
		return false
	}
	reading := s.prefill * (read + s.before(engineLevels-1))
	return reading > intrudeMost*r.pool.tight.Seconds()
}

// stray is the price of the request outside the engines that suit it, where it has
// so many tokens to read.
func (s *server) stray(r *request, h *homes, read float64) time.Duration {
	belongs := r.laneOf()
	switch {
	case s.service || !r.Pinned:
		return 0
	case s.lane == belongs:
		return h.past(s)
	case s.lane != laneLong && belongs != laneTight && r.pool.readTime(read) >= longRead:
		return strayLong
	case belongs == laneLong:
		return strayShort
	}
	return strayTight
}
