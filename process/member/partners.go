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
		if c.begins(now, name) {
			list = append(list, c.peers[name])
		}
	}
	return list
}

// begins tells whether this side of a pair of equals begins the exchange: the
// one of better rank does, and the other when nothing came, so that a cut in
// one direction hides nobody.
func (c *Core) begins(now time.Time, name string) bool {
	h, heard := c.heard[name]
	return CompareRank(c.self.Name, name) < 0 || !heard || now.Sub(h.at) > c.interval()+c.interval()/2
}

// parent returns the entry above in the own data centre's tree; "" for the relay.
func (c *Core) parent() string {
	if len(c.avoided) == 0 && len(c.leaving) == 0 {
		return Parent(c.above, Fanout)
	}
	return Parent(c.usable(slices.Clone(c.above)), Fanout)
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
		_, avoided := c.avoided[name]
		return avoided || c.leaving[name]
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
		if peer := best[dataCenter]; c.begins(now, peer.Name) {
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
func (c *Core) outgoing(now time.Time, foreign bool) *lilacv1.Digest {
	sum := c.combined(append(c.below(now, ""), c.ownDigest(now)))
	sum.Incomplete = sum.GetIncomplete() || c.lacks(now, c.self.DataCenter) || foreign && c.parent() != ""
	return sum
}

// Reply is the digest for the peer that was just received from: a partial one
// is answered by a partial one.
func (c *Core) Reply(now time.Time, peer string) *lilacv1.Digest {
	if c.brief[peer] {
		return c.changed(now, peer)
	}
	return c.whole(now, peer)
}

// whole is all that the peer is to know.
func (c *Core) whole(now time.Time, peer string) *lilacv1.Digest {
	d := c.word(now, peer)
	c.said[peer] = d
	d.Stamp, d.Echo = c.stamp(now), c.stamps[peer]
	return d
}

// word is what the peer is to know: the own digest in a mesh; in a tree that of
// all below to the parent, and of all others but the peer's part to a child.
//
// It guards against an echo: if a node's own cutoffs came back to it as those of
// others, a tier once held back would be held back for ever. It holds because
// what came from a child is left out of its answer, a child has a worse rank
// than its parent, and sums of other data centres are never passed on to a third.
func (c *Core) word(now time.Time, peer string) *lilacv1.Digest {
	if !c.Tree() {
		return c.ownDigest(now)
	}
	foreign := c.peers[peer].DataCenter != c.self.DataCenter
	if foreign || peer == c.parent() {
		return c.outgoing(now, foreign)
	}
	return c.others(now, peer, c.ownDigest(now))
}

// others combines what is known of all others, without the part of one peer.
func (c *Core) others(now time.Time, without string, more ...*lilacv1.Digest) *lilacv1.Digest {
	parts := append(c.below(now, without), more...)
	if c.down.digest != nil {
		parts = append(parts, c.down.aged(now))
	}
	for _, name := range c.foreign(now) {
		parts = append(parts, c.heard[name].aged(now))
	}
	sum := Combine(Others, "", parts...)
	deaf := c.parent() != "" && c.down.digest == nil
	sum.Incomplete = sum.GetIncomplete() || deaf || c.lacks(now, "")
	return sum
}

// urgent tells whether a server began to leave, or a suspect was found, that the
// neighbours can't know yet.
//
// It guards against new work for a leaving server while the news climbs down
// the tree one interval a step, which would take longer than the 3 s that it
// may: with it each step takes a tick.
func (c *Core) urgent(now time.Time) bool {
	news := make(map[string]bool)
	note := func(d *lilacv1.Digest) {
		for _, server := range d.GetEjected() {
			news["server "+server] = true
		}
		for _, suspect := range d.GetSuspects() {
			news[fmt.Sprint("suspect ", suspect.GetDigest(), len(suspect.GetServers()))] = true
		}
	}
	note(c.ownDigest(now))
	if c.Tree() {
		note(c.others(now, ""))
	}
	fresh := false
	for item := range news {
		fresh = fresh || !c.news[item]
	}
	c.postponed = fresh && now.Sub(c.pushed) < urgentPause
	if c.postponed {
		return false
	}
	c.news = news
	if fresh {
		c.pushed = now
	}
	return fresh
}

// listeners returns the peers that exchange with this entry of their own accord.
func (c *Core) listeners(now time.Time) []Peer {
	var list []Peer
	for _, name := range slices.Sorted(maps.Keys(c.heard)) {
		peer, known := c.peers[name]
		below := CompareRank(c.self.Name, name) < 0 && peer.DataCenter == c.self.DataCenter
		foreign := c.parent() == "" && peer.DataCenter != c.self.DataCenter
		if known && c.fresh(now, name) && (!c.Tree() || below || foreign) && !c.partnered(now, name) {
			list = append(list, peer)
		}
	}
	return list
}

func (c *Core) partnered(now time.Time, name string) bool {
	return slices.ContainsFunc(c.partners(now), func(p Peer) bool { return p.Name == name })
}

// combined names the sum after this entry, with its own incarnation and number.
func (c *Core) combined(parts []*lilacv1.Digest) *lilacv1.Digest {
	sum := Combine(c.self.Name, c.self.DataCenter, parts...)
	sum.Incarnation, sum.Sequence, sum.Leaving = c.own.GetIncarnation(), c.own.GetSequence(), c.own.GetLeaving()
	return sum
}

// below returns the digests of the own data centre's entries of a worse rank
// that were heard, without the one named.
func (c *Core) below(now time.Time, without string) []*lilacv1.Digest {
	var parts []*lilacv1.Digest
	for _, name := range slices.Sorted(maps.Keys(c.heard)) {
		h := c.heard[name]
		isBelow := h.digest.GetDataCenter() == c.self.DataCenter && CompareRank(c.self.Name, name) < 0
		if isBelow && name != without && c.fresh(now, name) {
			parts = append(parts, h.aged(now))
		}
	}
	return parts
}

func (c *Core) foreign(now time.Time) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(c.heard)) {
		if c.heard[name].digest.GetDataCenter() != c.self.DataCenter && c.fresh(now, name) {
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
		if !c.toldLeave[name] {
			ejected[name] = true
		}
	}
	for name := range c.listed {
		ejected[name] = true
	}
	own := c.own
	binds := remaining(own.GetPromiseMs(), now, c.ownAt)
	return &lilacv1.Digest{
		BindsMs: binds, Incomplete: own.GetIncomplete() || binds == 0,
		Instance: c.self.Name, DataCenter: c.self.DataCenter, Incarnation: own.GetIncarnation(), Sequence: own.GetSequence(),
		Leaving: own.GetLeaving(), Revision: own.GetRevision(), Cutoffs: own.GetCutoffs(), Loads: own.GetLoads(),
		Suspects: own.GetSuspects(), Spends: own.GetSpends(), Readings: own.GetReadings(), Work: own.GetWork(), Ejected: slices.Sorted(maps.Keys(ejected)),
	}
}

// servers tells which backend servers began or ended to be leaving. Either
// source is enough to stop new work.
func (c *Core) servers(now time.Time) []Action {
	if !c.heardNews {
		return nil
	}
	leaving := maps.Clone(c.listed)
	for _, name := range slices.Sorted(maps.Keys(c.heard)) {
		if !c.fresh(now, name) {
			continue
		}
		for _, server := range c.heard[name].digest.GetEjected() {
			leaving[server] = true
		}
	}
	for _, server := range c.down.digest.GetEjected() {
		leaving[server] = true
	}
	var actions []Action
	for _, server := range slices.Sorted(maps.Keys(leaving)) {
		if !c.toldLeave[server] {
			actions = append(actions, ServerState{server, true})
		}
	}
	for _, server := range slices.Sorted(maps.Keys(c.toldLeave)) {
		if !leaving[server] {
			actions = append(actions, ServerState{server, false})
		}
	}
	c.toldLeave = leaving
	return actions
}
