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

// TwoChoices takes the lesser of two random candidates: stale costs that all
// instances share then do not draw all of them to one server.
type TwoChoices struct{}

var _ Picker = TwoChoices{}

// Pick implements Picker.
func (TwoChoices) Pick(scores []float64, random *rand.Rand) int {
	if len(scores) < 2 {
		return len(scores) - 1
	}
	a := random.IntN(len(scores))
	b := random.IntN(len(scores) - 1)
	if b >= a {
		b++
	}
	if scores[b] < scores[a] {
		return b
	}
	return a
}
