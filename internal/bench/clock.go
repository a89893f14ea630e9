// Package bench runs routing policies on simulated engines in virtual time.
//
// Engines, services, links and callers are simulated only as far as a policy.Core
// observes them, to measure its decisions. Every run is a pure function of fleet,
// scenario, policy and seed.
package bench

import "time"

// epoch is the start of virtual time.
var epoch = time.Unix(1_800_000_000, 0).UTC()

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// clock is an event queue in virtual time. Events of equal time run in insertion order.
type clock struct {
	now    time.Duration
	seq    uint64
	events []event
}

func (c *clock) time() time.Time { return epoch.Add(c.now) }

func (c *clock) after(delay time.Duration, run func()) {
	c.seq++
	c.events = append(c.events, event{at: c.now + max(delay, 0), seq: c.seq, run: run})
	c.up(len(c.events) - 1)
}

func (c *clock) before(i, j int) bool {
	a, b := &c.events[i], &c.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (c *clock) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !c.before(i, parent) {
			return
		}
		c.events[i], c.events[parent] = c.events[parent], c.events[i]
		i = parent
	}
}

func (c *clock) down() {
	i := 0
	for {
		child := 2*i + 1
		if child >= len(c.events) {
			return
		}
		if child+1 < len(c.events) && c.before(child+1, child) {
			child++
		}
		if !c.before(child, i) {
			return
		}
		c.events[i], c.events[child] = c.events[child], c.events[i]
		i = child
	}
}

// next runs the earliest event. It returns false if there is none.
func (c *clock) next() bool {
	if len(c.events) == 0 {
		return false
	}
	first := c.events[0]
	last := len(c.events) - 1
	c.events[0] = c.events[last]
	c.events[last] = event{}
	c.events = c.events[:last]
	c.down()
	c.now = first.at
	first.run()
	return true
}
