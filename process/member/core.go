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
	avoidance = 10 * time.Second
	// failuresToLeave is how many exchanges in a row must fail for a parent to be
	// given up in a tree.
	failuresToLeave = 2
	// urgentPause is the least time between two urgent exchanges.
	urgentPause = 500 * time.Millisecond
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
type heard struct {
	digest *lilacv1.Digest
	from   string
	at     time.Time
	// since is a time, by the own clock, after which it was composed; zero
	// means that none is known.
	since time.Time
}

// Core is the membership of one entry. Calls must not overlap.
type Core struct {
	self Peer
	// mesh is the interval between two exchanges of few entries.
	mesh time.Duration
	// peers are the entries that may be tried, without the own one.
	peers   map[string]Peer
	listed  map[string]bool
	leaving map[string]bool
	heard   map[string]heard
	asked   map[string]time.Time
	avoided map[string]time.Time
	// failures counts the exchanges with each peer that failed in a row.
	failures  map[string]int
	told      map[string]bool
	own       *lilacv1.Digest
	ownAt     time.Time
	down      heard
	live      []Peer
	toldLeave map[string]bool
	started   bool
	// summed is when the policy was last given the digest of all others.
	summed time.Time
	// news holds what was known of leaving servers and suspects at the last
	// urgent exchange, at pushed.
	news   map[string]bool
	pushed time.Time
	// above caches the own data centre's entries of a better rank.
	above []string
	// heardNews is true when digests or the list may have changed what is
	// leaving, peersChanged when they may have changed who lives.
	heardNews, peersChanged bool
	// postponed is true while news waits for urgentPause.
	postponed bool
	promises
	pushes
}

// NewCore returns the core of the entry self; seeds are the entries of its settings.
func NewCore(self Peer, seeds []Peer) *Core { return NewCoreAt(self, seeds, Interval) }

// NewCoreAt is NewCore with another interval for few entries.
func NewCoreAt(self Peer, seeds []Peer, interval time.Duration) *Core {
	c := &Core{
		mesh:      interval,
		self:      self,
		peers:     make(map[string]Peer),
		listed:    make(map[string]bool),
		leaving:   make(map[string]bool),
		heard:     make(map[string]heard),
		asked:     make(map[string]time.Time),
		avoided:   make(map[string]time.Time),
		failures:  make(map[string]int),
		told:      make(map[string]bool),
		toldLeave: make(map[string]bool),
		own:       &lilacv1.Digest{Instance: self.Name, DataCenter: self.DataCenter},
		promises:  promises{stamps: make(map[string]uint64), missing: make(map[string]absence)},
		pushes:    pushes{said: make(map[string]*lilacv1.Digest), pushedTo: make(map[string]time.Time), brief: make(map[string]bool), open: make(map[string]time.Time)},
	}
	for _, peer := range seeds {
		if peer.Name != self.Name {
			c.peers[peer.Name] = peer
		}
	}
	c.ranked()
	return c
}

// ranked brings the cache of ranks up to date.
func (c *Core) ranked() {
	c.above = HigherRanked(c.self.Name, c.names(c.self.DataCenter))
	c.peersChanged = true
}

// Tree tells whether the entries are so many that they form a tree.
func (c *Core) Tree() bool { return len(c.peers)+1 > MeshLimit }

func (c *Core) interval() time.Duration {
	if c.Tree() {
		return TreeInterval
	}
	return c.mesh
}

func (c *Core) lifetime() time.Duration {
	if c.Tree() {
		return TreeLifetime
	}
	return Lifetime
}

// Step takes one event and returns what to do, in order.
func (c *Core) Step(now time.Time, event Event) []Action {
	if c.born.IsZero() {
		c.born = now
	}
	switch e := event.(type) {
	case PlatformList:
		c.platform(now, e)
		return slices.Concat(c.servers(now), c.alive())
	case DigestReceived:
		c.brief[e.From] = e.Digest.GetPartial()
		return c.take(now, e.From, e.Digest)
	case ReplyReceived:
		delete(c.open, e.Peer)
		return c.take(now, e.Peer, e.Digest)
	case ExchangeFailed:
		c.failed(now, e.Peer)
	case Tick:
		return c.tick(now, e)
	}
	return nil
}

// failed has the exchange made again, and passes the peer over from the second
// failure in a row on in a tree: who changes its parent for one lost message
// makes the sums incomplete at all entries.
func (c *Core) failed(now time.Time, peer string) {
	delete(c.asked, peer)
	c.unsaid(peer)
	c.failures[peer]++
	if c.Tree() && c.failures[peer] < failuresToLeave {
		return
	}
	c.orphans(now, peer)
	c.avoided[peer] = now.Add(avoidance)
	c.peersChanged = true
}

