package finish

import "time"

// AccuracyBounds are the upper bounds of the buckets of Accuracy, as ratios of the actual to the
// expected duration of an answer.
var AccuracyBounds = [...]float64{0.25, 0.5, 0.75, 1, 1.33, 2, 4}

// Accuracy is a histogram of the ratios of actual to expected durations of answers.
type Accuracy struct {
	// Buckets counts the ratios up to each of AccuracyBounds and above the one before.
	Buckets [len(AccuracyBounds)]uint64
	// Count is the number of all ratios, Sum their sum.
	Count uint64
	Sum   float64
}

// Observe records an answer.
func (a *Accuracy) Observe(expected, actual time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := actual.Seconds() / expected.Seconds()
	a.Count++
	a.Sum += ratio
	for i, bound := range AccuracyBounds {
		if ratio <= bound {
			a.Buckets[i]++
			return
		}
	}
}

// Cumulative returns the number of ratios up to each of AccuracyBounds.
func (a *Accuracy) Cumulative() map[float64]uint64 {
	cumulative, sum := make(map[float64]uint64, len(AccuracyBounds)), uint64(0)
	for i, bound := range AccuracyBounds {
		sum += a.Buckets[i]
		cumulative[bound] = sum
	}
	return cumulative
}
