package scaling

import (
	"maps"
	"slices"

	"github.com/lilacbridge/lilacbridge/version/routing"
)

// GroupStatus describes a group for operators.
type GroupStatus struct {
	Group routing.ReplicaGroup
	// Ordered is the number last ordered by this holder, -1 for none.
	Ordered int
	// Ready is the number of servers listed as ready.
	Ready int
	// Reason is the reason of the service's last decision.
	Reason string
}

// Status returns the state of all groups, sorted.
func (c *Core) Status() []GroupStatus {
	var list []GroupStatus
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		s := c.services[name]
		for _, dataCenter := range s.dataCenters() {
			ordinary, reclaimable := s.keys(dataCenter)
			for _, key := range []routing.ReplicaGroup{ordinary, reclaimable} {
				if g := s.groups[key]; g != nil {
					list = append(list, GroupStatus{key, g.ordered, g.ready, s.reason})
				}
			}
		}
	}
	return list
}
