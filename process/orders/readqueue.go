package orders

import (
	"cmp"
	"container/heap"
	"time"
)

const (
	// readsPerMinute bounds the readings of all engines together.
	//
	// It guards against a holder that spends its whole allowance for control on
	// reading: 5,900 engines each ten seconds are 590 calls a second. It shows as
	// a holder at a fifth of a core. It holds because readings draw on a bucket,
	// and what an order waits for goes before what is read only to be sure.
	// With its packets' headers a reading on a connection of its own costs 850 bytes,
	// so seven a second leave room for digests and polls.
	readsPerMinute = 420
	// readBurst is how many readings may be made at once after a quiet time.
	readBurst = 60
)

// reading is an engine's turn to be read.
type scheduledRead struct {
	engine *engine
	at     time.Time
	// turn is the engine's when this was scheduled; an older one counts no more.
	generation uint64
}

// readQueue orders readings by time, then name.
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

// due returns the first engine whose turn has come, and nil if there is none.
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

// schedule gives the engine its next turn, at the time or once it may be read.
// What an order waits for is urgent.
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

// reads returns the readings whose turn has come, urgent ones first.
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
