// Package tiers makes shedding and the division of slots a joint decision of all instances
// that share a pool, using only their digests.
//
// An instance that wants to shed tier t announces t as held back. Each instance that
// receives this cuts off its own least urgent tier, one tier per round of digests, and
// announces which tiers it still admits. Tier t is shed only while every reachable instance
// announces that it admits nothing less urgent than t.
//
// An announcement of admitted tiers is a promise for a stated time, and a cut-off tier is
// admitted again only after all promises that exclude it have ended. So no instance sheds
// on the basis of an outdated announcement, however long it was in transit: the membership
// subtracts its age, and a delayed or lost one only delays shedding. If no announcement of
// some instance is in force, only the least urgent tier is shed until that instance is
// heard from again or is considered unreachable.
//
// A digest without a stated time (one that did not pass through a membership) is valid for
// DefaultValidity; this is safe if it is in transit for less than
// DefaultPromise - DefaultValidity.
package tiers

import (
	"math"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	// DefaultValidity is how long an announcement without a stated time is valid after it
	// was received.
	DefaultValidity = 1200 * time.Millisecond
	// DefaultPromise is how long this instance is bound by an announcement unless
	// SetPromise changes it.
	DefaultPromise = 2 * time.Second
	// startupDelay is how long a new instance sheds only the least urgent tier: it has not
	// yet heard from all others.
	startupDelay = 3 * time.Second
	// holdBackDuration is how long an instance keeps holding back after the last HoldBack.
	holdBackDuration = 2 * time.Second
	// lowestTier is the least urgent tier.
	lowestTier = model.Tiers - 1
	// noTier is the value of a tier that is not set; it exceeds every tier.
	noTier = model.Tiers
)

// Demand is the number of requested slots by position.
type Demand [model.Positions]float64

// LastPosition returns the last position with any demand, or -1.
func (d Demand) LastPosition() int {
	last := len(d) - 1
	for last >= 0 && d[last] == 0 {
		last--
	}
	return last
}

// LastTier returns the least urgent tier with any demand, or 0.
func (d Demand) LastTier() int {
	last := 0
	for position, count := range d {
		if count > 0 {
			last = max(last, model.TierOf(position))
		}
	}
	return last
}

// byTier returns the demand summed by tier.
func (d Demand) byTier() (sums [model.Tiers]float64) {
	for position, count := range d {
		sums[model.TierOf(position)] += count
	}
	return sums
}

// Shares are the guaranteed shares of the capacity by position, 0 to 1 in total. Instances that
// know different classes split slightly differently; servers' own limits hold regardless.
type Shares [model.Positions]float64

// peer is the last announcement of a peer.
type peer struct {
	// until is when the announcement expires.
	until    time.Time
	admitted int
	heldBack int
	demand   Demand
}

// Table is the state of one pool as known to one instance. It is not safe for concurrent
// use.
type Table struct {
	pool  string
	peers map[string]*peer
	// announced is the least urgent tier that this instance announces it admits;
	// admitted is the one it does admit, which is never less urgent than announced.
	announced, admitted int
	announcedAt         time.Time
	promise             time.Duration
	// neededTier is the most urgent tier that this instance wants to shed, or noTier.
	neededTier int
	neededAt   time.Time
	createdAt  time.Time
	// reportedDemand is the demand of all other instances if it is reported outside
	// digests, reportedPeers their number; reportedPeers is 0 if it is not.
	reportedDemand Demand
	reportedPeers  int
}

// NewTable returns a table that admits all tiers.
func NewTable(pool string, now time.Time) *Table {
	return &Table{pool: pool, createdAt: now, peers: make(map[string]*peer), announced: lowestTier, admitted: lowestTier, promise: DefaultPromise, neededTier: noTier}
}

// SetPromise sets how long this instance is bound by its announcements. A shorter duration takes
// effect only when no announcement that excludes a tier is in force.
func (t *Table) SetPromise(promise time.Duration) {
	if promise > t.promise || t.announced == lowestTier && t.admitted == lowestTier {
		t.promise = promise
	}
}

// Promise returns how long this instance is bound by an announcement after it was sent.
func (t *Table) Promise() time.Duration { return t.promise }

// Observe records a peer's announcement for the pool, valid for DefaultValidity; nil means
// that the peer announced nothing.
func (t *Table) Observe(name string, cutoff *lilacv1.PoolCutoff, now time.Time) {
	t.ObserveUntil(name, cutoff, now.Add(DefaultValidity))
}

// ObserveUntil is like Observe for an announcement that is valid until the given time.
func (t *Table) ObserveUntil(name string, cutoff *lilacv1.PoolCutoff, until time.Time) {
	p := t.peers[name]
	if p == nil {
		p = &peer{}
		t.peers[name] = p
	}
	*p = peer{until: until, admitted: lowestTier, heldBack: noTier}
	if cutoff == nil {
		return
	}
	p.admitted = int(cutoff.GetAdmittedTier()) - 1
	if heldBack := cutoff.GetHeldBackTier(); heldBack > 0 {
		p.heldBack = int(heldBack) - 1
	}
	p.demand = demandOf(cutoff)
}

