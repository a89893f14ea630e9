package spread

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// step is how often the simulated entries receive and tick.
	step = 250 * time.Millisecond
	// inForce is the longest that a change may take to reach an entry that works,
	// while others fail.
	inForce = 13 * time.Second
)

// follower is a simulated entry: a core and the revision that it holds.
type follower struct {
	core     *Core
	target   Target
	revision int
	// sure is when the revision was surely the newest.
	sure time.Time
	// Faults, until a time: dead ones answer nobody and restart empty, hanging
	// ones keep streams open in silence, cut ones don't reach the state processes.
	dead, hangs, cut time.Time
	// works is since when nothing is wrong with the entry itself.
	works time.Time
}

// center is one data centre below a state process that accepts a change each second.
type center struct {
	random  *rand.Rand
	now     time.Time
	names   []string
	entries map[string]*follower
	newest  int
}

func newCenter(seed uint64, n int) *center {
	c := &center{random: rand.New(rand.NewPCG(seed, 2)), now: start, names: names(n), entries: make(map[string]*follower)}
	for _, name := range c.names {
		c.entries[name] = &follower{works: start}
		c.restart(name)
	}
	return c
}

func (c *center) restart(name string) {
	f := c.entries[name]
	f.core, f.revision, f.sure = NewCore(name), 0, time.Time{}
	c.apply(f, f.core.Step(c.now, Entries{c.names}))
}

func (c *center) apply(f *follower, actions []Follow) {
	for _, a := range actions {
		f.target = a.Target
	}
}

// receive gives one entry what its stream brings in a step.
func (c *center) receive(f *follower) {
	if f.target.IsState() {
		if c.now.Before(f.cut) {
			c.apply(f, f.core.Step(c.now, StreamFailed{f.target}))
			return
		}
		f.revision, f.sure = c.newest, c.now
		c.apply(f, f.core.Step(c.now, UpdateReceived{Target: f.target, Age: 0}))
		return
	}
	parent := c.entries[f.target.Entry]
	switch {
	case c.now.Before(parent.dead), parent.revision == 0:
		c.apply(f, f.core.Step(c.now, StreamFailed{f.target}))
	case !c.now.Before(parent.hangs):
		if parent.revision > f.revision {
			f.revision = parent.revision
		}
		if parent.sure.After(f.sure) {
			f.sure = parent.sure
		}
		c.apply(f, f.core.Step(c.now, UpdateReceived{Target: f.target, Age: c.now.Sub(parent.sure)}))
	}
}

// spoil breaks an entry, the best in rank more often than others.
func (c *center) spoil() {
	name := c.names[min(c.random.IntN(len(c.names)), c.random.IntN(len(c.names)), c.random.IntN(len(c.names)))]
	f := c.entries[name]
	until := c.now.Add(time.Duration(2+c.random.IntN(28)) * time.Second)
	switch c.random.IntN(3) {
	case 0:
		f.dead = until
	case 1:
		f.hangs = until
	case 2:
		f.cut = until
	}
	if until.After(f.works) {
		f.works = until
	}
}

func (c *center) advance() {
	c.now = c.now.Add(step)
	if c.now.Sub(start)%time.Second == 0 {
		c.newest++
	}
	for _, name := range c.names {
		f := c.entries[name]
		if c.now.Before(f.dead) {
			continue
		}
		if !f.dead.IsZero() {
			f.dead = time.Time{}
			c.restart(name)
		}
		if c.now.Before(f.hangs) {
			continue
		}
		c.receive(f)
		c.apply(f, f.core.Step(c.now, Tick{}))
	}
}

// Entries of a data centre die, hang and lose their way to the state processes,
// the relay and its heirs above all, several at once and again right after. Each
// entry that works itself must hold every change within 13 s.
func TestChangesArriveWhileEntriesFail(t *testing.T) {
	worst, direct, steps := time.Duration(0), 0, 0
	for seed := range uint64(30) {
		c := newCenter(seed, 60)
		for range int(3 * time.Minute / step) {
			if c.random.IntN(6) == 0 {
				c.spoil()
			}
			c.advance()
			steps++
			for _, name := range c.names {
				f := c.entries[name]
				if f.target.IsState() {
					direct++
				}
				lag := time.Duration(c.newest-f.revision) * time.Second
				if c.now.Sub(f.works) < inForce || c.now.Sub(start) < inForce {
					continue
				}
				worst = max(worst, lag)
				if lag > inForce {
					t.Fatalf("seed %d: %s lags by %s at %s, follows %v", seed, name, lag, c.now.Sub(start), f.target)
				}
			}
		}
	}
	t.Logf("worst lag %s, on average %.1f of 60 entries follow a state process", worst, float64(direct)/float64(steps))
}

func TestNamesAreRankedTheSameEverywhere(t *testing.T) {
	all := names(20)
	shuffled := slices.Clone(all)
	slices.Reverse(shuffled)
	a, b := NewCore("x"), NewCore("x")
	is.New(t).Equal(a.Step(start, Entries{all}), b.Step(start, Entries{shuffled}))
}
