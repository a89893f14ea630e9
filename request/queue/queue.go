// Package queue orders the requests that wait for one pool.
//
// Tiers and the ranks of their classes make a request's level. Requests start by rank,
// then tier, and are given up by tier, then rank. Within a level, teams are kept fair by tokens: each has a
// virtual time that its requests push on by their cost over the team's weight.
// Among the teams within a window of the smallest virtual time, the request
// with the least slack goes first. Requests that can't meet their target any
// more stand apart, so that they make no other one late too.
package queue

import (
	"container/heap"
	"time"

	"github.com/lilacbridge/lilacbridge/version/model"
)

// Window is how many tokens (by weight) a team may be ahead of the one that
// got least and still be chosen for its lesser slack.
const Window = 3000

// Item is a request that waits.
type Item struct {
	ID   uint64
	Tier int
	// Rank is the class's place within its tier, 0 to model.Ranks-1.
	Rank  int
	Class string
	Team  string
	// Weight of the team; at least 1.
	Weight float64
	// Cost is the expected work in tokens.
	Cost float64
	// Arrived is when the request came; Due is the latest start that meets its target.
	Arrived time.Time
	Due     time.Time
	// Late is set once Due has passed.
	Late bool
	// Begun answers are never given up for load: their tokens would be wasted.
	Begun bool
	// Guaranteed requests are within their class's guaranteed share and are not
	// given up for more urgent tiers.
	Guaranteed bool

	index   int
	waiting bool
	// passed is true while the item is out of its heap since it can't start now.
	passed bool
}

// level is the item's place in the order of urgency.
func (i *Item) level() int { return model.Level(i.Tier, i.Rank) }

// held items are no part of what is shed.
func (i *Item) held() bool { return i.Begun || i.Guaranteed }

// Waiting tells whether the item is in a queue.
func (i *Item) Waiting() bool { return i.waiting }

// items is a heap: on time by Due, late by Arrived.
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

// team is one team's part of a level.
type team struct {
	name    string
	virtual float64
	onTime  items
	late    items
}

func (t *team) heap(late bool) *items {
	if late {
		return &t.late
	}
	return &t.onTime
}

// level holds the teams that wait, in order of their coming; all also has the
// virtual times of those that don't.
type level struct {
	all    map[string]*team
	active []*team
	// floor is the virtual time below which no team falls by staying away.
	floor float64
	count int
	late  int
	held  int
}

// maxIdleTeams bounds the virtual times kept for teams that don't wait.
const maxIdleTeams = 1024

// Queue holds what waits for one pool.
type Queue struct {
	levels  [model.Levels]level
	classes map[string]*classQueue
	names   []string
	count   int
	cost    float64
	// passed are the items that Pass took out of their heaps.
	passed []*Item
}

// New returns an empty queue.
func New() *Queue {
	q := &Queue{classes: make(map[string]*classQueue)}
	for i := range q.levels {
		q.levels[i].all = make(map[string]*team)
	}
	return q
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return q.count }

// Cost returns the expected tokens of all that waits.
func (q *Queue) Cost() float64 { return q.cost }

// ranksOf are the levels of the tier, the most urgent first.
func (q *Queue) ranksOf(tier int) []level { return q.levels[tier*model.Ranks : (tier+1)*model.Ranks] }

// TierLen returns the number of requests of the tier that wait.
func (q *Queue) TierLen(tier int) int {
	count := 0
	for _, l := range q.ranksOf(tier) {
		count += l.count
	}
	return count
}

// LevelLen returns the number of requests of the level that wait, and how many of
// them are late.
func (q *Queue) LevelLen(level int) (waiting, late int) {
	return q.levels[level].count, q.levels[level].late
}

// OnTimeLen returns the number of requests of the tier that wait and can still
// meet their target.
func (q *Queue) OnTimeLen(tier int) int {
	count := 0
	for _, l := range q.ranksOf(tier) {
		count += l.count - l.late
	}
	return count
}

// Before returns how many requests would start before the item if it came now:
// all of places before its own, and those of its own.
func (q *Queue) Before(item *Item) int {
	count, own := 0, model.Place(item.Tier, item.Rank)
	for i, l := range q.levels {
		if model.PlaceOf(i) <= own {
			count += l.count - l.late
		}
	}
	return count
}

// Push adds the item.
func (q *Queue) Push(item *Item) {
	t := &q.levels[item.level()]
	of := t.all[item.Team]
	if of == nil {
		t.forget()
		of = &team{name: item.Team}
		t.all[item.Team] = of
	}
	if len(of.onTime)+len(of.late) == 0 {
		of.virtual = max(of.virtual, t.floor)
		t.active = append(t.active, of)
	}
	heap.Push(of.heap(item.Late), item)
	item.waiting = true
	q.add(item, 1)
	q.classOf(item.Class).push(item)
}

