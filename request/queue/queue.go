// Package queue orders the requests that wait for one pool.
//
// A request's tier and the rank of its class form its level. Requests start by rank,
// then tier, and are shed by tier, then rank. Within a level, teams share service by
// weighted fair queueing: each team has a virtual time that advances by the cost of
// its requests divided by the team's weight. Among the teams within Window of the
// lowest virtual time, the request with the earliest latest start goes first.
// Requests that can no longer meet their target are kept in separate heaps, so that
// they don't make others late.
//
// A Queue is not safe for concurrent use.
package queue

import (
	"container/heap"
	"time"

	"github.com/lilacbridge/lilacbridge/version/model"
)

// Window is how far a team's virtual time, in weighted tokens, may be ahead of the
// lowest one while its requests still compete by slack.
const Window = 3000

// Item is a queued request. The caller must not change its exported fields while it
// waits; the queue sets Late.
type Item struct {
	ID   uint64
	Tier int
	// Rank is the class's rank within its tier, 0 to model.Ranks-1.
	Rank  int
	Class string
	Team  string
	// Weight is the team's weight; values below 1 count as 1.
	Weight float64
	// Cost is the expected work in tokens.
	Cost float64
	// Arrived is the arrival time; Due is the latest start that meets the target.
	Arrived time.Time
	Due     time.Time
	// Late is set once Due has passed.
	Late bool
	// Begun is set when part of the answer exists. Such requests are never shed,
	// since the tokens generated so far would be wasted.
	Begun bool
	// Guaranteed is set for requests within their class's guaranteed share; they
	// are not shed for more urgent tiers.
	Guaranteed bool

	// index and classIndex are the item's indexes in its team's and its class's heap.
	index, classIndex int
	waiting           bool
	// skipped is set while the item is in Queue.skipped instead of its heap.
	skipped bool
}

// level returns the item's index into Queue.levels.
func (i *Item) level() int { return model.Level(i.Tier, i.Rank) }

// exempt reports whether the item must not be shed.
func (i *Item) exempt() bool { return i.Begun || i.Guaranteed }

// Waiting reports whether the item is in a queue.
func (i *Item) Waiting() bool { return i.waiting }

// items is a heap, ordered by Due for items on time and by Arrived for late ones.
type items []*Item

func (h items) Len() int { return len(h) }
func (h items) Less(i, j int) bool {
	a, b := h[i].key(), h[j].key()
	if a.Equal(b) {
		return h[i].ID < h[j].ID
	}
	return a.Before(b)
}
func (h items) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *items) Push(x any) {
	item := x.(*Item)
	item.index = len(*h)
	*h = append(*h, item)
}
func (h *items) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return item
}

func (i *Item) key() time.Time {
	if i.Late {
		return i.Arrived
	}
	return i.Due
}

// teamQueue holds one team's items of a level.
type teamQueue struct {
	name    string
	virtual float64
	onTime  items
	late    items
}

func (tq *teamQueue) heap(late bool) *items {
	if late {
		return &tq.late
	}
	return &tq.onTime
}

// level holds the queues of one level. active lists the teams with waiting items,
// in order of arrival; teams also holds idle ones, for their virtual times.
type level struct {
	teams  map[string]*teamQueue
	active []*teamQueue
	// floor is the lowest virtual time at which a team becomes active, so that idle
	// teams don't accumulate an advantage.
	floor  float64
	count  int
	late   int
	exempt int
}

// maxIdleTeams is the number of known teams per level from which idle ones are pruned.
const maxIdleTeams = 1024

// Queue holds the waiting requests of one pool.
type Queue struct {
	levels     [model.Levels]level
	classes    map[string]*classQueue
	classNames []string
	count      int
	cost       float64
	// skipped are the items that Skip took out of their heaps.
	skipped []*Item
	// excess takes the place of the virtual times if it is set; see SetExcess.
	excess func(team string) float64
}

