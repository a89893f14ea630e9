package policy

import (
	"math"
	"time"

	"github.com/lilacbridge/lilacbridge/request/tiers"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// Long answers of less urgent classes hold their slots for many seconds. In a burst
// that grows they would fill the engines before the more urgent requests come that
// need the slots, and running answers are not stopped. So each place asks for the slots
// that its requests will occupy at the rate at which they come now, by Little's law,
// and later places get what is left.

const (
	// lengthSampleWeight is the weight of one request in its class's usual length, paceLearn
	// that of one event of an answer in the class's pace.
	lengthSampleWeight = 0.05
	paceSampleWeight   = 0.02
	// holdSlowdown is how much longer than now answers are expected to hold their slots:
	// until slots are scarce, batches fill up and prompts wait to be read.
	holdSlowdown = 2.0
	// growthWindow bounds what is expected by what can come in so long: a class that occupies
	// what it needs would else keep as much again from less urgent ones.
	growthWindow = 4 * time.Second
	// maxBriefHold is the time within which a slot that is lent out comes back before the
	// requests that it is kept for have all come.
	maxBriefHold = growthWindow
)

// classTraffic is what is known of a class's requests at this instance.
type classTraffic struct {
	// rate is at how many a second they come, tokens the usual length of their answers,
	// pace the time between two tokens, in seconds.
	rate, tokens, pace float64
}

// observeArrival takes in a request that is expected to be answered by so many tokens.
func (f *classTraffic) observeArrival(tokens float64) {
	f.rate += 1 / workRateWindow.Seconds()
	if f.tokens == 0 {
		f.tokens = tokens
	}
	f.tokens += lengthSampleWeight * (tokens - f.tokens)
}

// observeGap takes in the gap between two tokens of an answer, in seconds.
func (f *classTraffic) observeGap(gap float64) {
	if f.pace == 0 {
		f.pace = gap
	}
	f.pace += paceSampleWeight * (gap - f.pace)
}

// decayRate lets the rate follow the last seconds.
func (f *classTraffic) decayRate() {
	f.rate *= math.Exp(-slowTick.Seconds() / workRateWindow.Seconds())
}

// answerTime is for how long an answer of the usual length is made, in seconds, where a token
// takes so long at least.
func (f *classTraffic) answerTime(minStep float64) float64 { return f.tokens * max(f.pace, minStep) }

// slotHoldTime is for how long an answer will hold its slot, in seconds, where a token takes
// so long at least.
func (f *classTraffic) slotHoldTime(minStep float64) float64 {
	return holdSlowdown * f.answerTime(minStep)
}

// expectSlots brings the slots that each place's requests will occupy up to date.
func (p *pool) expectSlots(now time.Time) {
	p.expectedSlots = tiers.Demand{}
	if p.service {
		return
	}
	fullBatchStep := p.engine.stepAt(float64(p.slots()))
	var growth tiers.Demand
	for _, u := range p.usages {
		u.traffic.decayRate()
		if now.Sub(u.lastAt) < classUseWindow {
			p.expectedSlots[placeOf(u.class)] += u.traffic.rate * u.traffic.slotHoldTime(fullBatchStep)
			growth[placeOf(u.class)] += u.traffic.rate * growthWindow.Seconds()
		}
	}
	for place := range p.expectedSlots {
		p.expectedSlots[place] = min(p.expectedSlots[place], p.runningByPlace[place]+growth[place])
	}
}

// slotDemand is what this instance asks slots for: what runs and waits, and what is expected.
func (p *pool) slotDemand() tiers.Demand {
	demand := p.demand()
	for place := range demand {
		demand[place] = max(demand[place], p.expectedSlots[place])
	}
	return demand
}

// splitSlots works out this instance's part of the pool's slots.
func (p *pool) splitSlots() {
	p.slotSplit, p.quota = p.tiers.Split(p.capacity, p.slotDemand(), p.shares)
}

// withinSplit tells whether the request leaves the slots free that are kept for more
// urgent ones. All but long answers of the least urgent rank may borrow them: engines put
// these back first, and others must not get nothing beside slots that nobody uses.
func (p *pool) withinSplit(r *request) bool {
	place := placeOf(r.class)
	if p.service || !r.Anchored {
		return true
	}
	if p.holdsSlotsLong(r) && model.RankOf(place) >= p.lastRank {
		return p.runningByPlace[place] < p.slotSplit[place]
	}
	slots := 0.0
	for _, part := range p.slotSplit[:place+1] {
		slots += part
	}
	return p.runningUpTo(place) < slots
}
