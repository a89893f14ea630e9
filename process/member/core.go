// Package member implements gossip membership between entry instances: which entry
// instances and backend servers are alive or leaving, and which peers an entry
// instance exchanges digests with.
//
// Up to MeshLimit entry instances form a full mesh: each pair exchanges digests
// once per interval. Larger fleets form a tree by rank in each data centre: digests
// are combined on the way up, the root of each data centre (the relay) exchanges
// the result with the other relays, and the digest of all other instances returns
// in the replies. Traffic per node therefore does not grow with the fleet.
//
// Liveness depends only on the local monotonic clock: a peer that has not been
// heard from for Lifetime is considered dead, whatever the platform's list says.
// The list may be out of date; it only supplies candidate peers and the instances
// and servers that are leaving.
package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	// Interval is the time between two exchanges with the same peer.
	Interval = time.Second
	// TreeInterval replaces Interval in a tree.
	TreeInterval = 1500 * time.Millisecond
	// Lifetime is how long a digest is used after it was received.
	Lifetime = 3 * time.Second
	// TreeLifetime replaces Lifetime in a tree.
	TreeLifetime = 4500 * time.Millisecond
	// MeshLimit is the largest number of entry instances that form a full mesh.
	MeshLimit = 10
	// Fanout is the number of children of a node in the digest tree.
	Fanout = 5
	// avoidPeriod is how long a failed parent or relay is not used.
	avoidPeriod = 10 * time.Second
	// maxFailures is the number of consecutive failed exchanges after which a tree
	// node gives up its parent.
	maxFailures = 2
	// minUrgentInterval is the minimum time between two urgent exchanges.
	minUrgentInterval = 500 * time.Millisecond
)

// Others is the instance name in a digest that combines all other instances.
const Others = "*others"

// Peer is another entry instance.
type Peer struct{ Name, Address, DataCenter string }

// ListedServer is a backend server in the platform's list.
type ListedServer struct {
	Name    string
	Leaving bool
}

// receivedDigest is the last digest of an instance. sender is the peer it was
// received from.
type receivedDigest struct {
	digest     *lilacv1.Digest
	sender     string
	receivedAt time.Time
	// composedAfter is a local time after which the digest was composed; zero if
	// unknown.
	composedAfter time.Time
}

// Core is the membership state machine of one entry instance. It does no I/O: the
// caller feeds events to Step and performs the returned actions. It is not safe for
// concurrent use.
type Core struct {
	self Peer
	// meshInterval is the exchange interval in a full mesh.
	meshInterval time.Duration
	// peers are the candidate peers, without this instance.
	peers map[string]Peer
	// listedLeaving are the servers, leavingInstances the instances that the
	// platform lists as leaving.
	listedLeaving    map[string]bool
	leavingInstances map[string]bool
	received         map[string]receivedDigest
	lastExchange     map[string]time.Time
	avoidedUntil     map[string]time.Time
	// failures counts consecutive failed exchanges by peer.
	failures map[string]int
	// delivered are the instances whose digest the policy holds.
	delivered      map[string]bool
	own            *lilacv1.Digest
	ownRequestedAt time.Time
	// fromParent is the digest of Others last received from the parent.
	fromParent      receivedDigest
	lastLive        []Peer
	reportedLeaving map[string]bool
	liveReported    bool
	// lastSummary is when the policy last received the digest of all others.
	lastSummary time.Time
	// announced holds the leaving servers and suspects known at the last urgent
	// exchange, which began at lastUrgent.
	announced  map[string]bool
	lastUrgent time.Time
	// higherRanked caches the instances of this data centre that rank above this
	// one.
	higherRanked []string
	// digestsChanged is true when the set of leaving servers may have changed,
	// peersChanged when the set of live peers may have.
	digestsChanged, peersChanged bool
	// urgentDeferred is true while an urgent exchange waits for minUrgentInterval.
	urgentDeferred bool
	validityState
	pushState
}

// NewCore returns the core of the entry instance self. seeds are the entry
// instances in its settings.
func NewCore(self Peer, seeds []Peer) *Core { return NewCoreAt(self, seeds, Interval) }