// New returns an empty queue.
func New() *Queue {
	q := &Queue{classes: make(map[string]*classQueue)}
	for i := range q.levels {
		q.levels[i].teams = make(map[string]*teamQueue)
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.count }

// Cost returns the expected work of all waiting requests, in tokens.
func (q *Queue) Cost() float64 { return q.cost }

// ranksOf returns the levels of the tier, most urgent first.
func (q *Queue) ranksOf(tier int) []level { return q.levels[tier*model.Ranks : (tier+1)*model.Ranks] }

// TierLen returns the number of waiting requests of the tier.
func (q *Queue) TierLen(tier int) int {
	count := 0
	for _, l := range q.ranksOf(tier) {
		count += l.count
	}
	return count
}

// LevelLen returns the number of waiting requests of the level, and how many of
// them are late.
func (q *Queue) LevelLen(level int) (waiting, late int) {
	return q.levels[level].count, q.levels[level].late
}

// OnTimeLen returns the number of waiting requests of the tier that can still meet
// their target.
func (q *Queue) OnTimeLen(tier int) int {
	count := 0
	for _, l := range q.ranksOf(tier) {
		count += l.count - l.late
	}
	return count
}

// Before returns how many requests on time would start before the item if it
// arrived now: those of its own position and of more urgent positions.
func (q *Queue) Before(item *Item) int {
	count, own := 0, model.Position(item.Tier, item.Rank)
	for i, l := range q.levels {
		if model.PositionOf(i) <= own {
			count += l.count - l.late
		}
	}
	return count
}

// Push adds the item, which must not be waiting in any queue.
func (q *Queue) Push(item *Item) {
	l := &q.levels[item.level()]
	tq := l.teams[item.Team]
	if tq == nil {
		l.pruneIdle()
		tq = &teamQueue{name: item.Team}
		l.teams[item.Team] = tq
	}
	if len(tq.onTime)+len(tq.late) == 0 {
		tq.virtual = max(tq.virtual, l.floor)
		l.active = append(l.active, tq)
	}
	heap.Push(tq.heap(item.Late), item)
	item.waiting = true
	q.add(item, 1)
	q.classOf(item.Class).push(item)
}

// pruneIdle drops idle teams once maxIdleTeams are known; they restart at the floor.
func (l *level) pruneIdle() {
	if len(l.teams) < maxIdleTeams {
		return
	}
	for name, tq := range l.teams {
		if len(tq.onTime)+len(tq.late) == 0 {
			delete(l.teams, name)
		}
	}
}

func (q *Queue) add(item *Item, sign int) {
	l := &q.levels[item.level()]
	l.count += sign
	q.count += sign
	q.cost += float64(sign) * item.Cost
	if item.Late {
		l.late += sign
	}
	if item.exempt() {
		l.exempt += sign
	}
}

// Remove removes the item; it does nothing if the item is not waiting.
func (q *Queue) Remove(item *Item) {
	if !item.waiting {
		return
	}
	l := &q.levels[item.level()]
	tq := l.teams[item.Team]
	if item.skipped {
		q.unskip(item)
	} else {
		heap.Remove(tq.heap(item.Late), item.index)
	}
	item.waiting = false
	q.classOf(item.Class).remove(item)
	q.add(item, -1)
	if len(tq.onTime)+len(tq.late) == 0 {
		l.deactivate(tq)
	}
	if q.count == 0 {
		q.cost = 0
	}
}

func (l *level) deactivate(tq *teamQueue) {
	for i, other := range l.active {
		if other == tq {
			l.active = append(l.active[:i], l.active[i+1:]...)
			return
		}
	}
}

// Peek returns the next request of the tier and rank, among the late or the on-time
// ones, or nil. Skipped items are left out.
func (q *Queue) Peek(tier, rank int, late bool) *Item {
	return q.ranksOf(tier)[rank].peek(late, q.order())
}

func (l *level) peek(late bool, o order) *Item {
	if late && l.late == 0 || !late && l.count == l.late {
		return nil
	}
	lowest, found := 0.0, false
	for _, tq := range l.active {
		if at := o.position(tq); len(*tq.heap(late)) > 0 && (!found || at < lowest) {
			lowest, found = at, true
		}
	}
	var best *Item
	for _, tq := range l.active {
		waiting := *tq.heap(late)
		if len(waiting) == 0 || o.position(tq) > lowest+o.window {
			continue
		}
		if first := waiting[0]; best == nil || first.key().Before(best.key()) {
			best = first
		}
	}
	return best
}

// Started removes the item and charges its expected cost to its team.
func (q *Queue) Started(item *Item) {
	q.Remove(item)
	l := &q.levels[item.level()]
	tq := l.teams[item.Team]
	l.floor = max(l.floor, tq.virtual-Window)
	tq.virtual += item.Cost / max(item.Weight, 1)
}

// Charge adds tokens, the difference between the actual and the expected cost of
// the item, to its team's virtual time. tokens may be negative.
func (q *Queue) Charge(item *Item, tokens float64) {
	if tq := q.levels[item.level()].teams[item.Team]; tq != nil {
		tq.virtual += tokens / max(item.Weight, 1)
	}
}

// MarkLate marks the requests whose latest start has passed as late and calls
// visit for each of them.
func (q *Queue) MarkLate(now time.Time, visit func(*Item)) {
	for i := range q.levels {
		l := &q.levels[i]
		if l.count == l.late {
			continue
		}
		for _, tq := range l.active {
			for len(tq.onTime) > 0 && tq.onTime[0].Due.Before(now) {
				item := heap.Pop(&tq.onTime).(*Item)
				item.Late = true
				l.late++
				heap.Push(&tq.late, item)
				visit(item)
			}
		}
	}
}

// EachLate calls visit for each late item.
func (q *Queue) EachLate(visit func(*Item)) {
	for i := range q.levels {
		if q.levels[i].late == 0 {
			continue
		}
		for _, tq := range q.levels[i].active {
			for _, item := range tq.late {
				visit(item)
			}
		}
	}
}
