package policy

import (
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
)

// What a server is expected to take, from its learned speed and from what is known of the
// requests of all instances on it.

// gapAt returns the expected gap between tokens at batch size n.
func (s *server) gapAt(n float64) time.Duration {
	gap := number.Seconds(s.gapPerRequest * s.paceNow * (n + s.stepOffset))
	return max(gap, s.stall)
}

// maxBatch returns the largest batch that keeps the gap between tokens within target.
func (s *server) maxBatch(target time.Duration) float64 {
	if target <= 0 {
		return float64(s.slots)
	}
	return min(float64(s.slots), headroom*target.Seconds()/(s.gapPerRequest*s.paceNow)-s.stepOffset)
}

// limit returns how many requests the server may run: the batch that keeps poolTarget, or if that
// is smaller than minStrictBatch, the one that keeps classTarget.
func (s *server) limit(poolTarget, classTarget time.Duration) float64 {
	if s.service {
		return float64(s.slots) * serviceOvercommit
	}
	n := s.maxBatch(poolTarget)
	if n < minStrictBatch {
		n = s.maxBatch(classTarget)
	}
	return max(n, 1)
}

// gapTarget returns the gap between tokens to which the server's batch is limited for a request
// whose class allows classTarget. Where the pool has a tight lane, servers outside the lane need
// not keep the pool's strictest target.
func (s *server) gapTarget(p *pool, classTarget time.Duration) time.Duration {
	if s.engine != nil && p.hasLane[laneTight] && s.lane != laneTight {
		return classTarget
	}
	return p.minTokenGapTarget
}

const (
	// serviceOvercommit lets a few calls queue at plain services: a call takes less time than the
	// age of the load information.
	serviceOvercommit = 1.5
	// minStrictBatch is the batch size below which a server is left to classes with looser
	// targets.
	minStrictBatch = 3
)

// backlogBefore returns the prompt tokens, of all instances, that are prefilled before a request
// of the level.
func (s *server) backlogBefore(level int) float64 {
	return s.ownBacklog.before(level) + s.peerBacklog.before(level) + s.boardBacklog.before(level)
}

// firstToken returns the expected time to the first token for a prompt with so many uncached
// tokens, as one of n requests.
func (s *server) firstToken(n, uncached float64, level int) time.Duration {
	if s.service {
		return number.Seconds(s.serviceSeconds() * max(1, n/float64(s.slots)))
	}
	first := s.gapAt(n) + number.Seconds(s.prefillSeconds(uncached+s.backlogBefore(level)))
	if s.engine != nil {
		first += number.Seconds(*s.engine.fixed(s))
	}
	if excess := n - float64(s.slots); excess > 0 {
		first += number.Duration(excess * slotWaitGaps * float64(s.gapAt(n)))
	}
	return first
}

// slotWaitGaps is the expected wait for a slot of a full batch, in gaps between tokens.
const slotWaitGaps = 12

// runningAgo returns how many requests of this instance the server ran at the given age.
func (s *server) runningAgo(age time.Duration) float64 {
	steps := int(age / slowTick)
	if steps >= historyLength {
		steps = historyLength - 1
	}
	return float64(s.history[(s.historyIndex-steps+historyLength)%historyLength])
}

// estimateOtherLoad combines the peers' reports with the server's load report, weighted by age.
func (s *server) estimateOtherLoad(peersKnown bool) {
	if s.reportAge < 0 {
		s.otherLoad = s.peerLoad + s.boardLoad
		return
	}
	if !peersKnown {
		s.otherLoad = s.reportedLoad
		return
	}
	reportWeight := 1 / (reportAgeScale + s.reportAge)
	// After a few seconds most of the requests in a report have ended.
	if s.reportAge > 2 {
		reportWeight = 0
	}
	digestWeight := 1 / (reportAgeScale + typicalDigestAge)
	s.otherLoad = (reportWeight*s.reportedLoad + digestWeight*(s.peerLoad+s.boardLoad)) / (reportWeight + digestWeight)
}
