package scaling

import (
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/version/routing"
)

// Spare replicas for bursts are worth their price only while it is low: the operators may have
// ordinary replicas, which cost several times as much as reclaimable ones, ordered for less spare
// capacity.

// maxBackoffSteps bounds how often the pause after refused orders is doubled.
const maxBackoffSteps = 3

// sparesCheapOnly reports whether ordinary replicas are ordered for less spare capacity than
// reclaimable ones.
func (s *service) sparesCheapOnly(options Options) bool {
	return options.OrdinaryUse > options.TargetUse && s.scaling.ReclaimablePrice > 0 && s.scaling.ReclaimablePrice < 1
}

// desiredWithCheapSpares returns the number of replicas of each group: reclaimable ones for all that is
// wanted, and ordinary ones only for what the load needs beyond those that serve or are still
// expected to.
func (s *service) desiredWithCheapSpares(now time.Time, dataCenters []string) map[routing.ReplicaGroup]int {
	desired := make(map[routing.ReplicaGroup]int)
	cheap := s.cheapDataCenters(now, dataCenters)
	left := 0
	for _, dataCenter := range dataCenters {
		if _, key := s.keys(dataCenter); !slices.Contains(cheap, dataCenter) {
			desired[key] = s.group(key).ready
			left += desired[key]
		}
	}
	s.spread(desired, cheap, max(0, s.total-left), true, unlimited)
	ready, expected := 0, 0
	for key, replicas := range desired {
		g := s.group(key)
		ready += min(g.ready, replicas)
		expected += min(max(g.ready, s.booting(now, g)), replicas)
	}
	missing := max(0, s.needed-expected)
	s.spread(desired, dataCenters, missing, false, unlimited)
	// Ordinary replicas that exist stay while those in their place boot.
	stay := max(0, min(s.needed, s.total)-ready-missing)
	s.spread(desired, dataCenters, stay, false, func(key routing.ReplicaGroup) int { return s.group(key).ready })
	s.keepMinimum(desired, dataCenters)
	return desired
}

// booting returns how many replicas the group has once its order has taken effect, or 0 if it
// should have by now.
func (s *service) booting(now time.Time, g *group) int {
	if g.ordered < 0 || now.Sub(g.orderedAt) > s.scaling.BootTime+listLag {
		return 0
	}
	return g.ordered
}
