package proof

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// cutMode is the direction in which a cut drops messages.
type cutMode int

const (
	cutBoth cutMode = iota
	// cutOut drops messages from the data centre, cutIn messages to it.
	cutOut
	cutIn
	cutModes
)

const (
	// callersStart is when the state processes have a leader and callers start;
	// firstCut is when the first data centre is cut off.
	callersStart, firstCut = 8 * time.Second, 12 * time.Second
	// A cut lasts from minCutTime to maxCutTime; the second cut of a data centre
	// starts at most maxRecutDelay after the first has healed.
	minCutTime, maxCutTime = 4 * time.Second, 20 * time.Second
	maxRecutDelay          = time.Second
	// extraSnapshotInterval is added to the number of log entries between snapshots.
	extraSnapshotInterval = 100
	// isolationRecovery is how long an entry may avoid its state process after its
	// isolation has ended.
	isolationRecovery = 4 * time.Second
	// settlePollInterval is the interval of checks whether the state processes have settled.
	settlePollInterval = 100 * time.Millisecond
	// oneWayKeepAlive is how long a connection that is cut in one direction still
	// works in the other.
	oneWayKeepAlive = 4 * time.Second
)

// cutoffs partitions each data centre in turn, in a random cutMode, heals it, cuts
// it off a second time shortly afterwards, and checks what both sides serve.
type cutoffs struct {
	sim     *sim
	entries *entries
	rng     *rand.Rand
	// cutNumber counts the cuts; center is the data centre cut off, -1 if none is.
	cutNumber, center int
	mode              cutMode
	cutAt             time.Duration
	// newest is the newest revision reported as accepted.
	newest uint64
	// healedAt is when the last cut of a data centre ended.
	healedAt [dataCenters]time.Duration
	// isolatedUntil is until when an entry, by name, reaches no state process.
	isolatedUntil map[string]time.Duration
	// downUntil is until when a state process, by name, may be down; see injectFault.
	downUntil map[string]time.Duration
	// restartedAt is when an entry, by name, last restarted.
	restartedAt map[string]time.Duration
	done        bool
	// runningRequests is the number of requests at a backend server, by name.
	runningRequests map[string]int
	// endedKeys are the requests whose outcome the ledger has confirmed.
	endedKeys []endedKey
	serial    int
}

func newCutoffs(s *sim, group *entries, seed uint64) *cutoffs {
	c := &cutoffs{sim: s, entries: group, rng: rand.New(rand.NewPCG(seed, 5)), center: -1, isolatedUntil: map[string]time.Duration{}, downUntil: map[string]time.Duration{}, restartedAt: map[string]time.Duration{}, runningRequests: map[string]int{}}
	// Links lose messages only through cuts.
	s.loss = 0
	// As with the production interval, a process that is slightly behind needs no
	// snapshot; after a long cut its transfer takes seconds.
	s.snapshotEvery += extraSnapshotInterval
	for _, e := range group.list {
		newCaller(c, e).start()
		newPolicySim(c, e, seed).startLoad()
	}
	centers, modes := c.rng.Perm(dataCenters), c.rng.Perm(int(cutModes))
	s.after(firstCut, func() { c.cutNext(centers, modes) })
	return c
}

// cutNext cuts off the next data centre twice, and continues once the changes
// accepted meanwhile must be in force there.
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

// isolateEntry cuts off a random entry from all state processes, unless it is in the
// data centre being cut: the entries that follow it must choose another source.
func (c *cutoffs) isolateEntry(length time.Duration) {
	e := c.entries.list[c.rng.IntN(len(c.entries.list))]
	if e.center() == c.center {
		return
	}
	c.isolatedUntil[e.name] = c.sim.now + length
	c.sim.note("%s isolated from the state processes", e.name)
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

// isIsolated reports whether the entry does not reach the state process of its own
// data centre, or may still avoid it after an isolation.
func (c *cutoffs) isIsolated(e *entry) bool {
	return c.sim.now < c.isolatedUntil[e.name]+isolationRecovery
}

// checkInForce checks that every entry has the newest accepted revision within
// inForceBound.
func (c *cutoffs) checkInForce(then func()) {
	newest := c.newest
	c.sim.after(inForceBound, func() {
		for _, e := range c.entries.list {
			c.sim.invariants.check(e.config.Revision() >= newest, "in force after healing", "%s has %d and not %d, %s after", e.name, e.config.Revision(), newest, inForceBound)
		}
		c.whenSettled(then)
	})
}

// whenSettled waits until the state processes have caught up: the next cut must
// leave a quorum of processes that have.
func (c *cutoffs) whenSettled(then func()) {
	if c.sim.settled() {
		then()
		return
	}
	c.sim.after(settlePollInterval, func() { c.whenSettled(then) })
}

// revisionAccepted checks that a change is in force in time on the side with a
// quorum, independent of the other side.
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

// activeCut returns the number of the cut that affects the entry's data centre, 0
// for none.
func (c *cutoffs) activeCut(e *entry) int {
	if c.center != e.center() {
		return 0
	}
	return c.cutNumber
}

// connectionClosed reports whether connections between the two have timed out.
func (c *cutoffs) connectionClosed(from, to string) bool {
	return c.sim.now-c.cutAt > oneWayKeepAlive && (c.sim.cut[from+">"+to] || c.sim.cut[to+">"+from])
}

func (e *entry) center() int { return int(e.self.DataCenter[3] - '0') }

// ownState returns the state process of the entry's data centre.
func (e *entry) ownState() *node { return e.sim.nodes[e.center()%len(e.sim.nodes)] }

// stopped reports whether callers start no more calls, so that the run can settle.
func (c *cutoffs) stopped() bool { return c.sim.healed }

func (c *cutoffs) nextName(name string) string {
	c.serial++
	return fmt.Sprint(name, "-", c.serial)
}
