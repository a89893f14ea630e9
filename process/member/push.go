package member

import (
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// pushPause is the least time between two pushes of cutoffs to the same peer.
const pushPause = 500 * time.Millisecond

// pushes is what the core told of cutoffs. Those that forbid more are pushed, so
// that a burst at one instance is known at all at the speed of the network and
// not an interval a step, and so is the end of what was held back; what is
// admitted again may wait.
type pushes struct {
	// said holds the last digest for each peer, and under Others the policy's.
	said     map[string]*lilacv1.Digest
	pushedTo map[string]time.Time
	// brief names the peers whose last digest was partial, and so is its answer.
	brief map[string]bool
	// open holds when the exchange with each peer began that has no answer yet.
	open map[string]time.Time
	// pressed is true when a cutoff may be pressing news to somebody, held while a
	// push waits for pushPause.
	pressed, held bool
}

// exchanges returns those that are due, all at once when there is news, and
// those with whom a cutoff is news to.
func (c *Core) exchanges(now time.Time) []Action {
	urgent := c.heardNews && c.urgent(now)
	c.held = false
	var actions []Action
	for _, peer := range c.partners(now) {
		last, asked := c.asked[peer.Name]
		due := urgent || !asked || now.Sub(last) >= c.interval()
		if due && !c.underWay(now, peer.Name) {
			c.asked[peer.Name] = now
		}
		actions = append(actions, c.tell(now, peer, due)...)
	}
	if !urgent && !c.pressed {
		return actions
	}
	for _, peer := range c.listeners(now) {
		actions = append(actions, c.tell(now, peer, urgent)...)
	}
	return actions
}

func (c *Core) notePressing(old, d *lilacv1.Digest) {
	c.pressed = c.pressed || pressing(old, d)
}

// pushDue tells whether the peer must be told of a cutoff now.
func (c *Core) pushDue(now time.Time, peer string) bool {
	if !c.Tree() || !c.pressed || !pressing(c.said[peer], c.word(now, peer)) {
		return false
	}
	if c.underWay(now, peer) || now.Sub(c.pushedTo[peer]) < pushPause {
		c.held = true
		return false
	}
	c.pushedTo[peer] = now
	return true
}

// tell returns the exchange with the peer: the whole word where that is due, or
// what it must hear of cutoffs now, if anything.
func (c *Core) tell(now time.Time, peer Peer, whole bool) []Action {
	var d *lilacv1.Digest
	switch {
	case whole && !c.underWay(now, peer.Name):
		d = c.whole(now, peer.Name)
	case !whole && c.pushDue(now, peer.Name):
		d = c.changed(now, peer.Name)
	default:
		return nil
	}
	c.open[peer.Name] = now
	return []Action{Exchange{Peer: peer, Digest: d}}
}

// underWay tells whether the last exchange with the peer has no answer yet: the
// shell runs one at a time with each and drops what comes meanwhile.
func (c *Core) underWay(now time.Time, peer string) bool {
	began, open := c.open[peer]
	return open && now.Sub(began) < c.interval()
}

// unsaid has the peer told anew, and whole, what it may not have heard.
func (c *Core) unsaid(peer string) {
	delete(c.open, peer)
	delete(c.said, peer)
	c.pressed = true
}

// changed is the word for the peer with only those pools that are pressing. It
// is whole where there is nothing to add to.
//
// It guards against a relay that spends more than its bytes while a burst
// begins: each entry cuts its tiers off at its own moment, and each such moment
// told of all pools. It holds because what is left out stands in what was told
// before, for the time that was promised then, and the whole word follows with
// the next regular exchange, whatever became of this one.
func (c *Core) changed(now time.Time, peer string) *lilacv1.Digest {
	word, said := c.word(now, peer), c.said[peer]
	if said == nil || said.GetIncomplete() && !word.GetIncomplete() {
		return c.whole(now, peer)
	}
	part := &lilacv1.Digest{Instance: word.GetInstance(), Sequence: word.GetSequence(), Partial: true, Incomplete: true}
	if !word.GetIncomplete() {
		part.BindsMs = word.GetBindsMs()
	}
	for _, cutoff := range word.GetCutoffs() {
		if pressingIn(cutoffOf(said, cutoff.GetPool()), cutoff) {
			part.Cutoffs = append(part.Cutoffs, cutoff)
		}
	}
	c.said[peer] = joined(said, part)
	part.Stamp, part.Echo = c.stamp(now), c.stamps[peer]
	return part
}

// joined is the digest told before with the changes of a partial one.
func joined(old, part *lilacv1.Digest) *lilacv1.Digest {
	out := proto.CloneOf(old)
	out.Sequence, out.Stamp, out.Echo = part.GetSequence(), part.GetStamp(), part.GetEcho()
	out.Incomplete = old.GetIncomplete() || part.GetBindsMs() == 0
	cutoffs := make(map[string]*lilacv1.PoolCutoff)
	for _, cutoff := range slices.Concat(old.GetCutoffs(), part.GetCutoffs()) {
		cutoffs[cutoff.GetPool()] = cutoff
	}
	out.Cutoffs = make([]*lilacv1.PoolCutoff, 0, len(cutoffs))
	for _, pool := range slices.Sorted(maps.Keys(cutoffs)) {
		out.Cutoffs = append(out.Cutoffs, cutoffs[pool])
	}
	return out
}

// with is what was heard before joined with the word that is new, if that is
// partial. It tells false where there is nothing of the same life to join with:
// the next whole word tells all.
//
// It guards against old cutoffs that would bind anew with the new ones. It holds
// because the promise that ends first counts for all.
func (h heard) with(word heard) (heard, bool) {
	if !word.digest.GetPartial() {
		return word, true
	}
	if h.digest == nil || h.from != word.from || (h.digest.GetStamp()^word.digest.GetStamp())&^stampMask != 0 {
		return h, false
	}
	since, binds := word.since, word.digest.GetBindsMs()
	if h.ends().Before(word.ends()) {
		since, binds = h.since, h.digest.GetBindsMs()
	}
	word.digest = joined(h.digest, word.digest)
	word.since, word.digest.BindsMs = since, binds
	return word, true
}

// ends is when the word's promise has ended; the zero time if its age is unknown.
func (h heard) ends() time.Time {
	if h.since.IsZero() {
		return time.Time{}
	}
	return h.since.Add(time.Duration(h.digest.GetBindsMs()) * time.Millisecond)
}

// pressing tells whether the digest d admits less in any pool than the old one,
// or holds another tier back: what must be pushed and may not wait.
func pressing(old, d *lilacv1.Digest) bool {
	if old.GetIncomplete() && !d.GetIncomplete() {
		return true
	}
	return slices.ContainsFunc(d.GetCutoffs(), func(cutoff *lilacv1.PoolCutoff) bool {
		return pressingIn(cutoffOf(old, cutoff.GetPool()), cutoff)
	})
}

// pressingIn is pressing for one pool; last is nil where it is new.
func pressingIn(last, cutoff *lilacv1.PoolCutoff) bool {
	if cutoff.GetHeldBackTier() != last.GetHeldBackTier() {
		return true
	}
	return last != nil && cutoff.GetAdmittedTier() < last.GetAdmittedTier()
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
