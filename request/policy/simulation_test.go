package policy

import (
	"container/heap"
	"time"
)

// simEvent is a function due at a time.
type simEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation runs functions in the order of their times, which start at epoch.
type simulation struct {
	now      time.Time
	sequence int
	events   simEvents
}

func (s *simulation) at(offset time.Duration, run func()) { s.schedule(epoch.Add(offset), run) }

func (s *simulation) after(delay time.Duration, run func()) { s.schedule(s.now.Add(delay), run) }

func (s *simulation) schedule(at time.Time, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{at: at, sequence: s.sequence, run: run})
}

// run runs the simulation for the given time.
func (s *simulation) run(length time.Duration) {
	for len(s.events) > 0 && s.events[0].at.Before(epoch.Add(length)) {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.run()
	}
}
