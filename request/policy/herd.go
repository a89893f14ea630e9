package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// In a large fleet all instances know the same loads, three quarters of a second old. While
// most engines are full, those few that seem to have room get what all instances start
// until the next word, many times their slots, and are avoided for seconds afterwards. So
// each word opens an engine to as many instances, by chance, as together fill its room, and
// bounds what each of them starts there until the next.

// boardLoadAge is the usual age of loads that are told beside digests.
const boardLoadAge = 750 * time.Millisecond

// drawStartBudgets draws which engines this instance uses until the next word, and how much of
// each.
func (c *core) drawStartBudgets(p *pool) {
	if p.service {
		return
	}
	var engineCount, openCount [laneCount]float64
	for _, s := range p.servers {
		s.skipped, s.startBudget, s.displaceBudget = false, math.Inf(1), 0
		if s.closed() || s.unreachable {
			continue
		}
		engineCount[s.lane]++
		if s.freeSlots(p) >= 1 {
			openCount[s.lane]++
		}
	}
	if !c.told {
		return
	}
	instances := float64(p.tiers.Instances())
	for _, s := range p.servers {
		s.displaceBudget = roundRandomly(c.random, s.bulkLoad()/instances)
		if openCount[s.lane] == 0 {
			continue
		}
		starts := p.laneStartRates[s.lane] * instances * boardLoadAge.Seconds()
		// What ends meanwhile makes room too.
		freeSlots := max(s.freeSlots(p), 0) + starts/engineCount[s.lane]
		expectedStarts := starts / openCount[s.lane]
		if expectedStarts > freeSlots {
			s.skipped = c.random.Float64() >= freeSlots/expectedStarts
		}
		s.startBudget = max(1, math.Ceil(max(freeSlots, expectedStarts)/instances))
	}
}

// roundRandomly rounds up or down by chance, so that the mean stays the same.
func roundRandomly(random *rand.Rand, x float64) float64 {
	floor := math.Floor(x)
	if random.Float64() < x-floor {
		floor++
	}
	return floor
}

// freeSlots is how many more requests the engine takes, by what is known of its load.
func (s *server) freeSlots(p *pool) float64 {
	return s.limit(s.gapTarget(p, 0), p.minBetween) - staleLoadReserve - s.load()
}
