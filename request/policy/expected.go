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
	// lengthLearn is the weight of one request in its class's usual length, paceLearn
	// that of one event of an answer in the class's pace.
	lengthLearn = 0.05
	paceLearn   = 0.02
	// slowdown is how much longer than now answers are expected to hold their slots:
	// until slots are scarce, batches fill up and prompts wait to be read.
	slowdown = 2.0
	// growFor bounds what is expected by what can come in so long: a class that occupies
	// what it needs would else keep as much again from less urgent ones.
	growFor = 4 * time.Second
	// briefHold is the time within which a slot that is lent out comes back before the
	// requests that it is kept for have all come.
	briefHold = growFor
)

// flow is what is known of a class's requests at this instance.
type flow struct {
	// rate is at how many a second they come, tokens the usual length of their answers,
	// pace the time between two tokens, in seconds.
	rate, tokens, pace float64
}

// arrived takes in a request that is expected to be answered by so many tokens.
func (f *flow) arrived(tokens float64) {
	f.rate += 1 / workFor.Seconds()
	if f.tokens == 0 {
		f.tokens = tokens
	}
	f.tokens += lengthLearn * (tokens - f.tokens)
}

// paced takes in the gap between two tokens of an answer, in seconds.
func (f *flow) paced(gap float64) {
	if f.pace == 0 {
		f.pace = gap
	}
	f.pace += paceLearn * (gap - f.pace)
}

// fade lets the rate follow the last seconds.
func (f *flow) fade() { f.rate *= math.Exp(-slowTick.Seconds() / workFor.Seconds()) }

// lasts is for how long an answer of the usual length is made, in seconds, where a token
// takes so long at least.
func (f *flow) lasts(least float64) float64 { return f.tokens * max(f.pace, least) }

// holds is for how long an answer will hold its slot, in seconds, where a token takes
// so long at least.
func (f *flow) holds(least float64) float64 { return slowdown * f.lasts(least) }

// expectSlots brings the slots that each place's requests will occupy up to date.
func (p *pool) expectSlots(now time.Time) {
	p.expected = tiers.Demand{}
	if p.service {
		return
	}
	full := p.engine.stepAt(float64(p.slots()))
	var growth tiers.Demand
	for _, u := range p.uses {
		u.flow.fade()
		if now.Sub(u.at) < tightFor {
			p.expected[placeOf(u.class)] += u.flow.rate * u.flow.holds(full)
			growth[placeOf(u.class)] += u.flow.rate * growFor.Seconds()
		}
	}
	for place := range p.expected {
		p.expected[place] = min(p.expected[place], p.byPlace[place]+growth[place])
	}
}

// claim is what this instance asks slots for: what runs and waits, and what is expected.
func (p *pool) claim() tiers.Demand {
	claim := p.demand()
	for place := range claim {
		claim[place] = max(claim[place], p.expected[place])
	}
	return claim
}

// splitSlots works out this instance's part of the pool's slots.
func (p *pool) splitSlots() {
	p.split, p.quota = p.tiers.Split(p.capacity, p.claim(), p.shares)
}

// leavesRoom tells whether the request leaves the slots free that are kept for more
// urgent ones. All but long answers of the least urgent rank may borrow them: engines put
// these back first, and others must not get nothing beside slots that nobody uses.
func (p *pool) leavesRoom(r *request) bool {
	place := placeOf(r.class)
	if p.service || !r.Pinned {
		return true
	}
	if p.holdsLong(r) && model.RankOf(place) >= p.lastRank {
		return p.byPlace[place] < p.split[place]
	}
	slots := 0.0
	for _, part := range p.split[:place+1] {
		slots += part
	}
	return p.runs(place) < slots
}
