package policy

import (
	"time"
)

// observeGap takes in one gap between tokens.
func (s *server) observeGap(gap time.Duration) {
	sample := gap.Seconds() / (s.load() + s.stepOffset)
	if s.engine != nil && s.backlogBefore(levels-1) == 0 {
		s.engine.observeStep(s.load(), gap.Seconds())
	}
	weight := sampleWeight
	switch {
	case sample <= outlierRatio*s.gapPerRequest:
	case s.engine != nil:
		// A gap beside a long prompt says nothing of the step: many in a row do.
		sample = outlierRatio * s.gapPerRequest
	default:
		weight = outlierWeight
	}
	s.gapPerRequest += weight * (sample - s.gapPerRequest)
}

const (
	// ownGapMaxAge is how long own measurements outweigh what peers tell.
	ownGapMaxAge = 500 * time.Millisecond
	// peerGapWeight is the weight of a peer's gap.
	peerGapWeight = 0.5
	// gapMaxAge is when a gap that nobody measures any more begins to fade to
	// the pool's own, by forgetting at each slowTick: a straggler that nobody
	// uses would otherwise never be tried again.
	gapMaxAge = 3 * time.Second
	gapDecay  = 0.02
)

// advertisedGap is the gap that peers are told of, in microseconds; 0 if none is fresh.
func (s *server) advertisedGap(now time.Time) uint32 {
	if s.service || now.Sub(s.lastTokenAt) > ownGapMaxAge {
		return 0
	}
	return uint32(s.gapAt(s.load()) / time.Microsecond)
}

// observePeerGap learns from a peer's gap where there is none of one's own, so that a
// straggler need not be found out by each instance at a request's cost.
func (s *server) observePeerGap(now time.Time, gap time.Duration) {
	if gap <= 0 || now.Sub(s.lastTokenAt) < ownGapMaxAge {
		return
	}
	// Only news of a much slower server is worth it: small differences are noise.
	if sample := gap.Seconds() / (s.load() + s.stepOffset); sample > outlierRatio*s.gapPerRequest/2 {
		s.peerGapAt = now
		s.gapPerRequest += peerGapWeight * (sample - s.gapPerRequest)
	}
}
