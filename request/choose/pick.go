package choose

import "math/rand/v2"

// Least takes the least cost; equal costs are settled by chance, so that
// instances that see the same do not all take the same server.
type Least struct{}

var _ Picker = Least{}

// Pick implements Picker.
func (Least) Pick(scores []float64, _ []uint64, random *rand.Rand) int {
	best, equal := -1, 0
	for i, score := range scores {
		switch {
		case best < 0 || score < scores[best]:
			best, equal = i, 1
		case score == scores[best]:
			equal++
			if random.IntN(equal) == 0 {
				best = i
			}
		}
	}
	return best
}

// Near takes the highest rank among the costs close to the least. Instances
// that see loads a little differently then send copies of one request to the
// same server, and different requests to different ones.
type Near struct {
	// Share is how far above the least cost still counts as close.
	Share float64
}

var _ Picker = Near{}

// Pick implements Picker.
func (n Near) Pick(scores []float64, ranks []uint64, random *rand.Rand) int {
	best := Least{}.Pick(scores, ranks, random)
	if best < 0 {
		return best
	}
	limit := scores[best] * (1 + n.Share)
	for i, score := range scores {
		if score <= limit && ranks[i] > ranks[best] {
			best = i
		}
	}
	return best
}
