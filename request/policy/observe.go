package policy

import "time"

const (
	// sampleWeight is the weight of one sample in a moving average; outlierWeight that of a
	// sample of more than outlierRatio times the average.
	sampleWeight  = 0.05
	outlierWeight = 0.2
	outlierRatio  = 2.5
)

// decayGap returns a gap estimate without recent samples to the pool's average.
func (s *server) decayGap(now time.Time, poolGapPerRequest float64) {
	if s.engine != nil {
		poolGapPerRequest = s.engine.perRequest
	}
	if now.Sub(s.lastTokenAt) > gapMaxAge && now.Sub(s.peerGapAt) > gapMaxAge && s.gapPerRequest > poolGapPerRequest {
		s.gapPerRequest += gapDecay * (poolGapPerRequest - s.gapPerRequest)
	}
}

// decayServiceTime returns the response time of a plain service that has not answered for a while to
// the pool's average, so that it is tried again.
func (s *server) decayServiceTime(now time.Time, poolServiceTime float64) {
	if s.service && now.Sub(s.lastResponseAt) > gapMaxAge && s.serviceTime > poolServiceTime {
		s.serviceTime += gapDecay * (poolServiceTime - s.serviceTime)
	}
}

// observeResponse records the time to the first token, or to the response of a plain service.
func (s *server) observeResponse(r *request, took time.Duration) {
	if s.service {
		s.serviceTime += sampleWeight * (took.Seconds()/s.paceNow - s.serviceTime)
		return
	}
	work := r.uncached + r.workAhead
	if s.engine != nil {
		if r.fetched == 0 && r.workAhead <= maxBacklogRatio*r.uncached {
			s.observePrefill(took, work)
		}
		return
	}
	if work < 64 {
		return
	}
	sample := (took - s.gapAt(s.load())).Seconds() / (s.paceNow * work)
	sample = min(max(sample, 0), 20*defaultPrefill)
	s.prefill += sampleWeight * (sample - s.prefill)
}

// observePrefill records the time to the first token after work prompt tokens. It subtracts the
// step time of the engine model, since the server's own gap estimate includes steps that also
// prefill long prompts.
func (s *server) observePrefill(took time.Duration, work float64) {
	elapsed := took.Seconds() - s.paceNow*s.engine.stepAt(s.load())
	if work < minPrefillSample {
		s.engine.observeFixed(s, elapsed-s.prefillSeconds(work))
		return
	}
	s.engine.observePrefill(s, max(elapsed-s.engine.farDelay(s), 0)/s.paceNow, work)
}

const (
	// failureSampleWeight is the weight of one request in the server's failure rate.
	failureSampleWeight = 0.15
	// failureDecay is the part of the failure rate that is lost at each slowTick. It halves the
	// rate in 4.6 s, so that a server that failed is tried again.
	failureDecay = 0.015
)

// sampleLoad records the own load and detects a stall: running answers that have had no token for
// several gaps.
func (s *server) sampleLoad(now time.Time) {
	s.historyIndex = (s.historyIndex + 1) % historyLength
	s.history[s.historyIndex] = int16(len(s.running))
	s.failureRate -= failureDecay * s.failureRate
	s.stall = 0
	if s.decoding == 0 {
		return
	}
	silent := now.Sub(s.lastTokenAt)
	if silent > minStall && silent > stallGaps*s.gapAt(s.load()) {
		s.stall = silent
	}
}

const (
	// stallGaps is the number of gaps without a token that make a stall, minStall the least time.
	stallGaps = 5
	minStall  = 250 * time.Millisecond
)
