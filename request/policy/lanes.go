package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Reading a long prompt delays the tokens of all answers on its engine: by some
// 60 ms each while it lasts, where an empty step takes 6 ms. An answer whose
// class wants less than that between two tokens is late then, however few
// requests the engine runs. So in each data centre some engines are kept for
// such answers, their lane, and long prompts are read on the others. All
// instances rank the engines alike, so they agree on the lane without a word.
const (
	// readingGap is the gap between two tokens beside a long prompt: a chunk of
	// 2,048 tokens at 50 to 64 a millisecond, its attention and the step itself.
	readingGap = 72 * time.Millisecond
	// longRead is the uncached length from which a prompt counts as long: two chunks.
	longRead = 4096
	// laneLearn is the weight of one request in the lane's share of all work.
	laneLearn = 0.02
	// firstTightWork and firstWork are the means before any request was seen: a
	// third, with the weight of 50 requests, so that the first few don't move lanes.
	firstTightWork = 400
	firstWork      = 3000
	// leastLane is the share of work below which nothing is kept free.
	leastLane = 0.02
	// laneTokenWork is what one more generated token costs of an engine's time in a
	// large batch, as prompt tokens read in the same time: 0.045 ms.
	laneTokenWork = 2.3
)

// tight tells whether the request's answers are late beside a long prompt.
func (r *request) tight() bool {
	return !r.pool.service && r.between() > 0 && r.between() < readingGap
}

// long tells whether the request's prompt would hold up others' tokens there.
func (r *request) long(s *server) bool { return s.uncached(r) >= longRead }

// noteWork learns which share of the pool's work the lane's requests make.
func (p *pool) noteWork(r *request) {
	work := laneTokenWork*r.estimated + min(float64(r.PromptTokens), longRead)
	tight := 0.0
	if r.tight() {
		tight = work
	}
	p.tightWork += laneLearn * (tight - p.tightWork)
	p.allWork += laneLearn * (work - p.allWork)
}

// laneShare is the part of the engines that the lane gets.
func (p *pool) laneShare() float64 { return p.tightWork / p.allWork }

// formLanes marks the lane's engines: in each data centre the first of the open
// ones by hash, at least one and not all.
func (p *pool) formLanes(now time.Time) {
	if p.service {
		return
	}
	groups := make(map[string][]*server)
	for _, s := range p.servers {
		s.lane = false
		if !s.closed() && !s.cut && !now.Before(s.ejectedUntil) {
			groups[s.dataCenter] = append(groups[s.dataCenter], s)
		}
	}
	share := p.laneShare()
	for _, group := range groups {
		if len(group) < 2 || share < leastLane {
			continue
		}
		slices.SortFunc(group, func(a, b *server) int {
			return cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name))
		})
		count := int(share*float64(len(group)) + 0.5)
		for _, s := range group[:min(max(count, 1), len(group)-1)] {
			s.lane = true
		}
	}
}

const (
	// strayLong is the price of a long prompt in the lane, strayTight that of a
	// tight answer outside: a miss of one answer's target, or a likely one.
	strayLong  = 4 * time.Second
	strayTight = time.Second
)

// stray is the price of the request outside the engines that suit it.
func (s *server) stray(r *request, h homes) time.Duration {
	switch {
	case s.service || !r.Anchored:
		return 0
	case s.lane && r.long(s) && !r.tight():
		return strayLong
	case !s.lane && r.tight():
		return strayTight
	}
	return h.past(s)
}
