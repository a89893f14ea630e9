package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// In a large fleet all instances see the same loads, 750 ms old. While most engines are full, the
// few that seem to have free slots would get everything that all instances start until the next
// update, many times their slots, and then be avoided for seconds. Each update therefore opens an
// engine to a random set of instances, as many as together fill its free slots, and bounds how
// many requests each of them starts there until the next update.

// boardLoadAge is the typical age of loads on the load board.
const boardLoadAge = 750 * time.Millisecond

// drawStartBudgets draws which engines this instance uses until the next load update, and how
// many requests it may start on each.
func (c *core) drawStartBudgets(p *pool) {
	if p.service {
		return
	}
	var engineWeight, openWeight [laneCount]float64
	for _, s := range p.servers {
		s.skipped, s.startBudget, s.displaceBudget = false, math.Inf(1), 0
		if s.closed() || s.unreachable {
			continue
		}
		engineWeight[s.lane] += s.startWeight()
		if s.freeSlots(p) >= 1 {
			openWeight[s.lane] += s.startWeight()
		}
	}
	if !c.boardActive {
		return
	}
	instances := float64(p.tiers.InstanceCount())
	for _, s := range p.servers {
		s.displaceBudget = roundRandomly(c.random, s.bulkLoad()/instances)
		if openWeight[s.lane] == 0 {
			continue
		}
		starts := p.laneStartRates[s.lane] * instances * boardLoadAge.Seconds()
		// Requests that end before the next update also free slots.
		freeSlots := max(s.freeSlots(p), 0) + starts*s.startWeight()/engineWeight[s.lane]
		expectedStarts := starts * s.startWeight() / openWeight[s.lane]
		if expectedStarts > freeSlots {
			s.skipped = c.random.Float64() >= freeSlots/expectedStarts
		}
		s.startBudget = max(1, math.Ceil(max(freeSlots, expectedStarts)/instances))
	}
}

// roundRandomly rounds x up or down at random such that the expected value is x.
func roundRandomly(random *rand.Rand, x float64) float64 {
	floor := math.Floor(x)
	if random.Float64() < x-floor {
		floor++
	}
	return floor
}

// freeSlots returns how many more requests the engine can take at its known load; negative above
// its limit.
func (s *server) freeSlots(p *pool) float64 {
	return s.limit(s.gapTarget(p, 0), p.minTokenGapTarget) - staleLoadReserve - s.load()
}
