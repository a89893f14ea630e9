package queue

import (
	"container/heap"
	"slices"
)

// Skip hides the item from Peek until RestoreSkipped, so that items behind it can
// start while it can't. The item still counts as waiting.
func (q *Queue) Skip(item *Item) {
	heap.Remove(q.levels[item.level()].teams[item.Team].heap(item.Late), item.index)
	item.skipped = true
	q.skipped = append(q.skipped, item)
}

// RestoreSkipped puts skipped items back into their heaps.
func (q *Queue) RestoreSkipped() {
	for _, item := range q.skipped {
		item.skipped = false
		l := &q.levels[item.level()]
		tq := l.teams[item.Team]
		heap.Push(tq.heap(item.Late), item)
		if !slices.Contains(l.active, tq) {
			l.active = append(l.active, tq)
		}
	}
	clear(q.skipped)
	q.skipped = q.skipped[:0]
}

func (q *Queue) unskip(item *Item) {
	item.skipped = false
	i := slices.Index(q.skipped, item)
	q.skipped = slices.Delete(q.skipped, i, i+1)
}
