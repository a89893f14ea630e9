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

// toldAge is the usual age of loads that are told beside digests.
const toldAge = 750 * time.Millisecond

// spreadStarts draws which engines this instance uses until the next word, and how much of
// each.
func (c *core) spreadStarts(p *pool) {
	if p.service {
		return
	}
	var engines, open [lanes]float64
	for _, s := range p.servers {
		s.shunned, s.startsLeft, s.displaceLeft = false, math.Inf(1), 0
		if s.closed() || s.cut {
			continue
		}
		engines[s.lane]++
		if s.roomLeft(p) >= 1 {
			open[s.lane]++
		}
	}
	if !c.boardActive {
		return
	}
	instances := float64(p.tiers.InstanceCount())
	for _, s := range p.servers {
		s.displaceLeft = wholePart(c.random, s.yielding()/instances)
		if open[s.lane] == 0 {
			continue
		}
		starts := p.laneStarts[s.lane] * instances * toldAge.Seconds()
		// What ends meanwhile makes room too.
		room := max(s.roomLeft(p), 0) + starts/engines[s.lane]
		come := starts / open[s.lane]
		if come > room {
			s.shunned = c.random.Float64() >= room/come
		}
		s.startsLeft = max(1, math.Ceil(max(room, come)/instances))
	}
}

// wholePart rounds up or down by chance, so that the mean stays the same.
func wholePart(random *rand.Rand, part float64) float64 {
	whole := math.Floor(part)
	if random.Float64() < part-whole {
		whole++
	}
	return whole
}

// roomLeft is how many more requests the engine takes, by what is known of its load.
func (s *server) roomLeft(p *pool) float64 {
	return s.limit(s.paced(p, 0), p.tight) - toldReserve - s.load()
}
