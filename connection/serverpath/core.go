// Package serverpath opens connections to backend servers: directly, or forwarded by
// another instance while the direct path is lost.
//
// An instance may lose its network path to some or all backend servers while callers and
// other instances still reach it. Requests then keep their place in this instance's
// scheduling; only their connections take another way. An instance never forwards a
// connection through a third one.
package serverpath

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fallbackDelay is how long a direct dial may take before another instance is asked to
	// forward the connection, which is longer than a round trip between regions.
	fallbackDelay = 150 * time.Millisecond
	// doubtfulDelay replaces fallbackDelay while the path to any server is lost, and is the
	// time between two instances that are asked: it is just above a round trip between
	// regions.
	doubtfulDelay = 75 * time.Millisecond
	// maxForwarders is how many instances one dial asks.
	maxForwarders = 3
	// minRetryDelay is the time between direct dials to a server whose path is lost. It
	// doubles up to maxRetryDelay each time that a restored path is lost again within
	// flapWindow, so that an unstable path is not used in each of its short intervals.
	minRetryDelay = time.Second
	maxRetryDelay = 8 * time.Second
	flapWindow    = 10 * time.Second
	// avoidPeriod is how long an instance that could not forward a connection is not asked.
	avoidPeriod = 2 * time.Second
)

// Peer is another instance that may forward connections.
type Peer struct{ Name, Address, DataCenter string }

// path is what is known of the direct path to a server.
type path struct {
	lost bool
	// retryAt is when the next direct dial is due while the path is lost.
	retryAt    time.Time
	retryDelay time.Duration
	restoredAt time.Time
}

// Core decides how to reach each server. It does no I/O and is not safe for concurrent use.
type Core struct {
	self Peer
	// peers are the other live instances.
	peers []hashedPeer
	paths map[string]*path
	// lost is the number of lost paths.
	lost int
	// avoidedUntil holds by name the peers that could not forward a connection.
	avoidedUntil map[string]time.Time
}

// NewCore returns the core of the instance self.
func NewCore(self Peer) *Core {
	return &Core{self: self, paths: make(map[string]*path), avoidedUntil: make(map[string]time.Time)}
}

// hashedPeer is a peer with the hash of its name.
type hashedPeer struct {
	Peer
	hash uint64
}

// SetPeers replaces the live instances.
func (c *Core) SetPeers(peers []Peer) {
	c.peers = make([]hashedPeer, 0, len(peers))
	live := make(map[string]bool, len(peers))
	for _, peer := range peers {
		live[peer.Name] = true
		if peer.Name != c.self.Name {
			c.peers = append(c.peers, hashedPeer{peer, xxhash.Sum64String(peer.Name)})
		}
	}
	maps.DeleteFunc(c.avoidedUntil, func(name string, _ time.Time) bool { return !live[name] })
}

// Plan is how to open one connection.
type Plan struct {
	// Direct is true if the server is dialled directly; otherwise other instances are asked
	// at once.
	Direct bool
	// FallbackAfter is the time after which another instance is asked if the first way has
	// neither succeeded nor failed.
	FallbackAfter time.Duration
	// Doubtful is true while the path to any server is lost. A failed direct dial then says
	// little about the server.
	Doubtful bool
}

// Plan returns how to open a connection to the server at address.
func (c *Core) Plan(now time.Time, address string) Plan {
	plan := Plan{Direct: true, FallbackAfter: fallbackDelay}
	if c.lost > 0 {
		plan.FallbackAfter, plan.Doubtful = doubtfulDelay, true
	}
	p := c.paths[address]
	if p == nil || !p.lost || !c.hasForwarder(now) {
		return plan
	}
	if !c.MayDial(now, address) {
		plan.Direct = false
		return plan
	}
	plan.FallbackAfter = 0
	return plan
}

// MayDial reports whether a direct dial is due: at any time, or once in each retry delay while
// the path is lost.
func (c *Core) MayDial(now time.Time, address string) bool {
	p := c.paths[address]
	if p == nil || !p.lost {
		return true
	}
	if now.Before(p.retryAt) {
		return false
	}
	p.retryAt = now.Add(p.retryDelay)
	return true
}

