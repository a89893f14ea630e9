package orders

import (
	"cmp"
	"container/heap"
	"time"
)

const (
	// readsPerMinute limits the reads of all engines together.
	//
	// Reading 5,900 engines every ten seconds would take 590 calls per second, a
	// fifth of a core and the holder's whole budget for control traffic. A token
	// bucket limits reads, and urgent ones, on which orders depend, precede routine
	// checks. A read on its own connection costs 850 bytes including packet
	// headers, so seven per second leave room for digests and polls.
	readsPerMinute = 420
	// readBurst is the number of reads allowed at once after an idle period.
	readBurst = 60
)

// scheduledRead is a scheduled read of an engine.
type scheduledRead struct {
	engine *engine
	at     time.Time
	// generation is that of the engine when the read was scheduled; an older one is
	// void.
	generation uint64
}

// readQueue is a heap of scheduled reads, by time, then name.
type readQueue []scheduledRead

func (q readQueue) Len() int      { return len(q) }
func (q readQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q readQueue) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].engine.Name, q[j].engine.Name)) < 0
}
func (q *readQueue) Push(x any) { *q = append(*q, x.(scheduledRead)) }
func (q *readQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// firstDue returns the first engine whose read is due, or nil.
func (q *readQueue) firstDue(now time.Time) *engine {
	for q.Len() > 0 {
		first := (*q)[0]
		switch {
		case first.generation != first.engine.generation:
			heap.Pop(q)
		case first.at.After(now):
			return nil
		default:
			return first.engine
		}
	}
	return nil
}

// schedule schedules the next read of the engine for the given time, or for when it
// may be read. Reads on which an order depends are urgent.
func (c *Core) schedule(e *engine, at time.Time, urgent bool) {
	if ready := c.readyAt(e); at.Before(ready) {
		at = ready
	}
	e.generation++
	queue := &c.routine
	if urgent {
		queue = &c.urgent
	}
	heap.Push(queue, scheduledRead{engine: e, at: at, generation: e.generation})
}

// nextReads returns the reads that are due, urgent ones first.
func (c *Core) nextReads(now time.Time) []Action {
	var actions []Action
	for {
		e := c.urgent.firstDue(now)
		if e == nil {
			e = c.routine.firstDue(now)
		}
		if e == nil || !c.readBudget.take(now) {
			return actions
		}
		e.generation++
		e.inFlight = true
		actions = append(actions, Read{Engine: e.Engine, Fencing: c.fencing})
	}
}
