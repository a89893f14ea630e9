package choose

import "math/rand/v2"

// Least takes the least cost; equal costs are settled by chance, so that
// instances that see the same do not all take the same server.
type Least struct{}

var _ Picker = Least{}

// Pick implements Picker.
func (Least) Pick(scores []float64, _ *Ranks, random *rand.Rand) int {
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
// same server, and different requests to different ones. The two highest ranks
// of all may cost more to be taken: copies that differ then meet on two servers.
type Near struct {
	// First, Second and Share are how far above the least cost still counts as
	// close, for the highest rank, the next one and all others.
	First, Second, Share float64
}

var _ Picker = Near{}

// Pick implements Picker.
func (n Near) Pick(scores []float64, ranks *Ranks, random *rand.Rand) int {
	best := Least{}.Pick(scores, ranks, random)
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

func (n Near) share(rank uint64, ranks *Ranks) float64 {
	switch rank {
	case ranks.First:
		return n.First
	case ranks.Second:
		return n.Second
	default:
		return n.Share
	}
}
