package queue

// ExcessWindow is how far a team may exceed its share, relative to the share, while its requests
// still compete by slack with those of teams that don't.
const ExcessWindow = 0.25

// SetExcess orders the teams of all levels by their excess in place of the virtual times. excess
// returns by how much a team was served beyond its share, relative to the share; 0 for teams
// that were not.
func (q *Queue) SetExcess(excess func(team string) float64) { q.excess = excess }

// order compares the teams of a level: those within window of the lowest position compete by
// slack.
type order struct {
	position func(*teamQueue) float64
	window   float64
}

func (q *Queue) order() order {
	if q.excess == nil {
		return order{func(tq *teamQueue) float64 { return tq.virtual }, Window}
	}
	return order{func(tq *teamQueue) float64 { return q.excess(tq.name) }, ExcessWindow}
}

// Ahead is like Before without the requests of the item's own level whose teams start after its
// own.
func (q *Queue) Ahead(item *Item) int {
	count := q.Before(item)
	if q.excess == nil {
		return count
	}
	own := q.excess(item.Team) + ExcessWindow
	for _, tq := range q.levels[item.level()].active {
		if q.excess(tq.name) > own {
			count -= len(tq.onTime)
		}
	}
	return count
}

// OverLen returns the number of requests of the level that are on time and whose teams exceed
// their shares by more than ExcessWindow.
func (q *Queue) OverLen(level int) int {
	if q.excess == nil {
		return 0
	}
	count := 0
	for _, tq := range q.levels[level].active {
		if q.excess(tq.name) > ExcessWindow {
			count += len(tq.onTime)
		}
	}
	return count
}

// Yielding returns the waiting request of the item's level to refuse in its place: that of the
// team with the highest excess, if that team starts after the item's own; else nil.
func (q *Queue) Yielding(item *Item) *Item {
	if q.excess == nil {
		return nil
	}
	l := &q.levels[item.level()]
	for _, late := range [...]bool{true, false} {
		if victim := l.victim(late, q.order()); victim != nil && q.excess(victim.Team) > q.excess(item.Team)+ExcessWindow {
			return victim
		}
	}
	return nil
}
