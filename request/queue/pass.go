package queue

import (
	"container/heap"
	"slices"
)

// Skip takes the item aside until Restore: it can't start now, and those behind it may.
// It still counts as waiting.
func (q *Queue) Skip(item *Item) {
	heap.Remove(q.levels[item.level()].all[item.Team].heap(item.Late), item.index)
	item.passed = true
	q.passed = append(q.passed, item)
}

// RestoreSkipped gives the items that were taken aside their places back.
func (q *Queue) RestoreSkipped() {
	for _, item := range q.passed {
		item.passed = false
		t := &q.levels[item.level()]
		of := t.all[item.Team]
		heap.Push(of.heap(item.Late), item)
		if !slices.Contains(t.active, of) {
			t.active = append(t.active, of)
		}
	}
	clear(q.passed)
	q.passed = q.passed[:0]
}

func (q *Queue) unpass(item *Item) {
	item.passed = false
	at := slices.Index(q.passed, item)
	q.passed = slices.Delete(q.passed, at, at+1)
}
