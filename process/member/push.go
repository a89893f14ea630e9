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
const minPushInterval = 500 * time.Millisecond

// pushes is what the core told of cutoffs. Those that forbid more are pushed, so
// that a burst at one instance is known at all at the speed of the network and
// not an interval a step, and so is the end of what was held back; what is
// admitted again may wait.
type pushState struct {
	// said holds the last digest for each peer, and under Others the policy's.
	lastSent map[string]*lilacv1.Digest
	lastPush map[string]time.Time
	// brief names the peers whose last digest was partial, and so is its answer.
	lastPartial map[string]bool
	// open holds when the exchange with each peer began that has no answer yet.
	inFlight map[string]time.Time
	// pressed is true when a cutoff may be pressing news to somebody, held while a
	// push waits for pushPause.
	pushPending, pushDeferred bool
}

// exchanges returns those that are due, all at once when there is news, and
// those with whom a cutoff is news to.
func (c *Core) exchanges(now time.Time) []Action {
	urgent := c.digestsChanged && c.urgent(now)
	c.pushDeferred = false
	var actions []Action
	for _, peer := range c.partners(now) {
		last, known := c.lastExchange[peer.Name]
		due := urgent || !known || now.Sub(last) >= c.interval()
		if due && !c.exchangeInFlight(now, peer.Name) {
			c.lastExchange[peer.Name] = now
		}
		actions = append(actions, c.exchangeWith(now, peer, due)...)
	}
	if !urgent && !c.pushPending {
		return actions
	}
	for _, peer := range c.inboundPeers(now) {
		actions = append(actions, c.exchangeWith(now, peer, urgent)...)
	}
	return actions
}

func (c *Core) notePush(old, d *lilacv1.Digest) {
	c.pushPending = c.pushPending || moreRestrictive(old, d)
}

// pushDue tells whether the peer must be told of a cutoff now.
func (c *Core) pushDue(now time.Time, peer string) bool {
	if !c.Tree() || !c.pushPending || !moreRestrictive(c.lastSent[peer], c.digestFor(now, peer)) {
		return false
	}
	if c.exchangeInFlight(now, peer) || now.Sub(c.lastPush[peer]) < minPushInterval {
		c.pushDeferred = true
		return false
	}
	c.lastPush[peer] = now
	return true
}

// tell returns the exchange with the peer: the whole word where that is due, or
// what it must hear of cutoffs now, if anything.
func (c *Core) exchangeWith(now time.Time, peer Peer, full bool) []Action {
	var d *lilacv1.Digest
	switch {
	case full && !c.exchangeInFlight(now, peer.Name):
		d = c.fullDigest(now, peer.Name)
	case !full && c.pushDue(now, peer.Name):
		d = c.partialDigest(now, peer.Name)
	default:
		return nil
	}
	c.inFlight[peer.Name] = now
	return []Action{Exchange{Peer: peer, Digest: d}}
}

// underWay tells whether the last exchange with the peer has no answer yet: the
// shell runs one at a time with each and drops what comes meanwhile.
func (c *Core) exchangeInFlight(now time.Time, peer string) bool {
	startedAt, inFlight := c.inFlight[peer]
	return inFlight && now.Sub(startedAt) < c.interval()
}

// unsaid has the peer told anew, and whole, what it may not have heard.
func (c *Core) resetSent(peer string) {
	delete(c.inFlight, peer)
	delete(c.lastSent, peer)
	c.pushPending = true
}

// changed is the word for the peer with only those pools that are pressing. It
// is whole where there is nothing to add to.
//
// It guards against a relay that spends more than its bytes while a burst
// begins: each entry cuts its tiers off at its own moment, and each such moment
// told of all pools. It holds because what is left out stands in what was told
// before, for the time that was promised then, and the whole word follows with
// the next regular exchange, whatever became of this one.
func (c *Core) partialDigest(now time.Time, peer string) *lilacv1.Digest {
	full, sent := c.digestFor(now, peer), c.lastSent[peer]
	if sent == nil || sent.GetIncomplete() && !full.GetIncomplete() {
		return c.fullDigest(now, peer)
	}
	part := &lilacv1.Digest{Instance: full.GetInstance(), Sequence: full.GetSequence(), Partial: true, Incomplete: true}
	if !full.GetIncomplete() {
		part.BindsMs = full.GetBindsMs()
	}
	for _, cutoff := range full.GetCutoffs() {
		if cutoffMoreRestrictive(cutoffOf(sent, cutoff.GetPool()), cutoff) {
			part.Cutoffs = append(part.Cutoffs, cutoff)
		}
	}
	c.lastSent[peer] = applyPartial(sent, part)
	part.Stamp, part.Echo = c.stamp(now), c.lastStamps[peer]
	return part
}

// joined is the digest told before with the changes of a partial one.
func applyPartial(base, part *lilacv1.Digest) *lilacv1.Digest {
	out := proto.CloneOf(base)
	out.Sequence, out.Stamp, out.Echo = part.GetSequence(), part.GetStamp(), part.GetEcho()
	out.Incomplete = base.GetIncomplete() || part.GetBindsMs() == 0
	cutoffs := make(map[string]*lilacv1.PoolCutoff)
	for _, cutoff := range slices.Concat(base.GetCutoffs(), part.GetCutoffs()) {
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
func (h receivedDigest) merge(next receivedDigest) (receivedDigest, bool) {
	if !next.digest.GetPartial() {
		return next, true
	}
	if h.digest == nil || h.sender != next.sender || (h.digest.GetStamp()^next.digest.GetStamp())&^stampMask != 0 {
		return h, false
	}
	after, bindsMs := next.composedAfter, next.digest.GetBindsMs()
	if h.expiresAt().Before(next.expiresAt()) {
		after, bindsMs = h.composedAfter, h.digest.GetBindsMs()
	}
	next.digest = applyPartial(h.digest, next.digest)
	next.composedAfter, next.digest.BindsMs = after, bindsMs
	return next, true
}

// ends is when the word's promise has ended; the zero time if its age is unknown.
func (h receivedDigest) expiresAt() time.Time {
	if h.composedAfter.IsZero() {
		return time.Time{}
	}
	return h.composedAfter.Add(time.Duration(h.digest.GetBindsMs()) * time.Millisecond)
}

// pressing tells whether the digest d admits less in any pool than the old one,
// or holds another tier back: what must be pushed and may not wait.
func moreRestrictive(old, d *lilacv1.Digest) bool {
	if old.GetIncomplete() && !d.GetIncomplete() {
		return true
	}
	return slices.ContainsFunc(d.GetCutoffs(), func(cutoff *lilacv1.PoolCutoff) bool {
		return cutoffMoreRestrictive(cutoffOf(old, cutoff.GetPool()), cutoff)
	})
}

// pressingIn is pressing for one pool; last is nil where it is new.
func cutoffMoreRestrictive(last, cutoff *lilacv1.PoolCutoff) bool {
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
