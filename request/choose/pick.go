package choose

import "math/rand/v2"

// LowestCost takes the least cost; equal costs are settled by chance, so that
// instances that see the same do not all take the same server.
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

// NearLowestCost takes the highest rank among the costs close to the least. Instances
// that see loads a little differently then send copies of one request to the
// same server, and different requests to different ones. The two highest ranks
// of all may cost more to be taken: copies that differ then meet on two servers.
type NearLowestCost struct {
	// FirstMargin, SecondMargin and Margin are how far above the least cost still counts as
	// close, for the highest rank, the next one and all others.
	FirstMargin, SecondMargin, Margin float64
}

var _ Picker = NearLowestCost{}

// Pick implements Picker.
func (n NearLowestCost) Pick(scores []float64, ranks *Hashes, random *rand.Rand) int {
	best := LowestCost{}.Pick(scores, ranks, random)
	if best < 0 {
		return best
	}
	least := scores[best]
	for i, score := range scores {
		if rank := ranks.Allowed[i]; rank > ranks.Allowed[best] && score <= least*(1+n.share(rank, ranks)) {
			best = i
		}
	}
	return best
}

func (n NearLowestCost) share(rank uint64, ranks *Hashes) float64 {
	switch rank {
	case ranks.Highest:
		return n.FirstMargin
	case ranks.SecondHighest:
		return n.SecondMargin
	default:
		return n.Margin
	}
}
