package member

import (
	"slices"
	"strings"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// pushPause is the least time between two pushes of cutoffs to the same peer.
const pushPause = 500 * time.Millisecond

// pushes is what the core told of cutoffs. Those that forbid more are pushed, so
// that a burst at one instance is known at all at the speed of the network and
// not an interval a step; those that forbid less may wait.
type pushes struct {
	// said holds the last digest for each peer, and under Others the policy's.
	said     map[string]*lilacv1.Digest
	pushedTo map[string]time.Time
	// tightened is true when a cutoff may be news to somebody, held while a
	// push waits for pushPause.
	tightened, held bool
}

func (c *Core) noteTighter(old, d *lilacv1.Digest) {
	c.tightened = c.tightened || tighter(old, d)
}

// pushDue tells whether the peer must be told of a cutoff now.
func (c *Core) pushDue(now time.Time, peer string) bool {
	if !c.Tree() || !c.tightened || !tighter(c.said[peer], c.word(now, peer)) {
		return false
	}
	if now.Sub(c.pushedTo[peer]) < pushPause {
		c.held = true
		return false
	}
	c.pushedTo[peer] = now
	return true
}

// tighter tells whether the digest d forbids or wants more than the old one in
// any pool.
func tighter(old, d *lilacv1.Digest) bool {
	if old.GetIncomplete() && !d.GetIncomplete() {
		return true
	}
	for _, cutoff := range d.GetCutoffs() {
		last := cutoffOf(old, cutoff.GetPool())
		held := cutoff.GetHeldBackTier()
		if held != 0 && (last.GetHeldBackTier() == 0 || held < last.GetHeldBackTier()) {
			return true
		}
		if last != nil && cutoff.GetAdmittedTier() < last.GetAdmittedTier() {
			return true
		}
	}
	return false
}

// cutoffOf finds the pool's cutoff in a digest, which lists them by name.
func cutoffOf(d *lilacv1.Digest, pool string) *lilacv1.PoolCutoff {
	all := d.GetCutoffs()
	at, found := slices.BinarySearchFunc(all, pool, func(c *lilacv1.PoolCutoff, name string) int {
		return strings.Compare(c.GetPool(), name)
	})
	if !found {
		return nil
	}
	return all[at]
}
