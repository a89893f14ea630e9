package choose

import "math/rand/v2"

// Least takes the least cost; equal costs are settled by chance, so that
// instances that see the same do not all take the same server.
type Least struct{}

var _ Picker = Least{}

// Pick implements Picker.
func (Least) Pick(scores []float64, random *rand.Rand) int {
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
