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
	// urgentPause is the least time between two urgent exchanges.
	urgentPause = 500 * time.Millisecond
)

// Others is the instance's name in a combined digest of all others.
const Others = "*others"

// Peer is another entry instance.
type Peer struct{ Name, Address, DataCenter string }

// Listed is a backend server as the platform's list has it.
type Listed struct {
	Name    string
	Leaving bool
}

// Event is something that happened; see the types below.
type Event interface{ event() }

// Platform brings a fresh copy of the platform's list.
type Platform struct {
	Entries []Peer
	// Leaving names entries that the platform is about to take away.
	Leaving []string
	Servers []Listed
}

// Received is a digest that the peer From sent; the shell answers with Reply.
type Received struct {
	From   string
	Digest *lilacv1.Digest
}

// Answered is the answer to an Exchange.
type Answered struct {
	Peer   string
	Digest *lilacv1.Digest
}

// Failed tells that an Exchange had no answer.
type Failed struct{ Peer string }

// Tick lets time pass; the shell sends one each TickInterval. Own is the own
// digest where it is newer than the last one given, else nil.
type Tick struct{ Own *lilacv1.Digest }

// TickInterval is how often the shell sends a Tick.
const TickInterval = 100 * time.Millisecond

func (Platform) event() {}
func (Received) event() {}
func (Answered) event() {}
func (Failed) event()   {}
func (Tick) event()     {}

// Action is something the shell must do; see the types below.
type Action interface{ action() }

// Exchange tells the shell to send the digest to the peer.
type Exchange struct {
	Peer   Peer
	Digest *lilacv1.Digest
}

// Digest is to be given to the policy: a peer's, or a combined one of Others.
type Digest struct{ Digest *lilacv1.Digest }

// Gone tells that a peer whose digest was given is no longer heard.
type Gone struct{ Instance string }

// Server tells that a backend server began or ended to be leaving, by the list
// or by a peer's word.
type Server struct {
	Name    string
	Leaving bool
}

// Live names the entries of all data centres to be taken for alive.
type Live struct{ Peers []Peer }

func (Exchange) action() {}
func (Digest) action()   {}
func (Gone) action()     {}
func (Server) action()   {}
func (Live) action()     {}

// heard is the last digest of a peer.
type heard struct {
	digest *lilacv1.Digest
	at     time.Time
}

// Core is the membership of one entry. Calls must not overlap.
type Core struct {
	self Peer
	// peers are the entries that may be tried, without the own one.
	peers     map[string]Peer
	listed    map[string]bool
	leaving   map[string]bool
	heard     map[string]heard
	asked     map[string]time.Time
	avoided   map[string]time.Time
	told      map[string]bool
	own       *lilacv1.Digest
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
}

// NewCore returns the core of the entry self; seeds are the entries of its settings.
func NewCore(self Peer, seeds []Peer) *Core {
	c := &Core{
		self:      self,
		peers:     make(map[string]Peer),
		listed:    make(map[string]bool),
		leaving:   make(map[string]bool),
		heard:     make(map[string]heard),
		asked:     make(map[string]time.Time),
		avoided:   make(map[string]time.Time),
		told:      make(map[string]bool),
		toldLeave: make(map[string]bool),
		own:       &lilacv1.Digest{Instance: self.Name, DataCenter: self.DataCenter},
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
	c.above = Above(c.self.Name, c.names(c.self.DataCenter))
	c.peersChanged = true
}

// Tree tells whether the entries are so many that they form a tree.
func (c *Core) Tree() bool { return len(c.peers)+1 > MeshLimit }

func (c *Core) interval() time.Duration {
	if c.Tree() {
		return TreeInterval
	}
	return Interval
}

func (c *Core) lifetime() time.Duration {
	if c.Tree() {
		return TreeLifetime
	}
	return Lifetime
}

// Step takes one event and returns what to do, in order.
func (c *Core) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Platform:
		c.platform(now, e)
		return slices.Concat(c.servers(now), c.alive())
	case Received:
		return c.take(now, e.From, e.Digest)
	case Answered:
		return c.take(now, e.Peer, e.Digest)
	case Failed:
		c.avoided[e.Peer] = now.Add(avoidance)
		delete(c.asked, e.Peer)
		c.peersChanged = true
	case Tick:
		return c.tick(now, e)
	}
	return nil
}

// platform takes the list as a hint: it adds entries to try, and drops those
// that it no longer names and that are silent too.
func (c *Core) platform(now time.Time, e Platform) {
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
	if c.Tree() && d.GetInstance() == Others {
		if from != c.parent() {
			return nil
		}
		c.down = heard{d, now}
		c.heardNews = true
		return c.servers(now)
	}
	return c.hear(now, d)
}

func (c *Core) hear(now time.Time, d *lilacv1.Digest) []Action {
	name := d.GetInstance()
	if name == "" || name == c.self.Name || name == Others {
		return nil
	}
	old, known := c.heard[name]
	sameLife := known && old.digest.GetIncarnation() == d.GetIncarnation()
	if sameLife && d.GetSequence() < old.digest.GetSequence() {
		// An older digest that was overtaken on the way.
		return nil
	}
	c.heard[name] = heard{d, now}
	if _, avoided := c.avoided[name]; avoided || old.digest.GetLeaving() != d.GetLeaving() {
		c.peersChanged = true
	}
	delete(c.avoided, name)
	c.heardNews = true
	var actions []Action
	if !c.Tree() {
		c.told[name] = true
		actions = append(actions, Digest{d})
	}
	return slices.Concat(actions, c.servers(now), c.alive())
}

func (c *Core) tick(now time.Time, e Tick) []Action {
	if e.Own != nil {
		c.own = e.Own
		c.heardNews = true
	}
	actions := c.forget(now)
	actions = append(actions, c.exchanges(now)...)
	if c.Tree() && now.Sub(c.summed) >= c.interval() {
		c.summed = now
		actions = append(actions, Digest{c.others(now, "")})
	}
	actions = slices.Concat(actions, c.servers(now), c.alive())
	c.heardNews = c.postponed
	return actions
}

// exchanges returns those that are due, and all at once when there is news.
func (c *Core) exchanges(now time.Time) []Action {
	urgent := c.heardNews && c.urgent(now)
	var actions []Action
	for _, peer := range c.partners(now) {
		last, asked := c.asked[peer.Name]
		if asked && !urgent && now.Sub(last) < c.interval() {
			continue
		}
		c.asked[peer.Name] = now
		actions = append(actions, Exchange{Peer: peer, Digest: c.outgoing(now)})
	}
	if !urgent {
		return actions
	}
	for _, peer := range c.listeners(now) {
		actions = append(actions, Exchange{Peer: peer, Digest: c.Reply(now, peer.Name)})
	}
	return actions
}

// forget drops what has not been heard for its lifetime.
func (c *Core) forget(now time.Time) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(c.heard)) {
		if c.fresh(now, name) {
			continue
		}
		delete(c.heard, name)
		c.heardNews = true
		if c.told[name] {
			delete(c.told, name)
			actions = append(actions, Gone{name})
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
		actions = append(actions, Gone{Others})
	}
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
	return []Action{Live{list}}
}

func comparePeers(a, b Peer) int {
	return cmp.Or(CompareRank(a.Name, b.Name), cmp.Compare(a.Address, b.Address))
}
