package proof

import "time"

const (
	// maxKillTime bounds the time until a killed process restarts, maxFreezeTime the
	// time for which a process is frozen.
	maxKillTime, maxFreezeTime = 3 * time.Second, 8 * time.Second
	// recoveryBound is how long a process may still not answer, or be avoided, after
	// it is back.
	recoveryBound = cutNoticeBound
)

// injectFault kills, freezes or restarts a process on either side at a random time
// during the cut. With three state processes, neither side may have a quorum then.
func (c *cutoffs) injectFault(length time.Duration) {
	c.sim.after(c.between(0, length), func() {
		n := c.sim.nodes[c.rng.IntN(len(c.sim.nodes))]
		switch c.rng.IntN(4) {
		case 0:
			e := c.entries.list[c.rng.IntN(len(c.entries.list))]
			c.sim.note("%s restarts", e.name)
			e.start(c.entries)
			// It serves no requests until it has loaded the configuration, which has the
			// same time limit.
			c.restartedAt[e.name] = c.sim.now
			c.revisionAccepted(c.newest)
		case 1:
			away := c.between(time.Second, maxFreezeTime)
			c.downUntil[n.name] = c.sim.now + away
			n.freeze(away)
		default:
			c.downUntil[n.name] = c.sim.now + maxKillTime
			n.kill()
		}
	})
}

// wasDown reports whether the state process is down because of injectFault or may
// still be recovering.
func (c *cutoffs) wasDown(n *node) bool {
	to, cutoffWithFaults := c.downUntil[n.name]
	return cutoffWithFaults && c.sim.now < to+recoveryBound
}

// answers reports whether the state process is running and not frozen.
func (n *node) answers() bool { return n.runner != nil && n.sim.now >= n.frozenUntil }
