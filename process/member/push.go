package member

import (
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// minPushInterval is the minimum time between two pushes of cutoffs to the same
// peer.
const minPushInterval = 500 * time.Millisecond

// pushState tracks the cutoffs sent to each peer. More restrictive cutoffs are
// pushed immediately, so that a burst at one instance propagates at network speed
// instead of one interval per tree level. The end of a held-back tier is pushed
// too; a newly admitted tier waits for the regular exchange.
type pushState struct {
	// lastSent holds the last digest sent to each peer, and under Others the one
	// delivered to the policy.
	lastSent map[string]*lilacv1.Digest
	lastPush map[string]time.Time
	// lastPartial marks the peers whose last digest was partial.
	lastPartial map[string]bool
	// inFlight holds the start of the exchange with each peer that has no reply
	// yet.
	inFlight map[string]time.Time
	// pushPending is true when a cutoff may have to be pushed, pushDeferred while a
	// push waits for minPushInterval.
	pushPending, pushDeferred bool
}

// exchanges returns the exchanges that are due: all at once if one is urgent, and
// pushes to peers that lack a more restrictive cutoff.
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

// pushDue reports whether a cutoff must be pushed to the peer now.
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

// exchangeWith returns the exchange with the peer: with the full digest if full is
// set, else with the cutoffs to push, if any.
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

// exchangeInFlight reports whether the last exchange with the peer has no reply
// yet. The caller runs one exchange at a time with each peer and drops any other.
func (c *Core) exchangeInFlight(now time.Time, peer string) bool {
	startedAt, inFlight := c.inFlight[peer]
	return inFlight && now.Sub(startedAt) < c.interval()
}

// resetSent causes a full digest to be sent, since the peer may not have received
// the last one.
func (c *Core) resetSent(peer string) {
	delete(c.inFlight, peer)
	delete(c.lastSent, peer)
	c.pushPending = true
}

// partialDigest returns a digest for the peer with only those pools whose cutoff is
// more restrictive. It returns the full digest if there is no earlier one to
// update.
//
// Partial digests keep a relay within its byte budget at the start of a burst: each
// instance cuts off its tiers at its own moment, and a full digest would list all
// pools each time. The omitted pools stay valid for the period given with the
// earlier digest, and the next regular exchange carries the full digest even if
// this one is lost.
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

// applyPartial returns the base digest with the changes of a partial one.
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

// merge applies a partial digest to the previous one. A full digest replaces it. It
// returns false if there is no previous digest of the same sender and incarnation;
// the next full digest then carries everything.
//
// The merged digest expires at the earlier of the two expiry times, so that new
// cutoffs do not extend the validity of old ones.
func (r receivedDigest) merge(next receivedDigest) (receivedDigest, bool) {
	if !next.digest.GetPartial() {
		return next, true
	}
	if r.digest == nil || r.sender != next.sender || (r.digest.GetStamp()^next.digest.GetStamp())&^stampMask != 0 {
		return r, false
	}
	after, bindsMs := next.composedAfter, next.digest.GetBindsMs()
	if r.expiresAt().Before(next.expiresAt()) {
		after, bindsMs = r.composedAfter, r.digest.GetBindsMs()
	}
	next.digest = applyPartial(r.digest, next.digest)
	next.composedAfter, next.digest.BindsMs = after, bindsMs
	return next, true
}

// expiresAt returns the end of the digest's validity; the zero time if its age is
// unknown.
func (r receivedDigest) expiresAt() time.Time {
	if r.composedAfter.IsZero() {
		return time.Time{}
	}
	return r.composedAfter.Add(time.Duration(r.digest.GetBindsMs()) * time.Millisecond)
}

// moreRestrictive reports whether d admits less than old in any pool or changes a
// held-back tier, so that it must be pushed.
func moreRestrictive(old, d *lilacv1.Digest) bool {
	if old.GetIncomplete() && !d.GetIncomplete() {
		return true
	}
	return slices.ContainsFunc(d.GetCutoffs(), func(cutoff *lilacv1.PoolCutoff) bool {
		return cutoffMoreRestrictive(cutoffOf(old, cutoff.GetPool()), cutoff)
	})
}

// cutoffMoreRestrictive is moreRestrictive for one pool; last is nil if the pool is
// new.
func cutoffMoreRestrictive(last, cutoff *lilacv1.PoolCutoff) bool {
	if cutoff.GetHeldBackTier() != last.GetHeldBackTier() {
		return true
	}
	return last != nil && cutoff.GetAdmittedTier() < last.GetAdmittedTier()
}

// cutoffOf returns the pool's cutoff, or nil. A digest lists cutoffs sorted by
// pool.
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