// platform takes the list as a hint: it adds entries to try, and drops those
// that it no longer names and that are silent too.
func (c *Core) platform(now time.Time, e PlatformList) {
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
	c.ranked()
	c.heardNews = true
	clear(c.leaving)
	for _, name := range e.Leaving {
		c.leaving[name] = true
	}
	clear(c.listed)
	for _, server := range e.Servers {
		if server.Leaving {
			c.listed[server.Name] = true
		}
	}
}

func (c *Core) fresh(now time.Time, name string) bool {
	h, ok := c.heard[name]
	return ok && now.Sub(h.at) <= c.lifetime()
}

// take tells what comes down from the parent in a tree from the digests of others.
func (c *Core) take(now time.Time, from string, d *lilacv1.Digest) []Action {
	c.noteStamp(from, d)
	delete(c.failures, from)
	word := heard{d, from, now, c.composedAfter(now, d)}
	if c.Tree() && d.GetInstance() == Others {
		if from != c.parent() {
			return nil
		}
		word, ok := c.down.with(word)
		if !ok {
			return nil
		}
		c.notePressing(c.down.digest, word.digest)
		c.down = word
		c.heardNews = true
		return c.servers(now)
	}
	return c.hear(now, word)
}

func (c *Core) hear(now time.Time, word heard) []Action {
	name := word.digest.GetInstance()
	if name == "" || name == c.self.Name || name == Others {
		return nil
	}
	old, known := c.heard[name]
	word, ok := old.with(word)
	if !ok {
		return nil
	}
	d := word.digest
	sameLife := known && old.digest.GetIncarnation() == d.GetIncarnation()
	if sameLife && d.GetSequence() < old.digest.GetSequence() {
		// An older digest that was overtaken on the way.
		return nil
	}
	c.notePressing(old.digest, d)
	c.heard[name] = word
	delete(c.missing, name)
	if _, avoided := c.avoided[name]; avoided || old.digest.GetLeaving() != d.GetLeaving() {
		c.peersChanged = true
	}
	delete(c.avoided, name)
	c.heardNews = true
	var actions []Action
	if !c.Tree() {
		c.told[name] = true
		actions = append(actions, PolicyDigest{c.given(now, d, word), now})
	}
	return slices.Concat(actions, c.servers(now), c.alive())
}

func (c *Core) tick(now time.Time, e Tick) []Action {
	if e.Own != nil {
		c.notePressing(c.own, e.Own)
		c.own, c.ownAt = e.Own, e.RequestedAt
		if e.RequestedAt.IsZero() {
			c.ownAt = now
		}
		c.heardNews = true
	}
	actions := slices.Concat(c.forget(now), c.regroup(), c.exchanges(now), c.summary(now), c.servers(now), c.alive())
	c.heardNews = c.postponed
	c.pressed = c.held
	return actions
}

// regroup ends what the policy was told while the entries exchanged otherwise.
func (c *Core) regroup() []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(c.told)) {
		if c.Tree() != (name == Others) {
			delete(c.told, name)
			actions = append(actions, DigestExpired{name})
		}
	}
	return actions
}

// summary gives the policy the digest of all others in a tree, each interval
// and as soon as it is pressing.
func (c *Core) summary(now time.Time) []Action {
	due := now.Sub(c.summed) >= c.interval()
	if !c.Tree() || !due && !c.pressed {
		return nil
	}
	sum := c.others(now, "")
	if !due && !pressing(c.said[Others], sum) {
		return nil
	}
	c.summed, c.said[Others] = now, sum
	c.told[Others] = true
	return []Action{PolicyDigest{c.given(now, sum, heard{}), now}}
}

// forget drops what has not been heard for its lifetime.
func (c *Core) forget(now time.Time) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(c.heard)) {
		if c.fresh(now, name) {
			continue
		}
		c.miss(now, name)
		delete(c.heard, name)
		delete(c.said, name)
		c.heardNews = true
		if c.told[name] {
			delete(c.told, name)
			actions = append(actions, DigestExpired{name})
		}
	}
	for name, until := range c.avoided {
		if !now.Before(until) {
			delete(c.avoided, name)
			c.peersChanged = true
		}
	}
	if c.down.digest != nil && now.Sub(c.down.at) > c.lifetime() {
		c.down = heard{}
		c.heardNews = true
	}
	c.giveUp(now)
	return actions
}

// alive tells of the entries that count as alive, when they change. Before the
// first exchanges had time to be answered all candidates do.
func (c *Core) alive() []Action {
	if !c.peersChanged {
		return nil
	}
	c.peersChanged = false
	var list []Peer
	for _, name := range slices.Sorted(maps.Keys(c.peers)) {
		_, avoided := c.avoided[name]
		if !avoided && !c.leaving[name] && !c.heard[name].digest.GetLeaving() {
			list = append(list, c.peers[name])
		}
	}
	if c.started && slices.Equal(list, c.live) {
		return nil
	}
	c.live, c.started = list, true
	return []Action{LivePeers{list}}
}

func comparePeers(a, b Peer) int {
	return cmp.Or(CompareRank(a.Name, b.Name), cmp.Compare(a.Address, b.Address))
}