// NewCoreAt is like NewCore with a different mesh interval.
func NewCoreAt(self Peer, seeds []Peer, interval time.Duration) *Core {
	c := &Core{
		meshInterval:     interval,
		self:             self,
		peers:            make(map[string]Peer),
		listedLeaving:    make(map[string]bool),
		leavingInstances: make(map[string]bool),
		received:         make(map[string]receivedDigest),
		lastExchange:     make(map[string]time.Time),
		avoidedUntil:     make(map[string]time.Time),
		failures:         make(map[string]int),
		delivered:        make(map[string]bool),
		reportedLeaving:  make(map[string]bool),
		own:              &lilacv1.Digest{Instance: self.Name, DataCenter: self.DataCenter},
		validityState:    validityState{lastStamps: make(map[string]uint64), missing: make(map[string]missingInstance)},
		pushState:        pushState{lastSent: make(map[string]*lilacv1.Digest), lastPush: make(map[string]time.Time), lastPartial: make(map[string]bool), inFlight: make(map[string]time.Time)},
	}
	for _, peer := range seeds {
		if peer.Name != self.Name {
			c.peers[peer.Name] = peer
		}
	}
	c.updateRanks()
	return c
}

// updateRanks refreshes higherRanked.
func (c *Core) updateRanks() {
	c.higherRanked = HigherRanked(c.self.Name, c.names(c.self.DataCenter))
	c.peersChanged = true
}

// Tree reports whether there are enough entry instances to form a tree.
func (c *Core) Tree() bool { return len(c.peers)+1 > MeshLimit }

func (c *Core) interval() time.Duration {
	if c.Tree() {
		return TreeInterval
	}
	return c.meshInterval
}

func (c *Core) lifetime() time.Duration {
	if c.Tree() {
		return TreeLifetime
	}
	return Lifetime
}

// Step processes one event and returns the actions to perform, in order.
func (c *Core) Step(now time.Time, event Event) []Action {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	switch e := event.(type) {
	case PlatformList:
		c.applyPlatformList(now, e)
		return slices.Concat(c.reportServers(now), c.reportLive())
	case DigestReceived:
		c.lastPartial[e.From] = e.Digest.GetPartial()
		return c.receive(now, e.From, e.Digest)
	case ReplyReceived:
		delete(c.inFlight, e.Peer)
		return c.receive(now, e.Peer, e.Digest)
	case ExchangeFailed:
		c.exchangeFailed(now, e.Peer)
	case Tick:
		return c.tick(now, e)
	}
	return nil
}

// exchangeFailed makes the exchange due again. In a tree, the peer is avoided only
// from the second consecutive failure on: changing parents after one lost message
// would make the combined digests incomplete at all instances.
func (c *Core) exchangeFailed(now time.Time, peer string) {
	delete(c.lastExchange, peer)
	c.resetSent(peer)
	c.failures[peer]++
	if c.Tree() && c.failures[peer] < maxFailures {
		return
	}
	c.noteOrphans(now, peer)
	c.avoidedUntil[peer] = now.Add(avoidPeriod)
	c.peersChanged = true
}

// applyPlatformList adds the listed instances as candidates, and removes those that
// are neither listed nor heard from.
func (c *Core) applyPlatformList(now time.Time, e PlatformList) {
	entries := make(map[string]bool)
	for _, peer := range e.Entries {
		entries[peer.Name] = true
		if peer.Name != c.self.Name {
			c.peers[peer.Name] = peer
		}
	}
	for name := range c.peers {
		if len(entries) > 0 && !entries[name] && !c.isFresh(now, name) {
			delete(c.peers, name)
		}
	}
	c.updateRanks()
	c.digestsChanged = true
	clear(c.leavingInstances)
	for _, name := range e.Leaving {
		c.leavingInstances[name] = true
	}
	clear(c.listedLeaving)
	for _, server := range e.Servers {
		if server.Leaving {
			c.listedLeaving[server.Name] = true
		}
	}
}

func (c *Core) isFresh(now time.Time, name string) bool {
	r, ok := c.received[name]
	return ok && now.Sub(r.receivedAt) <= c.lifetime()
}

// receive handles a digest. In a tree, the digest of Others is accepted from the
// parent only.
func (c *Core) receive(now time.Time, from string, d *lilacv1.Digest) []Action {
	c.noteStamp(from, d)
	delete(c.failures, from)
	next := receivedDigest{d, from, now, c.composedAfter(now, d)}
	if c.Tree() && d.GetInstance() == Others {
		if from != c.parent() {
			return nil
		}
		next, ok := c.fromParent.merge(next)
		if !ok {
			return nil
		}
		c.notePush(c.fromParent.digest, next.digest)
		c.fromParent = next
		c.digestsChanged = true
		return c.reportServers(now)
	}
	return c.receiveFromInstance(now, next)
}

