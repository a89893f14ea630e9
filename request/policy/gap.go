package policy

import (
	"time"
)

// measured takes in one gap between tokens.
func (s *server) measured(gap time.Duration) {
	sample := gap.Seconds() / (s.load() + s.base)
	if s.engine != nil && s.before(engineLevels-1) == 0 {
		s.engine.stepped(s.load(), gap.Seconds())
	}
	weight := learn
	switch {
	case sample <= jump*s.norm:
	case s.engine != nil:
		// A gap beside a long prompt says nothing of the step: many in a row do.
		sample = jump * s.norm
	default:
		weight = jumpLearn
	}
	s.norm += weight * (sample - s.norm)
}

const (
	// ownGapFresh is how long own measurements outweigh what peers tell.
	ownGapFresh = 500 * time.Millisecond
	// peerLearn is the weight of a peer's gap.
	peerLearn = 0.5
	// forgetAfter is when a gap that nobody measures any more begins to fade to
	// the pool's own, by forgetting at each slowTick: a straggler that nobody
	// uses would otherwise never be tried again.
	forgetAfter = 3 * time.Second
	forgetting  = 0.02
)

// gapTold is the gap that peers are told of, in microseconds; 0 if none is fresh.
func (s *server) gapTold(now time.Time) uint32 {
	if s.service || now.Sub(s.lastToken) > ownGapFresh {
		return 0
	}
	return uint32(s.gapAt(s.load()) / time.Microsecond)
}

// hearGap learns from a peer's gap where there is none of one's own, so that a
// straggler need not be found out by each instance at a request's cost.
func (s *server) hearGap(now time.Time, gap time.Duration) {
	if gap <= 0 || now.Sub(s.lastToken) < ownGapFresh {
		return
	}
	// Only news of a much slower server is worth it: small differences are noise.
	if heard := gap.Seconds() / (s.load() + s.base); heard > jump*s.norm/2 {
		s.heardGap = now
		s.norm += peerLearn * (heard - s.norm)
	}
}
