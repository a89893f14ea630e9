package policy

import (
	"time"
)

// observeGap records a gap between two tokens.
func (s *server) observeGap(now time.Time, gap time.Duration) {
	sample := gap.Seconds() / (s.paceNow * (s.load() + s.stepOffset))
	if s.engine != nil && s.backlogBefore(engineLevels-1) == 0 {
		s.engine.observeStep(s.load(), gap.Seconds()/s.paceNow)
		s.pace.Observe(now, gap.Seconds()/s.engine.stepAt(s.load()))
	}
	weight := sampleWeight
	switch {
	case sample <= outlierRatio*s.gapPerRequest:
	case s.engine != nil:
		// A single gap beside a long prompt does not indicate the step time; many in a row do.
		sample = outlierRatio * s.gapPerRequest
	default:
		weight = outlierWeight
	}
	s.gapPerRequest += weight * (sample - s.gapPerRequest)
}

const (
	// ownGapMaxAge is how long the own samples take precedence over what peers report.
	ownGapMaxAge = 500 * time.Millisecond
	// peerGapWeight is the weight of a gap reported by a peer.
	peerGapWeight = 0.5
	// gapMaxAge is the age from which a gap without new samples decays towards the pool's, by
	// gapDecay at each slowTick: otherwise a straggler that no instance uses would never be tried
	// again.
	gapMaxAge = 3 * time.Second
	gapDecay  = 0.02
)

// advertisedGap returns the gap to report to peers, in microseconds; 0 without a fresh sample.
func (s *server) advertisedGap(now time.Time) uint32 {
	if s.service || now.Sub(s.lastTokenAt) > ownGapMaxAge {
		return 0
	}
	return uint32(s.gapAt(s.load()) / time.Microsecond)
}

// observePeerGap records a gap reported by a peer, unless there is a fresh sample of this
// instance, so that not every instance has to discover a straggler at the cost of a request.
func (s *server) observePeerGap(now time.Time, gap time.Duration) {
	if gap <= 0 || now.Sub(s.lastTokenAt) < ownGapMaxAge {
		return
	}
	// Smaller differences are within the noise.
	if sample := gap.Seconds() / (s.paceNow * (s.load() + s.stepOffset)); sample > outlierRatio*s.gapPerRequest/2 {
		s.peerGapAt = now
		s.gapPerRequest += peerGapWeight * (sample - s.gapPerRequest)
	}
}
