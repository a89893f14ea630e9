package policy

import (
	"math"
	"time"

	"github.com/lilacbridge/lilacbridge/request/tiers"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// Long answers of less urgent classes hold their slots for many seconds. As a burst grows they
// would fill the engines before the more urgent requests arrive, and running answers are not
// stopped. Each position therefore asks for the slots that its requests will occupy at the current
// arrival rate, by Little's law, and less urgent positions get what is left.

const (
	// lengthSampleWeight is the weight of one request in the mean answer length of its class,
	// gapSampleWeight that of one token event in the class's mean gap.
	lengthSampleWeight = 0.05
	gapSampleWeight    = 0.02
	// holdSlowdown is the factor by which answers are expected to hold their slots longer than
	// now: by the time slots are scarce, batches are full and prompts queue for prefill.
	holdSlowdown = 2.0
	// growthWindow limits the expected growth of a position to the arrivals of this time: a class
	// that already occupies what it needs would otherwise keep as much again from less urgent
	// ones.
	growthWindow = 4 * time.Second
	// maxBriefHold is the longest time for which a request may use a slot that is kept for more
	// urgent ones, such that the slot is free again before all of these have arrived.
	maxBriefHold = growthWindow
)

// classTraffic describes the requests of a class at this instance.
type classTraffic struct {
	// rate is the arrivals a second, tokens the mean answer length, tokenGap the mean gap between
	// tokens in seconds.
	rate, tokens, tokenGap float64
}

// observeArrival records a request with the expected answer length.
func (t *classTraffic) observeArrival(tokens float64) {
	t.rate += 1 / workRateWindow.Seconds()
	if t.tokens == 0 {
		t.tokens = tokens
	}
	t.tokens += lengthSampleWeight * (tokens - t.tokens)
}

// observeGap records a gap between tokens, in seconds.
func (t *classTraffic) observeGap(gap float64) {
	if t.tokenGap == 0 {
		t.tokenGap = gap
	}
	t.tokenGap += gapSampleWeight * (gap - t.tokenGap)
}

// decayRate applies one slowTick of exponential decay to the arrival rate.
func (t *classTraffic) decayRate() {
	t.rate *= math.Exp(-slowTick.Seconds() / workRateWindow.Seconds())
}

// answerTime returns the duration of a mean answer in seconds, with gaps of at least minStep.
func (t *classTraffic) answerTime(minStep float64) float64 {
	return t.tokens * max(t.tokenGap, minStep)
}

// slotHoldTime returns for how long an answer is expected to hold its slot, in seconds, with gaps
// of at least minStep.
func (t *classTraffic) slotHoldTime(minStep float64) float64 {
	return holdSlowdown * t.answerTime(minStep)
}

// expectSlots updates the number of slots that each position's requests are expected to occupy.
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
			p.expectedSlots[positionOf(u.class)] += u.traffic.rate * u.traffic.slotHoldTime(fullBatchStep)
			growth[positionOf(u.class)] += u.traffic.rate * growthWindow.Seconds()
		}
	}
	for position := range p.expectedSlots {
		p.expectedSlots[position] = min(p.expectedSlots[position], p.runningByPosition[position]+growth[position])
	}
}

// slotDemand returns the slots that this instance asks for: the larger of what runs and waits and
// of what is expected, by position.
func (p *pool) slotDemand() tiers.Demand {
	demand := p.demand()
	for position := range demand {
		demand[position] = max(demand[position], p.expectedSlots[position])
	}
	return demand
}

// splitSlots updates this instance's part of the pool's slots.
func (p *pool) splitSlots() {
	p.slotSplit, p.quota = p.tiers.Split(p.capacity, p.slotDemand(), p.shares)
}

// withinSplit reports whether the request leaves free the slots that are kept for more urgent
// ones. Any request but a long answer of the least urgent rank may use those slots: engines preempt
// the long answers first, and other requests must not wait while slots are idle.
func (p *pool) withinSplit(r *request) bool {
	position := positionOf(r.class)
	if p.service || !r.Pinned {
		return true
	}
	if p.holdsSlotsLong(r) && model.RankOf(position) >= p.lastRank {
		return p.runningByPosition[position] < p.slotSplit[position]
	}
	slots := 0.0
	for _, part := range p.slotSplit[:position+1] {
		slots += part
	}
	return p.runningUpTo(position) < slots
}
