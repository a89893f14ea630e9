package member

import (
	"fmt"
	"maps"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// partners returns the peers with whom an exchange is due from this side.
func (c *Core) partners(now time.Time) []Peer {
	if !c.Tree() {
		return c.meshPartners(now)
	}
	if parent := c.parent(); parent != "" {
		return []Peer{c.peers[parent]}
	}
	return c.relays(now)
}

// meshPartners are all whose exchange this side begins.
func (c *Core) meshPartners(now time.Time) []Peer {
	var list []Peer
	for _, name := range slices.Sorted(maps.Keys(c.peers)) {
		if c.initiates(now, name) {
			list = append(list, c.peers[name])
		}
	}
	return list
}

// begins tells whether this side of a pair of equals begins the exchange: the
// one of better rank does, and the other when nothing came, so that a cut in
// one direction hides nobody.
func (c *Core) initiates(now time.Time, name string) bool {
	h, known := c.received[name]
	return CompareRank(c.self.Name, name) < 0 || !known || now.Sub(h.receivedAt) > c.interval()+c.interval()/2
}

// parent returns the entry above in the own data centre's tree; "" for the relay.
func (c *Core) parent() string {
	if len(c.avoidedUntil) == 0 && len(c.leavingInstances) == 0 {
		return Parent(c.higherRanked, Fanout)
	}
	return Parent(c.usable(slices.Clone(c.higherRanked)), Fanout)
}

func (c *Core) names(dataCenter string) []string {
	var names []string
	for name, peer := range c.peers {
		if peer.DataCenter == dataCenter {
			names = append(names, name)
		}
	}
	return names
}

func (c *Core) usable(names []string) []string {
	return slices.DeleteFunc(names, func(name string) bool {
		_, avoided := c.avoidedUntil[name]
		return avoided || c.leavingInstances[name]
	})
}

// relays returns the first in rank of each other data centre.
func (c *Core) relays(now time.Time) []Peer {
	best := make(map[string]Peer)
	for _, name := range c.usable(slices.Sorted(maps.Keys(c.peers))) {
		peer := c.peers[name]
		if peer.DataCenter == c.self.DataCenter {
			continue
		}
		if other, ok := best[peer.DataCenter]; !ok || comparePeers(peer, other) < 0 {
			best[peer.DataCenter] = peer
		}
	}
	var list []Peer
	for _, dataCenter := range slices.Sorted(maps.Keys(best)) {
		if peer := best[dataCenter]; c.initiates(now, peer.Name) {
			list = append(list, peer)
		}
	}
	return list
}

// outgoing is what this entry tells its parent and other data centres: the
// digest of all below it and its own.
//
// It guards against a sum that lacks most of its data centre: one who is no
// relay may be asked as if it were, by those who gave the relay up.
func (c *Core) subtreeDigest(now time.Time, foreign bool) *lilacv1.Digest {
	sum := c.combineAsSelf(append(c.lowerRankedDigests(now, ""), c.ownDigest(now)))
	sum.Incomplete = sum.GetIncomplete() || c.instanceMissing(now, c.self.DataCenter) || foreign && c.parent() != ""
	return sum
}

// Reply is the digest for the peer that was just received from: a partial one
// is answered by a partial one.
func (c *Core) Reply(now time.Time, peer string) *lilacv1.Digest {
	if c.lastPartial[peer] {
		return c.partialDigest(now, peer)
	}
	return c.fullDigest(now, peer)
}

// whole is all that the peer is to know.
func (c *Core) fullDigest(now time.Time, peer string) *lilacv1.Digest {
	d := c.digestFor(now, peer)
	c.lastSent[peer] = d
	d.Stamp, d.Echo = c.stamp(now), c.lastStamps[peer]
	return d
}

// word is what the peer is to know: the own digest in a mesh; in a tree that of
// all below to the parent, and of all others but the peer's part to a child.
//
// It guards against an echo: if a node's own cutoffs came back to it as those of
// others, a tier once held back would be held back for ever. It holds because
// what came from a child is left out of its answer, a child has a worse rank
// than its parent, and sums of other data centres are never passed on to a third.
func (c *Core) digestFor(now time.Time, peer string) *lilacv1.Digest {
	if !c.Tree() {
		return c.ownDigest(now)
	}
	foreign := c.peers[peer].DataCenter != c.self.DataCenter
	if foreign || peer == c.parent() {
		return c.subtreeDigest(now, foreign)
	}
	return c.othersDigest(now, peer, c.ownDigest(now))
}

// others combines what is known of all others, without the part of one peer.
func (c *Core) othersDigest(now time.Time, except string, extra ...*lilacv1.Digest) *lilacv1.Digest {
	parts := append(c.lowerRankedDigests(now, except), extra...)
	if c.fromParent.digest != nil {
		parts = append(parts, c.fromParent.asPart(now))
	}
	for _, name := range c.foreignInstances(now) {
		parts = append(parts, c.received[name].asPart(now))
	}
	sum := Combine(Others, "", parts...)
	noParentDigest := c.parent() != "" && c.fromParent.digest == nil
	sum.Incomplete = sum.GetIncomplete() || noParentDigest || c.instanceMissing(now, "")
	return sum
}

// urgent tells whether a server began to leave, or a suspect was found, that the
// neighbours can't know yet.
//
// It guards against new work for a leaving server while the news climbs down
// the tree one interval a step, which would take longer than the 3 s that it
// may: with it each step takes a tick.
func (c *Core) urgent(now time.Time) bool {
	items := make(map[string]bool)
	add := func(d *lilacv1.Digest) {
		for _, server := range d.GetEjected() {
			items["server "+server] = true
		}
		for _, suspect := range d.GetSuspects() {
			items[fmt.Sprint("suspect ", suspect.GetDigest(), len(suspect.GetServers()))] = true
		}
	}
	add(c.ownDigest(now))
	if c.Tree() {
		add(c.othersDigest(now, ""))
	}
	isNew := false
	for item := range items {
		isNew = isNew || !c.announced[item]
	}
	c.urgentDeferred = isNew && now.Sub(c.lastUrgent) < minUrgentInterval
	if c.urgentDeferred {
		return false
	}
	c.announced = items
	if isNew {
		c.lastUrgent = now
	}
	return isNew
}

// listeners returns the peers that exchange with this entry of their own accord.
func (c *Core) inboundPeers(now time.Time) []Peer {
	var list []Peer
	for _, name := range slices.Sorted(maps.Keys(c.received)) {
		peer, known := c.peers[name]
		below := CompareRank(c.self.Name, name) < 0 && peer.DataCenter == c.self.DataCenter
		foreign := c.parent() == "" && peer.DataCenter != c.self.DataCenter
		if known && c.fresh(now, name) && (!c.Tree() || below || foreign) && !c.isPartner(now, name) {
			list = append(list, peer)
		}
	}
	return list
}

func (c *Core) isPartner(now time.Time, name string) bool {
	return slices.ContainsFunc(c.partners(now), func(p Peer) bool { return p.Name == name })
}

// combined names the sum after this entry, with its own incarnation and number.
func (c *Core) combineAsSelf(parts []*lilacv1.Digest) *lilacv1.Digest {
	sum := Combine(c.self.Name, c.self.DataCenter, parts...)
	sum.Incarnation, sum.Sequence, sum.Leaving = c.own.GetIncarnation(), c.own.GetSequence(), c.own.GetLeaving()
	return sum
}

// below returns the digests of the own data centre's entries of a worse rank
// that were heard, without the one named.
func (c *Core) lowerRankedDigests(now time.Time, except string) []*lilacv1.Digest {
	var parts []*lilacv1.Digest
	for _, name := range slices.Sorted(maps.Keys(c.received)) {
		h := c.received[name]
		isBelow := h.digest.GetDataCenter() == c.self.DataCenter && CompareRank(c.self.Name, name) < 0
		if isBelow && name != except && c.fresh(now, name) {
			parts = append(parts, h.asPart(now))
		}
	}
	return parts
}

func (c *Core) foreignInstances(now time.Time) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(c.received)) {
		if c.received[name].digest.GetDataCenter() != c.self.DataCenter && c.fresh(now, name) {
			names = append(names, name)
		}
	}
	return names
}

