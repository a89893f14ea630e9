package choose

import "math/rand/v2"

// LowestCost picks the lowest cost. Ties are broken at random, so that instances that
// see the same costs don't all pick the same server.
type LowestCost struct{}

var _ Picker = LowestCost{}

// Pick implements Picker.
func (LowestCost) Pick(scores []float64, _ *Hashes, random *rand.Rand) int {
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

// NearLowestCost picks the highest hash among the costs close to the lowest one.
// Instances with slightly different views of the load then send copies of one request to
// the same server, and different requests to different servers. The servers with the
// two highest hashes of all may cost more: copies whose views differ further then meet
// on two servers.
type NearLowestCost struct {
	// FirstMargin, SecondMargin and Margin are how far above the lowest cost, relative
	// to it, a cost counts as close: for the highest hash, the second highest and all
	// others.
	FirstMargin, SecondMargin, Margin float64
}

var _ Picker = NearLowestCost{}

// Pick implements Picker.
func (n NearLowestCost) Pick(scores []float64, hashes *Hashes, random *rand.Rand) int {
	best := LowestCost{}.Pick(scores, hashes, random)
	if best < 0 {
		return best
	}
	lowest := scores[best]
	for i, score := range scores {
		if hash := hashes.Allowed[i]; hash > hashes.Allowed[best] && score <= lowest*(1+n.margin(hash, hashes)) {
			best = i
		}
	}
	return best
}

func (n NearLowestCost) margin(hash uint64, hashes *Hashes) float64 {
	switch hash {
	case hashes.Highest:
		return n.FirstMargin
	case hashes.SecondHighest:
		return n.SecondMargin
	default:
		return n.Margin
	}
}