// demandOf returns the demand in a peer's announcement. Peers that report no demand by position
// report it by tier.
func demandOf(cutoff *lilacv1.PoolCutoff) (demand Demand) {
	for position, count := range cutoff.GetPlaceDemand() {
		if position < model.Positions {
			demand[position] = float64(count)
		}
	}
	if len(cutoff.GetPlaceDemand()) > 0 {
		return demand
	}
	for tier, count := range cutoff.GetDemand() {
		if tier < model.Tiers {
			demand[model.Position(tier, 0)] = float64(count)
		}
	}
	return demand
}

// RemovePeer removes a peer that is no longer reachable.
func (t *Table) RemovePeer(name string) { delete(t.peers, name) }

// HoldBack records that this instance wants to shed the tier. This expires after
// holdBackDuration unless it is repeated.
func (t *Table) HoldBack(tier int, now time.Time) {
	t.neededTier = min(t.neededTier, tier)
	t.neededAt = now
}

// Update moves this instance's cutoff down by at most one tier, or up once no promise that
// excludes the tiers is in force. It reports whether peers must be informed at once.
func (t *Table) Update(now time.Time) bool {
	if t.neededTier != noTier && now.Sub(t.neededAt) > holdBackDuration {
		t.neededTier = noTier
	}
	want := lowestTier
	if t.neededTier != noTier {
		want = t.neededTier
	}
	for _, p := range t.peers {
		if p.heldBack != noTier {
			want = min(want, p.heldBack)
		}
	}
	switch {
	case want < t.announced && t.peersCutOff(t.announced, now):
		t.announced--
		t.admitted = min(t.admitted, t.announced)
		t.announcedAt = now
		return true
	case want > t.announced:
		t.announced = want
		t.announcedAt = now
		return true
	case t.admitted < t.announced && now.Sub(t.announcedAt) >= t.promise:
		t.admitted = t.announced
	}
	return false
}

// peersCutOff reports whether every reachable peer has cut off all tiers less urgent than
// tier, by an announcement in force.
func (t *Table) peersCutOff(tier int, now time.Time) bool {
	if tier >= lowestTier {
		return true
	}
	if now.Sub(t.createdAt) < startupDelay {
		return false
	}
	for _, p := range t.peers {
		if p.admitted > tier || now.After(p.until) {
			return false
		}
	}
	return true
}

// MayShed reports whether the other instances and this instance's cutoff allow shedding
// requests of the tier.
func (t *Table) MayShed(tier int, now time.Time) bool {
	return t.admitted <= tier && t.peersCutOff(tier, now)
}

// Admits reports whether this instance admits the tier.
func (t *Table) Admits(tier int) bool { return tier <= t.admitted }

// Admitted returns the least urgent tier that this instance admits.
func (t *Table) Admitted() int { return t.admitted }

// Cutoff returns the pool's part of this instance's digest; waiting is the least urgent tier
// with waiting requests, or -1.
func (t *Table) Cutoff(demand Demand, waiting int) *lilacv1.PoolCutoff {
	cutoff := &lilacv1.PoolCutoff{Pool: t.pool, AdmittedTier: uint32(t.announced + 1), WaitingTier: uint32(waiting + 1)}
	if t.neededTier != noTier {
		cutoff.HeldBackTier = uint32(t.neededTier + 1)
	}
	for _, count := range demand.byTier() {
		cutoff.Demand = append(cutoff.Demand, number.Uint32(math.Round(count)))
	}
	for _, count := range demand[:demand.LastPosition()+1] {
		cutoff.PlaceDemand = append(cutoff.PlaceDemand, number.Uint32(math.Round(count)))
	}
	return cutoff
}

// PeerCount returns the number of peers known from digests.
func (t *Table) PeerCount() int { return len(t.peers) }

// SetOthersDemand sets the demand of all other instances and their number, as reported
// outside digests. It takes precedence over digests while instances is positive.
func (t *Table) SetOthersDemand(demand Demand, instances int) {
	t.reportedDemand, t.reportedPeers = demand, instances
}

// otherInstances returns the number of instances that OthersDemand covers.
func (t *Table) otherInstances() int {
	if t.reportedPeers > 0 {
		return t.reportedPeers
	}
	return len(t.peers)
}

// InstanceCount returns the number of instances that share the pool, including this one.
func (t *Table) InstanceCount() int { return t.otherInstances() + 1 }

// OthersDemand returns the demand of all other instances.
func (t *Table) OthersDemand() Demand {
	if t.reportedPeers > 0 {
		return t.reportedDemand
	}
	var sum Demand
	for _, p := range t.peers {
		for position, count := range p.demand {
			sum[position] += count
		}
	}
	return sum
}

// Split returns how many requests of each position this instance may run at once, and how
// many in total. Each position first gets its share of capacity, up to its demand; the rest
// is granted in the order of positions. Within a position, slots are divided among instances
// in proportion to demand. Capacity without demand is divided evenly and is open to every
// position.
func (t *Table) Split(capacity float64, own Demand, shares Shares) (split Demand, quota float64) {
	total := t.OthersDemand()
	remaining := capacity
	var granted Demand
	for position := range own {
		total[position] += own[position]
		granted[position] = min(total[position], shares[position]*capacity)
		remaining -= granted[position]
	}
	for position := range own {
		extra := min(total[position]-granted[position], max(remaining, 0))
		remaining -= extra
		if total[position] > 0 {
			split[position] = (granted[position] + extra) * own[position] / total[position]
			quota += split[position]
		}
	}
	evenShare := max(remaining, 0) / float64(t.otherInstances()+1)
	for position := range split {
		split[position] += evenShare
	}
	return split, max(1, quota+evenShare)
}
