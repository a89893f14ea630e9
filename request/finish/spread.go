package finish

import (
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
)

const (
	// evenQuantile and likelyQuantile are the quantiles of the ratio of actual to expected duration
	// that a Spread learns.
	evenQuantile   = 0.5
	likelyQuantile = 0.8
	// initialLikely is the ratio of the likelyQuantile before any answer was observed.
	initialLikely = 1.5
	// ratioStep is the relative step by which one answer moves a learned ratio.
	ratioStep = 0.04
	// minRatio and maxRatio bound the learned ratios.
	minRatio = 0.25
	maxRatio = 4.0
)

// Spread is how the actual durations of the answers of a class compare with the expected ones.
// Answer lengths of a class differ thirtyfold, and hints are right at the median only.
type Spread struct{ even, likely float64 }

// NewSpread returns the spread of a class without answers so far.
func NewSpread() *Spread { return &Spread{even: 1, likely: initialLikely} }

// Observe records an answer's duration. For an answer that was cut off, it is the duration until
// then, a lower bound.
func (s *Spread) Observe(expected, actual time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := actual.Seconds() / expected.Seconds()
	s.even = bound(quantileStep(s.even, ratio, ratioStep, evenQuantile))
	s.likely = max(bound(quantileStep(s.likely, ratio, ratioStep, likelyQuantile)), s.even)
}

// Even returns the time by which an answer ends with even odds.
func (s *Spread) Even(e Expectation) time.Duration { return scale(e.End(), s.even) }

// Likely returns the time by which an answer is likely to end.
func (s *Spread) Likely(e Expectation) time.Duration { return scale(e.End(), s.likely) }

func bound(ratio float64) float64 { return min(max(ratio, minRatio), maxRatio) }

func scale(d time.Duration, ratio float64) time.Duration {
	return number.Duration(ratio * float64(d))
}

// quantileStep moves an estimate one relative step towards the quantile q of its samples.
func quantileStep(estimate, sample, step, q float64) float64 {
	if sample > estimate {
		return estimate * (1 + step*q)
	}
	return estimate * (1 - step*(1-q))
}
