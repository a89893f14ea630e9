package queue

import "github.com/lilacbridge/lilacbridge/version/model"

// LowestTier returns the least urgent tier with waiting requests that may be shed,
// or -1.
func (q *Queue) LowestTier() int {
	for i := len(q.levels) - 1; i >= 0; i-- {
		if q.levels[i].count > q.levels[i].exempt {
			return i / model.Ranks
		}
	}
	return -1
}

// Victim returns the request of the tier to shed first, or nil if all are exempt. It
// prefers the least urgent rank, then late requests over those on time, then the
// team with the highest virtual time, and takes one from the end of that team's heap.
func (q *Queue) Victim(tier int) *Item {
	ranks := q.ranksOf(tier)
	for i := len(ranks) - 1; i >= 0; i-- {
		for _, late := range [...]bool{true, false} {
			if item := ranks[i].victim(late, q.order()); item != nil {
				return item
			}
		}
	}
	return nil
}

func (l *level) victim(late bool, o order) *Item {
	var best *Item
	highest := 0.0
	for _, tq := range l.active {
		at := o.position(tq)
		if item := tq.heap(late).lastSheddable(); item != nil && (best == nil || at > highest) {
			best, highest = item, at
		}
	}
	return best
}

// lastSheddable returns the last item in heap order that may be shed, or nil.
func (h items) lastSheddable() *Item {
	for i := len(h) - 1; i >= 0; i-- {
		if !h[i].exempt() {
			return h[i]
		}
	}
	return nil
}
