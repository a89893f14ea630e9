package member

import (
	"fmt"
	"maps"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// partners returns the peers that this side exchanges with.
func (c *Core) partners(now time.Time) []Peer {
	if !c.Tree() {
		return c.meshPartners(now)
	}
	if parent := c.parent(); parent != "" {
		return []Peer{c.peers[parent]}
	}
	return c.relays(now)
}

// meshPartners returns the peers with which this side initiates the exchange.
func (c *Core) meshPartners(now time.Time) []Peer {
	var list []Peer
	for _, name := range slices.Sorted(maps.Keys(c.peers)) {
		if c.initiates(now, name) {
			list = append(list, c.peers[name])
		}
	}
	return list
}

// initiates reports whether this side initiates the exchange within a pair of
// equals. The higher-ranked one does; the other takes over if it receives nothing, so
// that a one-way partition hides no instance.
func (c *Core) initiates(now time.Time, name string) bool {
	r, known := c.received[name]
	return CompareRank(c.self.Name, name) < 0 || !known || now.Sub(r.receivedAt) > c.interval()+c.interval()/2
}

// parent returns the parent in this data centre's tree, or "" if this instance is
// the relay.
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

// relays returns the highest-ranked instance of each other data centre with which
// this side initiates the exchange.
func (c *Core) relays(now time.Time) []Peer {
	best := make(map[string]Peer)
	for _, name := range c.usable(slices.Sorted(maps.Keys(c.peers))) {
		peer := c.peers[name]
		if peer.DataCenter == c.self.DataCenter {
			continue
		}
		if current, known := best[peer.DataCenter]; !known || comparePeers(peer, current) < 0 {
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

// subtreeDigest combines the digests of all lower-ranked instances of this data
// centre with the own one, for the parent and for other data centres.
//
// A digest for another data centre is incomplete unless this instance is the relay:
// peers that gave up on the relay may ask another instance, which lacks most of its
// data centre.
func (c *Core) subtreeDigest(now time.Time, toRemote bool) *lilacv1.Digest {
	sum := c.combineAsSelf(append(c.lowerRankedDigests(now, ""), c.ownDigest(now)))
	sum.Incomplete = sum.GetIncomplete() || c.instanceMissing(now, c.self.DataCenter) || toRemote && c.parent() != ""
	return sum
}

// Reply returns the reply to the digest just received from the peer. A partial
// digest gets a partial reply.
func (c *Core) Reply(now time.Time, peer string) *lilacv1.Digest {
	if c.lastPartial[peer] {
		return c.partialDigest(now, peer)
	}
	return c.fullDigest(now, peer)
}

// fullDigest returns the full digest for the peer.
func (c *Core) fullDigest(now time.Time, peer string) *lilacv1.Digest {
	d := c.digestFor(now, peer)
	c.lastSent[peer] = d
	d.Stamp, d.Echo = c.stamp(now), c.lastStamps[peer]
	return d
}

// digestFor returns what the peer should know. In a mesh that is the own digest. In
// a tree the parent and other data centres get the subtree's digest, and a child
// gets the digest of all others without its own part.
//
// A node must never receive its own cutoffs back as those of others: a tier that
// was once held back would be held back forever. Three rules prevent it: the reply
// to a child omits the child's part, a child always ranks below its parent, and
// digests of another data centre are not forwarded to a third.
func (c *Core) digestFor(now time.Time, peer string) *lilacv1.Digest {
	if !c.Tree() {
		return c.ownDigest(now)
	}
	remote := c.peers[peer].DataCenter != c.self.DataCenter
	if remote || peer == c.parent() {
		return c.subtreeDigest(now, remote)
	}
	return c.othersDigest(now, peer, c.ownDigest(now))
}

// othersDigest combines the digests of all other instances, except the part of one
// peer, with the extra ones.
func (c *Core) othersDigest(now time.Time, except string, extra ...*lilacv1.Digest) *lilacv1.Digest {
	parts := append(c.lowerRankedDigests(now, except), extra...)
	if c.fromParent.digest != nil {
		parts = append(parts, c.fromParent.asPart(now))
	}
	for _, name := range c.remoteInstances(now) {
		parts = append(parts, c.received[name].asPart(now))
	}
	sum := Combine(Others, "", parts...)
	noParentDigest := c.parent() != "" && c.fromParent.digest == nil
	sum.Incomplete = sum.GetIncomplete() || noParentDigest || c.instanceMissing(now, "")
	return sum
}

// urgent reports whether there is a leaving server, a suspect or a blocked part that the
// neighbours cannot know yet.
//
// At one interval per tree level the information would take longer than the allowed
// 3 s to stop new requests to a leaving server. An urgent exchange needs one tick
// per level.
func (c *Core) urgent(now time.Time) bool {
	items := make(map[string]bool)
	add := func(d *lilacv1.Digest) {
		for _, server := range d.GetEjected() {
			items["crashed "+server] = true
		}
		for _, server := range d.GetLeavingServers() {
			items["leaving "+server] = true
		}
		for _, suspect := range d.GetSuspects() {
			items[fmt.Sprint("suspect ", suspect.GetDigest(), len(suspect.GetServers()))] = true
		}
		for _, pool := range d.GetParts() {
			for _, crash := range pool.GetCrashes() {
				items[fmt.Sprint("parts lost with ", crash.GetServer(), len(crash.GetParts()) > 0)] = true
			}
			for _, blocked := range pool.GetBlocked() {
				items[fmt.Sprint("blocked ", pool.GetPool(), blocked.GetPart())] = true
			}
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

// inboundPeers returns the live peers that initiate exchanges with this instance.
func (c *Core) inboundPeers(now time.Time) []Peer {
	var list []Peer
	for _, name := range slices.Sorted(maps.Keys(c.received)) {
		peer, known := c.peers[name]
		lower := CompareRank(c.self.Name, name) < 0 && peer.DataCenter == c.self.DataCenter
		remote := c.parent() == "" && peer.DataCenter != c.self.DataCenter
		if known && c.isFresh(now, name) && (!c.Tree() || lower || remote) && !c.isPartner(now, name) {
			list = append(list, peer)
		}
	}
	return list
}

func (c *Core) isPartner(now time.Time, name string) bool {
	return slices.ContainsFunc(c.partners(now), func(p Peer) bool { return p.Name == name })
}

// combineAsSelf combines the parts into a digest in the name of this instance, with
// its incarnation and sequence.
func (c *Core) combineAsSelf(parts []*lilacv1.Digest) *lilacv1.Digest {
	sum := Combine(c.self.Name, c.self.DataCenter, parts...)
	sum.Incarnation, sum.Sequence, sum.Leaving = c.own.GetIncarnation(), c.own.GetSequence(), c.own.GetLeaving()
	return sum
}

// lowerRankedDigests returns the current digests of this data centre's lower-ranked
// instances, except the named one.
func (c *Core) lowerRankedDigests(now time.Time, except string) []*lilacv1.Digest {
	var parts []*lilacv1.Digest
	for _, name := range slices.Sorted(maps.Keys(c.received)) {
		r := c.received[name]
		lower := r.digest.GetDataCenter() == c.self.DataCenter && CompareRank(c.self.Name, name) < 0
		if lower && name != except && c.isFresh(now, name) {
			parts = append(parts, r.asPart(now))
		}
	}
	return parts
}

func (c *Core) remoteInstances(now time.Time) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(c.received)) {
		if c.received[name].digest.GetDataCenter() != c.self.DataCenter && c.isFresh(now, name) {
			names = append(names, name)
		}
	}
	return names
}

// ownDigest returns the own digest with the servers that the platform lists as
// leaving added, and those known only from peers removed: reporting them back would
// keep them marked as leaving forever.
func (c *Core) ownDigest(now time.Time) *lilacv1.Digest {
	leaving := make(map[string]bool)
	for _, name := range c.own.GetLeavingServers() {
		if !c.reportedLeaving[name] {
			leaving[name] = true
		}
	}
	for name := range c.listedLeaving {
		leaving[name] = true
	}
	own := c.own
	bindsMs := remainingMs(own.GetPromiseMs(), now, c.ownRequestedAt)
	return &lilacv1.Digest{
		BindsMs: bindsMs, Incomplete: own.GetIncomplete() || bindsMs == 0,
		Instance: c.self.Name, DataCenter: c.self.DataCenter, Incarnation: own.GetIncarnation(), Sequence: own.GetSequence(),
		Leaving: own.GetLeaving(), Revision: own.GetRevision(), Cutoffs: own.GetCutoffs(), Loads: own.GetLoads(),
		Suspects: own.GetSuspects(), Spends: own.GetSpends(), Readings: own.GetReadings(), Work: own.GetWork(), Parts: own.GetParts(), Ejected: own.GetEjected(),
		LeavingServers: slices.Sorted(maps.Keys(leaving)),
	}
}

// reportServers returns the changes to the set of leaving backend servers. Either
// source, the platform's list or a peer's digest, is enough to mark a server as
// leaving.
func (c *Core) reportServers(now time.Time) []Action {
	if !c.digestsChanged {
		return nil
	}
	leaving := maps.Clone(c.listedLeaving)
	for _, name := range slices.Sorted(maps.Keys(c.received)) {
		if !c.isFresh(now, name) {
			continue
		}
		for _, server := range c.received[name].digest.GetLeavingServers() {
			leaving[server] = true
		}
	}
	for _, server := range c.fromParent.digest.GetLeavingServers() {
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
