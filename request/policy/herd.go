package policy

import "time"

// In a large fleet all instances know the same loads, three quarters of a second old. While
// most engines are full, those few that seem to have room get what all instances start
// until the next word, many times their slots, and are avoided for seconds afterwards. So
// each word opens an engine to as many instances, by chance, as together fill its room.

// toldAge is the usual age of loads that are told beside digests.
const toldAge = 750 * time.Millisecond

// spreadStarts draws which engines this instance uses until the next word.
func (c *core) spreadStarts(p *pool) {
	if p.service {
		return
	}
	var engines, open [lanes]float64
	for _, s := range p.servers {
		s.shunned = false
		if s.closed() || s.cut {
			continue
		}
		engines[s.lane]++
		if s.roomLeft(p) >= 1 {
			open[s.lane]++
		}
	}
	if !c.told {
		return
	}
	for _, s := range p.servers {
		if open[s.lane] == 0 {
			continue
		}
		starts := p.laneStarts[s.lane] * float64(p.tiers.Instances()) * toldAge.Seconds()
		// What ends meanwhile makes room too.
		room := max(s.roomLeft(p), 0) + starts/engines[s.lane]
		if come := starts / open[s.lane]; come > room {
			s.shunned = c.random.Float64() >= room/come
		}
	}
}

// roomLeft is how many more requests the engine takes, by what is known of its load.
func (s *server) roomLeft(p *pool) float64 {
	return s.limit(s.paced(p, 0), p.tight) - toldReserve - s.load()
}
