// Package member decides which other entries and backend servers are alive or
// leaving, and with whom an entry exchanges digests.
//
// Few entries (up to MeshLimit) exchange their digests directly, each pair once
// an interval. Many form a tree by rank in each data centre: digests are
// combined on the way up, the relays of the data centres exchange the sums, and
// what the others know comes down again with the answers. So the traffic of a
// node does not grow with their number.
//
// Only the local monotonic clock counts: whoever was not heard for Lifetime is
// gone, whatever the platform's list says. The list is late, so it is a hint: it
// names whom to try, and who or what is leaving.
package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	// Interval lies between two exchanges with the same peer.
	Interval = time.Second
	// TreeInterval is Interval where the entries form a tree.
	TreeInterval = 1500 * time.Millisecond
	// Lifetime is how long a digest counts after it was heard.
	Lifetime = 3 * time.Second
	// TreeLifetime is Lifetime where the entries form a tree.
	TreeLifetime = 4500 * time.Millisecond
	// MeshLimit is the number of entries up to which all exchange directly.
	MeshLimit = 10
	// Fanout of the tree of digests.
	Fanout = 5
	// avoidance is how long a failed parent or relay is passed over.
	avoidPeriod = 10 * time.Second
	// failuresToLeave is how many exchanges in a row must fail for a parent to be
	// given up in a tree.
	maxFailures = 2
	// urgentPause is the least time between two urgent exchanges.
	minUrgentInterval = 500 * time.Millisecond
)

// Others is the instance's name in a combined digest of all others.
const Others = "*others"

// Peer is another entry instance.
type Peer struct{ Name, Address, DataCenter string }

// Listed is a backend server as the platform's list has it.
type ListedServer struct {
	Name    string
	Leaving bool
}

// heard is the last digest of a peer, as it came from one.
type receivedDigest struct {
	digest     *lilacv1.Digest
	sender     string
	receivedAt time.Time
	// since is a time, by the own clock, after which it was composed; zero
	// means that none is known.
	composedAfter time.Time
}

// Core is the membership of one entry. Calls must not overlap.
type Core struct {
	self Peer
	// mesh is the interval between two exchanges of few entries.
	meshInterval time.Duration
	// peers are the entries that may be tried, without the own one.
	peers            map[string]Peer
	listedLeaving    map[string]bool
	leavingInstances map[string]bool
	received         map[string]receivedDigest
	lastExchange     map[string]time.Time
	avoidedUntil     map[string]time.Time
	// failures counts the exchanges with each peer that failed in a row.
	failures        map[string]int
	delivered       map[string]bool
	own             *lilacv1.Digest
	ownRequestedAt  time.Time
	fromParent      receivedDigest
	lastLive        []Peer
	reportedLeaving map[string]bool
	liveReported    bool
	// summed is when the policy was last given the digest of all others.
	lastSummary time.Time
	// news holds what was known of leaving servers and suspects at the last
	// urgent exchange, at pushed.
	announced  map[string]bool
	lastUrgent time.Time
	// above caches the own data centre's entries of a better rank.
	higherRanked []string
	// heardNews is true when digests or the list may have changed what is
	// leaving, peersChanged when they may have changed who lives.
	digestsChanged, peersChanged bool
	// postponed is true while news waits for urgentPause.
	urgentDeferred bool
	validityState
	pushState
}

// NewCore returns the core of the entry self; seeds are the entries of its settings.
func NewCore(self Peer, seeds []Peer) *Core { return NewCoreAt(self, seeds, Interval) }

// NewCoreAt is NewCore with another interval for few entries.
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

// ranked brings the cache of ranks up to date.
func (c *Core) updateRanks() {
	c.higherRanked = HigherRanked(c.self.Name, c.names(c.self.DataCenter))
	c.peersChanged = true
}

// Tree tells whether the entries are so many that they form a tree.
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

// Step takes one event and returns what to do, in order.
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

// failed has the exchange made again, and passes the peer over from the second
// failure in a row on in a tree: who changes its parent for one lost message
// makes the sums incomplete at all entries.
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

// platform takes the list as a hint: it adds entries to try, and drops those
// that it no longer names and that are silent too.
func (c *Core) applyPlatformList(now time.Time, e PlatformList) {
	entries := make(map[string]bool)
	for _, peer := range e.Entries {
		entries[peer.Name] = true
		if peer.Name != c.self.Name {
			c.peers[peer.Name] = peer
		}
	}
	for name := range c.peers {
		if len(entries) > 0 && !entries[name] && !c.fresh(now, name) {
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

func (c *Core) fresh(now time.Time, name string) bool {
	h, ok := c.received[name]
	return ok && now.Sub(h.receivedAt) <= c.lifetime()
}

// take tells what comes down from the parent in a tree from the digests of others.
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
		// An older digest that was overtaken on the way.
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

// regroup ends what the policy was told while the entries exchanged otherwise.
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

// summary gives the policy the digest of all others in a tree, each interval
// and as soon as it is pressing.
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

// forget drops what has not been heard for its lifetime.
func (c *Core) expire(now time.Time) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(c.received)) {
		if c.fresh(now, name) {
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

// alive tells of the entries that count as alive, when they change. Before the
// first exchanges had time to be answered all candidates do.
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