// Forwarders returns the instances to ask, one after the other: those in the server's data
// centre first, since the connection crosses the network between data centres only once that
// way, then those in this instance's, then others. The last one is in another data centre than
// the first, since a whole data centre may have lost its paths. Instances differ in their
// order, so that they spread.
func (c *Core) Forwarders(now time.Time, address, dataCenter string) []Peer {
	key := xxhash.Sum64String(c.self.Name + "/" + address)
	nearest := c.nearest(now, key, dataCenter, maxForwarders, "")
	if last := maxForwarders - 1; len(nearest) == maxForwarders && nearest[last].DataCenter == nearest[0].DataCenter {
		elsewhere := c.nearest(now, key, dataCenter, 1, nearest[0].DataCenter)
		nearest = append(nearest[:last], append(elsewhere, nearest[last])[0])
	}
	return nearest
}

// nearest returns up to count instances outside the data centre except, in the order of
// Forwarders.
func (c *Core) nearest(now time.Time, key uint64, dataCenter string, count int, except string) []Peer {
	type candidate struct {
		peer     *hashedPeer
		distance int
		rank     uint64
	}
	var nearest []candidate
	for i := range c.peers {
		peer := &c.peers[i]
		if except != "" && peer.DataCenter == except || now.Before(c.avoidedUntil[peer.Name]) {
			continue
		}
		one := candidate{peer, c.distance(peer.DataCenter, dataCenter), mix(peer.hash ^ key)}
		at, _ := slices.BinarySearchFunc(nearest, one, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.rank, b.rank))
		})
		if at < count {
			nearest = slices.Insert(nearest, at, one)
			nearest = nearest[:min(len(nearest), count)]
		}
	}
	peers := make([]Peer, 0, len(nearest))
	for _, one := range nearest {
		peers = append(peers, one.peer.Peer)
	}
	return peers
}

// distance orders data centres: the server's, this instance's, then others.
func (c *Core) distance(of, server string) int {
	switch of {
	case server:
		return 0
	case c.self.DataCenter:
		return 1
	}
	return 2
}

// hasForwarder reports whether any instance may be asked.
func (c *Core) hasForwarder(now time.Time) bool {
	return slices.ContainsFunc(c.peers, func(p hashedPeer) bool { return !now.Before(c.avoidedUntil[p.Name]) })
}

// mix spreads the bits of a combined hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Change is a change of the state of a direct path.
type Change int

// The changes of a path.
const (
	Unchanged Change = iota
	// Lost: a direct dial failed and another instance reached the server.
	Lost
	// Restored: a direct dial succeeded again.
	Restored
)

// Dialled records the outcome of a direct dial. forwarded is true if another instance
// reached the server meanwhile: a server that neither reaches is down, and its path is not
// lost.
func (c *Core) Dialled(now time.Time, address string, succeeded, forwarded bool) Change {
	p := c.paths[address]
	switch {
	case succeeded && p != nil && p.lost:
		p.lost, p.restoredAt = false, now
		c.lost--
		return Restored
	case succeeded || !forwarded || p != nil && p.lost:
		return Unchanged
	}
	if p == nil {
		p = &path{}
		c.paths[address] = p
	}
	if p.restoredAt.IsZero() || now.Sub(p.restoredAt) > flapWindow {
		p.retryDelay = minRetryDelay
	} else {
		p.retryDelay = min(2*p.retryDelay, maxRetryDelay)
	}
	p.lost, p.retryAt = true, now.Add(p.retryDelay)
	c.lost++
	return Lost
}

// ForwarderFailed records that an instance could not forward a connection for a reason of
// its own. If it only found the server down, it is not avoided.
func (c *Core) ForwarderFailed(now time.Time, peer string) {
	c.avoidedUntil[peer] = now.Add(avoidPeriod)
}

// IsLost reports whether the direct path to the server is lost.
func (c *Core) IsLost(address string) bool {
	p := c.paths[address]
	return p != nil && p.lost
}

// LostPaths returns the number of servers whose direct path is lost.
func (c *Core) LostPaths() int { return c.lost }

// Retain forgets the servers for which keep returns false.
func (c *Core) Retain(keep func(address string) bool) {
	for address, p := range c.paths {
		if keep(address) {
			continue
		}
		if p.lost {
			c.lost--
		}
		delete(c.paths, address)
	}
}
