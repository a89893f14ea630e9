package finish

import "math"

const (
	// largeQuantile is the quantile of the prompt lengths of a class from which they count as large.
	largeQuantile = 0.9
	// largeShare is how often large requests are accepted at least, relative to all of their class:
	// above the half that is promised, since the counts lag.
	largeShare = 0.7
	// minJudged is the decayed number of large requests from which their acceptance is compared.
	minJudged = 2
	// sizeStep is the relative step by which one prompt moves the largeQuantile.
	sizeStep = 0.05
)

// Served counts which requests of a class were accepted, with exponential decay.
type Served struct {
	// large is the learned largeQuantile of the prompt lengths, in tokens; 0 before the first.
	large      float64
	all, tenth acceptance
	cost       float64
}

type acceptance struct{ judged, accepted float64 }

func (a *acceptance) rate() float64 { return a.accepted / max(a.judged, 1) }

func (a *acceptance) add(accepted bool) {
	a.judged++
	if accepted {
		a.accepted++
	}
}

// Record records the decision on a request of so many prompt tokens and of the given cost.
func (s *Served) Record(tokens, cost float64, accepted bool) {
	s.all.add(accepted)
	if s.isLarge(tokens) {
		s.tenth.add(accepted)
	}
	if accepted {
		s.cost += cost
	}
	if s.large == 0 {
		s.large = tokens
	}
	s.large = quantileStep(s.large, tokens, sizeStep, largeQuantile)
}

func (s *Served) isLarge(tokens float64) bool { return s.large > 0 && tokens > s.large }

// Owed reports whether a request of so many prompt tokens is one of the largest tenth of its class
// while these are accepted much less often than the others.
func (s *Served) Owed(tokens float64) bool {
	return s.isLarge(tokens) && s.tenth.judged >= minJudged && s.tenth.rate() < largeShare*s.all.rate()
}

// Cost returns the decayed cost of what was accepted.
func (s *Served) Cost() float64 { return s.cost }

// Decay reduces the counts by the elapsed fraction of their time constant.
func (s *Served) Decay(elapsed float64) {
	keep := math.Exp(-elapsed)
	for _, v := range []*float64{&s.all.judged, &s.all.accepted, &s.tenth.judged, &s.tenth.accepted, &s.cost} {
		*v *= keep
	}
}
