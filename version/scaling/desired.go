package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/version/routing"
)

// desired returns the number of replicas of each group.
//
// Reclaimable replicas are spread evenly over the data centres that have them. Ordinary
// ones are ordered for what these can't take, and those that exist stay until reclaimable
// ones are ready in their place.
func (s *service) desired(now time.Time, dataCenters []string) map[routing.ReplicaGroup]int {
	desired := make(map[routing.ReplicaGroup]int)
	cheap := s.cheapDataCenters(now, dataCenters)
	left := 0
	for _, dataCenter := range dataCenters {
		if _, key := s.keys(dataCenter); !slices.Contains(cheap, dataCenter) {
			// Replicas that are left of a reclaimed group stay.
			desired[key] = s.group(key).ready
			left += desired[key]
		}
	}
	missing := s.spread(desired, cheap, max(0, s.total-left), true, unlimited)
	readyInPlace := 0
	for key, replicas := range desired {
		if key.Reclaimable {
			readyInPlace += min(s.group(key).ready, replicas)
		}
	}
	if s.bootsLate(now) {
		missing = max(missing, s.total-readyInPlace)
	}
	s.spread(desired, dataCenters, missing, false, unlimited)
	stay := max(0, s.total-readyInPlace-missing)
	s.spread(desired, dataCenters, stay, false, func(key routing.ReplicaGroup) int { return s.group(key).ready })
	s.keepMinimum(desired, dataCenters)
	return desired
}

// bootsLate reports whether reclaimable replicas were accepted and have not become ready
// in time.
func (s *service) bootsLate(now time.Time) bool {
	for key, g := range s.groups {
		if key.Reclaimable && g.ordered > g.ready && now.Sub(g.orderedAt) > s.scaling.BootTime+listLag {
			return true
		}
	}
	return false
}

func (s *service) keys(dataCenter string) (ordinary, reclaimable routing.ReplicaGroup) {
	return routing.ReplicaGroup{Service: s.name, DataCenter: dataCenter},
		routing.ReplicaGroup{Service: s.name, DataCenter: dataCenter, Reclaimable: true}
}

// cheapDataCenters returns the data centres in which reclaimable replicas can be had.
func (s *service) cheapDataCenters(now time.Time, dataCenters []string) []string {
	if s.scaling.ReclaimablePrice <= 0 || s.scaling.ReclaimablePrice >= 1 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(dataCenters), func(dataCenter string) bool {
		_, key := s.keys(dataCenter)
		return now.Before(s.group(key).unavailableUntil)
	})
}

// unlimited is a limit of spread that only the maximum of a data centre bounds.
func unlimited(routing.ReplicaGroup) int { return math.MaxInt }

// spread adds up to count replicas of one kind evenly to the data centres, the cheaper ones
// first, within the maximum of each data centre and the limit of each group. It returns
// how many did not fit.
func (s *service) spread(desired map[routing.ReplicaGroup]int, dataCenters []string, count int, reclaimable bool, limit func(routing.ReplicaGroup) int) int {
	order := slices.Clone(dataCenters)
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(s.scaling.Prices[a], s.scaling.Prices[b]) })
	for count > 0 {
		placed := 0
		for _, dataCenter := range order {
			ordinaryKey, reclaimableKey := s.keys(dataCenter)
			key := ordinaryKey
			if reclaimable {
				key = reclaimableKey
			}
			if count > 0 && desired[key] < limit(key) && desired[ordinaryKey]+desired[reclaimableKey] < s.scaling.Maximum {
				desired[key]++
				count--
				placed++
			}
		}
		if placed == 0 {
			return count
		}
	}
	return 0
}

// keepMinimum raises ordinary replicas where both kinds together are below the minimum, and
// never lowers a group while the other kind has not reached the minimum yet.
func (s *service) keepMinimum(desired map[routing.ReplicaGroup]int, dataCenters []string) {
	for _, dataCenter := range dataCenters {
		ordinary, reclaimable := s.keys(dataCenter)
		missing := s.scaling.Minimum - min(desired[reclaimable], s.group(reclaimable).ready)
		desired[ordinary] = max(desired[ordinary], missing)
	}
}