// forget drops idle teams once there are many; they start again at the floor.
func (t *level) forget() {
	if len(t.all) < maxIdleTeams {
		return
	}
	for name, of := range t.all {
		if len(of.onTime)+len(of.late) == 0 {
			delete(t.all, name)
		}
	}
}

func (q *Queue) add(item *Item, sign int) {
	t := &q.levels[item.level()]
	t.count += sign
	q.count += sign
	q.cost += float64(sign) * item.Cost
	if item.Late {
		t.late += sign
	}
	if item.held() {
		t.held += sign
	}
	q.classOf(item.Class).waiting += sign
}

// Remove takes the item out, if it waits.
func (q *Queue) Remove(item *Item) {
	if !item.waiting {
		return
	}
	t := &q.levels[item.level()]
	of := t.all[item.Team]
	if item.passed {
		q.unpass(item)
	} else {
		heap.Remove(of.heap(item.Late), item.index)
	}
	item.waiting = false
	q.add(item, -1)
	if len(of.onTime)+len(of.late) == 0 {
		t.deactivate(of)
	}
	if q.count == 0 {
		q.cost = 0
	}
}

func (t *level) deactivate(of *team) {
	for i, other := range t.active {
		if other == of {
			t.active = append(t.active[:i], t.active[i+1:]...)
			return
		}
	}
}

// Peek returns the next request of the rank within the tier, on time or late, or nil.
// Those that Pass took aside are left out.
func (q *Queue) Peek(tier, rank int, late bool) *Item {
	return q.ranksOf(tier)[rank].peek(late)
}

func (t *level) peek(late bool) *Item {
	if late && t.late == 0 || !late && t.count == t.late {
		return nil
	}
	least, found := 0.0, false
	for _, of := range t.active {
		if len(*of.heap(late)) > 0 && (!found || of.virtual < least) {
			least, found = of.virtual, true
		}
	}
	var best *Item
	for _, of := range t.active {
		waiting := *of.heap(late)
		if len(waiting) == 0 || of.virtual > least+Window {
			continue
		}
		if first := waiting[0]; best == nil || first.key().Before(best.key()) {
			best = first
		}
	}
	return best
}

// Started takes the item out and charges its team.
func (q *Queue) Started(item *Item) {
	q.Remove(item)
	t := &q.levels[item.level()]
	of := t.all[item.Team]
	t.floor = max(t.floor, of.virtual-Window)
	of.virtual += item.Cost / max(item.Weight, 1)
}

// Charge corrects a team by what a request really cost.
func (q *Queue) Charge(item *Item, tokens float64) {
	if of := q.levels[item.level()].all[item.Team]; of != nil {
		of.virtual += tokens / max(item.Weight, 1)
	}
}

// MarkLate moves requests whose latest start has passed to the late ones and
// calls each with them.
func (q *Queue) MarkLate(now time.Time, each func(*Item)) {
	for i := range q.levels {
		t := &q.levels[i]
		if t.count == t.late {
			continue
		}
		for _, of := range t.active {
			for len(of.onTime) > 0 && of.onTime[0].Due.Before(now) {
				item := heap.Pop(&of.onTime).(*Item)
				item.Late = true
				t.late++
				heap.Push(&of.late, item)
				each(item)
			}
		}
	}
}

// EachLate calls each with the items that are late.
func (q *Queue) EachLate(each func(*Item)) {
	for i := range q.levels {
		if q.levels[i].late == 0 {
			continue
		}
		for _, of := range q.levels[i].active {
			for _, item := range of.late {
				each(item)
			}
		}
	}
}

// LowestTier returns the least urgent tier that waits and may be shed, or -1.
func (q *Queue) LowestTier() int {
	for i := len(q.levels) - 1; i >= 0; i-- {
		if q.levels[i].count > q.levels[i].held {
			return i / model.Ranks
		}
	}
	return -1
}

// Victim returns the request to give up first in the tier: of the least urgent
// rank a late one before one on time, of the team that is furthest ahead, and not
// its oldest; nil if all have begun.
func (q *Queue) Victim(tierNumber int) *Item {
	ranks := q.ranksOf(tierNumber)
	for i := len(ranks) - 1; i >= 0; i-- {
		for _, late := range [...]bool{true, false} {
			if item := ranks[i].victim(late); item != nil {
				return item
			}
		}
	}
	return nil
}

func (t *level) victim(late bool) *Item {
	var best *Item
	most := 0.0
	for _, of := range t.active {
		if item := of.heap(late).newest(); item != nil && (best == nil || of.virtual > most) {
			best, most = item, of.virtual
		}
	}
	return best
}

// newest returns one of the last of a heap that may be shed, or nil.
func (h items) newest() *Item {
	for i := len(h) - 1; i >= 0; i-- {
		if !h[i].held() {
			return h[i]
		}
	}
	return nil
}