// ownDigest is the own digest with the servers that the platform's list has as
// leaving, and without those known from peers only: their word would come back
// to them and never end.
func (c *Core) ownDigest(now time.Time) *lilacv1.Digest {
	ejected := make(map[string]bool)
	for _, name := range c.own.GetEjected() {
		if !c.reportedLeaving[name] {
			ejected[name] = true
		}
	}
	for name := range c.listedLeaving {
		ejected[name] = true
	}
	own := c.own
	bindsMs := remainingMs(own.GetPromiseMs(), now, c.ownRequestedAt)
	return &lilacv1.Digest{
		BindsMs: bindsMs, Incomplete: own.GetIncomplete() || bindsMs == 0,
		Instance: c.self.Name, DataCenter: c.self.DataCenter, Incarnation: own.GetIncarnation(), Sequence: own.GetSequence(),
		Leaving: own.GetLeaving(), Revision: own.GetRevision(), Cutoffs: own.GetCutoffs(), Loads: own.GetLoads(),
		Suspects: own.GetSuspects(), Spends: own.GetSpends(), Readings: own.GetReadings(), Work: own.GetWork(), Ejected: slices.Sorted(maps.Keys(ejected)),
	}
}

// servers tells which backend servers began or ended to be leaving. Either
// source is enough to stop new work.
func (c *Core) reportServers(now time.Time) []Action {
	if !c.digestsChanged {
		return nil
	}
	leaving := maps.Clone(c.listedLeaving)
	for _, name := range slices.Sorted(maps.Keys(c.received)) {
		if !c.fresh(now, name) {
			continue
		}
		for _, server := range c.received[name].digest.GetEjected() {
			leaving[server] = true
		}
	}
	for _, server := range c.fromParent.digest.GetEjected() {
		leaving[server] = true
	}
	var actions []Action
	for _, server := range slices.Sorted(maps.Keys(leaving)) {
		if !c.reportedLeaving[server] {
			actions = append(actions, ServerState{server, true})
		}
	}
	for _, server := range slices.Sorted(maps.Keys(c.reportedLeaving)) {
		if !leaving[server] {
			actions = append(actions, ServerState{server, false})
		}
	}
	c.reportedLeaving = leaving
	return actions
}