func (c *Core) receiveFromInstance(now time.Time, next receivedDigest) []Action {
	name := next.digest.GetInstance()
	if name == "" || name == c.self.Name || name == Others {
		return nil
	}
	previous, known := c.received[name]
	next, ok := previous.merge(next)
	if !ok {
		return nil
	}
	d := next.digest
	sameIncarnation := known && previous.digest.GetIncarnation() == d.GetIncarnation()
	if sameIncarnation && d.GetSequence() < previous.digest.GetSequence() {
		// The digests arrived out of order.
		return nil
	}
	c.notePush(previous.digest, d)
	c.received[name] = next
	delete(c.missing, name)
	if _, avoided := c.avoidedUntil[name]; avoided || previous.digest.GetLeaving() != d.GetLeaving() {
		c.peersChanged = true
	}
	delete(c.avoidedUntil, name)
	c.digestsChanged = true
	var actions []Action
	if !c.Tree() {
		c.delivered[name] = true
		actions = append(actions, PolicyDigest{c.forPolicy(now, d, next), now})
	}
	return slices.Concat(actions, c.reportServers(now), c.reportLive())
}

func (c *Core) tick(now time.Time, e Tick) []Action {
	if e.Own != nil {
		c.notePush(c.own, e.Own)
		c.own, c.ownRequestedAt = e.Own, e.RequestedAt
		if e.RequestedAt.IsZero() {
			c.ownRequestedAt = now
		}
		c.digestsChanged = true
	}
	actions := slices.Concat(c.expire(now), c.dropOtherTopology(), c.exchanges(now), c.summary(now), c.reportServers(now), c.reportLive())
	c.digestsChanged = c.urgentDeferred
	c.pushPending = c.pushDeferred
	return actions
}

// dropOtherTopology withdraws the digests that the policy received in the other
// topology (mesh or tree).
func (c *Core) dropOtherTopology() []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(c.delivered)) {
		if c.Tree() != (name == Others) {
			delete(c.delivered, name)
			actions = append(actions, DigestExpired{name})
		}
	}
	return actions
}

// summary delivers the digest of all others to the policy in a tree: once per
// interval, and at once if it is more restrictive.
func (c *Core) summary(now time.Time) []Action {
	due := now.Sub(c.lastSummary) >= c.interval()
	if !c.Tree() || !due && !c.pushPending {
		return nil
	}
	sum := c.othersDigest(now, "")
	if !due && !moreRestrictive(c.lastSent[Others], sum) {
		return nil
	}
	c.lastSummary, c.lastSent[Others] = now, sum
	c.delivered[Others] = true
	return []Action{PolicyDigest{c.forPolicy(now, sum, receivedDigest{}), now}}
}

// expire removes digests older than their lifetime.
func (c *Core) expire(now time.Time) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(c.received)) {
		if c.isFresh(now, name) {
			continue
		}
		c.noteMissing(now, name)
		delete(c.received, name)
		delete(c.lastSent, name)
		c.digestsChanged = true
		if c.delivered[name] {
			delete(c.delivered, name)
			actions = append(actions, DigestExpired{name})
		}
	}
	for name, until := range c.avoidedUntil {
		if !now.Before(until) {
			delete(c.avoidedUntil, name)
			c.peersChanged = true
		}
	}
	if c.fromParent.digest != nil && now.Sub(c.fromParent.receivedAt) > c.lifetime() {
		c.fromParent = receivedDigest{}
		c.digestsChanged = true
	}
	c.expireMissing(now)
	return actions
}

// reportLive returns the live peers if they have changed. Until first exchanges can
// have been answered, all candidates are considered alive.
func (c *Core) reportLive() []Action {
	if !c.peersChanged {
		return nil
	}
	c.peersChanged = false
	var list []Peer
	for _, name := range slices.Sorted(maps.Keys(c.peers)) {
		_, avoided := c.avoidedUntil[name]
		if !avoided && !c.leavingInstances[name] && !c.received[name].digest.GetLeaving() {
			list = append(list, c.peers[name])
		}
	}
	if c.liveReported && slices.Equal(list, c.lastLive) {
		return nil
	}
	c.lastLive, c.liveReported = list, true
	return []Action{LivePeers{list}}
}

func comparePeers(a, b Peer) int {
	return cmp.Or(CompareRank(a.Name, b.Name), cmp.Compare(a.Address, b.Address))
}
