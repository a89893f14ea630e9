package proof

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// cutMode is which direction a cut loses.
type cutMode int

const (
	cutBoth cutMode = iota
	// cutOut loses what the data centre sends, cutIn what it should get.
	cutOut
	cutIn
	cutModes
)

const (
	// settledBy is when the state processes have a leader and callers begin,
	// firstCut when the first data centre is cut off.
	callersStart, firstCut = 8 * time.Second, 12 * time.Second
	// A cut lasts from shortest to longest; the second one comes at most
	// againWithin after the first has healed.
	minCutTime, maxCutTime = 4 * time.Second, 20 * time.Second
	maxRecutDelay          = time.Second
	// longSnapshots is how many entries more than in other runs lie between snapshots.
	extraSnapshotInterval = 100
	// aloneFelt is how long a state process may still be passed over.
	isolationRecovery = 4 * time.Second
	// settlePoll is how often it is looked whether the state processes have settled.
	settlePollInterval = 100 * time.Millisecond
	// keptAlive is how long a connection that is cut one way still carries the other.
	oneWayKeepAlive = 4 * time.Second
)

// cutoffs cuts each data centre off in turn, in any of three ways, heals it and
// cuts it off again at once, and checks what both sides serve meanwhile.
type cutoffs struct {
	sim     *sim
	entries *entries
	rng     *rand.Rand
	// number counts the cuts; center is the one cut off, -1 if none is.
	cutNumber, center int
	mode              cutMode
	cutAt             time.Duration
	// newest is the newest revision that anyone was told is accepted.
	newest uint64
	// healedAt is when a data centre's last cut healed.
	healedAt [dataCenters]time.Duration
	// aloneTo is until when an entry, by name, reaches no state process.
	isolatedUntil map[string]time.Duration
	// downTo is until when a state process, by name, is struck; see strike.
	downUntil map[string]time.Duration
	// begunAt is when an entry, by name, last started again.
	restartedAt map[string]time.Duration
	done        bool
	// running is how many requests a backend server, by name, works on.
	runningRequests map[string]int
	// keys are the requests whose end the ledger has confirmed.
	endedKeys []endedKey
	serial    int
}

func newCutoffs(s *sim, group *entries, seed uint64) *cutoffs {
	c := &cutoffs{sim: s, entries: group, rng: rand.New(rand.NewPCG(seed, 5)), center: -1, isolatedUntil: map[string]time.Duration{}, downUntil: map[string]time.Duration{}, restartedAt: map[string]time.Duration{}, runningRequests: map[string]int{}}
	// A link between two processes loses nothing but what a cut loses.
	s.loss = 0
	// Nobody who was a moment behind needs a snapshot, as with the product's own
	// interval; after a long cut it takes seconds.
	s.snapshotEvery += extraSnapshotInterval
	for _, e := range group.list {
		newCaller(c, e).start()
		newPolicySim(c, e, seed).startLoad()
	}
	centers, modes := c.rng.Perm(dataCenters), c.rng.Perm(int(cutModes))
	s.after(firstCut, func() { c.cutNext(centers, modes) })
	return c
}

// turn cuts the next data centre off, twice, and goes on once the change that
// was accepted meanwhile must be in force there.
func (c *cutoffs) cutNext(centers, modes []int) {
	if len(centers) == 0 {
		c.done = true
		return
	}
	center, mode := centers[0], cutMode(modes[0])
	c.cut(center, mode, func() {
		c.sim.after(c.between(0, maxRecutDelay), func() {
			c.cut(center, cutMode(c.rng.IntN(int(cutModes))), func() {
				c.checkInForce(func() { c.cutNext(centers[1:], modes[1:]) })
			})
		})
	})
}

func (c *cutoffs) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(c.rng.Int64N(int64(longest-shortest)))
}

func (c *cutoffs) cut(center int, mode cutMode, healed func()) {
	length := c.between(minCutTime, maxCutTime)
	c.cutNumber++
	c.center, c.mode, c.cutAt = center, mode, c.sim.now
	c.entries.cutCenter(center, length, mode)
	c.isolateEntry(length)
	if c.sim.profile.extraFaults {
		c.injectFault(length)
	}
	c.sim.after(length, func() {
		c.sim.note("dc-%d healed", center)
		c.center, c.healedAt[center] = -1, c.sim.now
		healed()
	})
}

// leaveAlone cuts an entry of another data centre off from the state processes:
// those who follow it must leave it.
func (c *cutoffs) isolateEntry(length time.Duration) {
	e := c.entries.list[c.rng.IntN(len(c.entries.list))]
	if e.center() == c.center {
		return
	}
	c.isolatedUntil[e.name] = c.sim.now + length
	c.sim.note("%s alone", e.name)
	var links []string
	for _, n := range c.sim.nodes {
		links = append(links, e.name+">"+n.name, n.name+">"+e.name)
	}
	for _, link := range links {
		c.sim.cut[link] = true
	}
	c.sim.after(length, func() {
		for _, link := range links {
			delete(c.sim.cut, link)
		}
	})
}

// isAlone tells whether the entry does not reach its own data centre's state
// process, or may pass it over since it did not.
func (c *cutoffs) isIsolated(e *entry) bool {
	return c.sim.now < c.isolatedUntil[e.name]+isolationRecovery
}

// inForce checks that every entry has soon what was accepted by now.
func (c *cutoffs) checkInForce(then func()) {
	newest := c.newest
	c.sim.after(inForceBound, func() {
		for _, e := range c.entries.list {
			c.sim.invariants.check(e.config.Revision() >= newest, "in force after healing", "%s has %d and not %d, %s after", e.name, e.config.Revision(), newest, inForceBound)
		}
		c.whenSettled(then)
	})
}

// whenSettled waits until the state process has caught up: the next cut must
// leave a quorum of those that have.
func (c *cutoffs) whenSettled(then func()) {
	if c.sim.settled() {
		then()
		return
	}
	c.sim.after(settlePollInterval, func() { c.whenSettled(then) })
}

// accepted checks that a change is in force in time on the side with a quorum,
// whatever the other side does.
func (c *cutoffs) revisionAccepted(revision uint64) {
	c.newest = max(c.newest, revision)
	at := c.sim.now
	c.sim.after(inForceBound, func() {
		for _, e := range c.entries.list {
			center := e.center()
			within := c.center != center && c.healedAt[center] <= at && c.isolatedUntil[e.name] <= at && c.restartedAt[e.name] <= at
			c.sim.invariants.check(!within || e.config.Revision() >= revision, "in force beside a cut", "%s has %d and not %d, %s after", e.name, e.config.Revision(), revision, inForceBound)
		}
	})
}

// cutOf returns the number of the cut that the entry is behind, 0 for none.
func (c *cutoffs) activeCut(e *entry) int {
	if c.center != e.center() {
		return 0
	}
	return c.cutNumber
}

// givenUp tells whether connections between the two have ended by now.
func (c *cutoffs) connectionClosed(from, to string) bool {
	return c.sim.now-c.cutAt > oneWayKeepAlive && (c.sim.cut[from+">"+to] || c.sim.cut[to+">"+from])
}

func (e *entry) center() int { return int(e.self.DataCenter[3] - '0') }

// ownState is the state process of the entry's data centre.
func (e *entry) ownState() *node { return e.sim.nodes[e.center()%len(e.sim.nodes)] }

// rests tells that callers begin nothing more, so that all can come to rest.
func (c *cutoffs) stopped() bool { return c.sim.healed }

func (c *cutoffs) nextName(name string) string {
	c.serial++
	return fmt.Sprint(name, "-", c.serial)
}
