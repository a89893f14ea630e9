package proof

import "time"

const (
	// longestKill is above the time that a killed process stays away, and
	// longestFreeze is that of a frozen one.
	longestKill, longestFreeze = 3 * time.Second, 8 * time.Second
	// backFelt is how long a process that is back may still not answer, or be
	// passed over.
	backFelt = noticedBy
)

// strike ends, freezes or restarts a process at some moment of the cut, on
// either side: a second fault before the first has healed. With three state
// processes that leaves none of two sides a quorum.
func (c *cutoffs) strike(length time.Duration) {
	c.sim.after(c.between(0, length), func() {
		n := c.sim.nodes[c.rng.IntN(len(c.sim.nodes))]
		switch c.rng.IntN(4) {
		case 0:
			e := c.all.all[c.rng.IntN(len(c.all.all))]
			c.sim.note("%s starts again", e.name)
			e.start(c.all)
			// It serves nobody until it has loaded, for which it has as long.
			c.begunAt[e.name] = c.sim.now
			c.accepted(c.newest)
		case 1:
			away := c.between(time.Second, longestFreeze)
			c.downTo[n.name] = c.sim.now + away
			n.freeze(away)
		default:
			c.downTo[n.name] = c.sim.now + longestKill
			n.kill()
		}
	})
}

// isDown tells whether the state process is struck, or was a moment ago.
func (c *cutoffs) isDown(n *node) bool {
	to, struck := c.downTo[n.name]
	return struck && c.sim.now < to+backFelt
}

// answers tells whether the state process runs at this moment.
func (n *node) answers() bool { return n.runner != nil && n.sim.now >= n.frozenUntil }
