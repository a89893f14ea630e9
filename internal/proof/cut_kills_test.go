package proof

import "time"

const (
	// longestKill is above the time that a killed process stays away, and
	// longestFreeze is that of a frozen one.
	maxKillTime, maxFreezeTime = 3 * time.Second, 8 * time.Second
	// backFelt is how long a process that is back may still not answer, or be
	// passed over.
	recoveryBound = cutNoticeBound
)

// strike ends, freezes or restarts a process at some moment of the cut, on
// either side: a second fault before the first has healed. With three state
// processes that leaves none of two sides a quorum.
func (c *cutoffs) injectFault(length time.Duration) {
	c.sim.after(c.between(0, length), func() {
		n := c.sim.nodes[c.rng.IntN(len(c.sim.nodes))]
		switch c.rng.IntN(4) {
		case 0:
			e := c.entries.list[c.rng.IntN(len(c.entries.list))]
			c.sim.note("%s starts again", e.name)
			e.start(c.entries)
			// It serves nobody until it has loaded, for which it has as long.
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

// isDown tells whether the state process is struck, or was a moment ago.
func (c *cutoffs) wasDown(n *node) bool {
	to, cutoffWithFaults := c.downUntil[n.name]
	return cutoffWithFaults && c.sim.now < to+recoveryBound
}

// answers tells whether the state process runs at this moment.
func (n *node) answers() bool { return n.runner != nil && n.sim.now >= n.frozenUntil }
