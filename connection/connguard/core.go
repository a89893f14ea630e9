// Package connguard bounds what the clients of a server cost before their requests are read: the
// number of their connections, and the memory and the time that the heads of their requests take.
//
// Core decides; it has no locks, clocks or goroutines. Guard is the shell around it.
package connguard

import "container/list"

// Limits bound the connections of the servers that share a Core.
type Limits struct {
	// Connections is how many may be open at the same time.
	Connections int
	// HeadBytes is how much memory the heads that are being read may take, in bytes; see Cost.
	HeadBytes int64
}

const (
	// costPerLine and costPerByte are what a head takes once it is parsed: the entry of the line in
	// the table of the header with its strings, and copies of the bytes.
	costPerLine = 192
	costPerByte = 3
	// crowdDivisor is the part of the connections from which on further ones count as a crowd, minCrowd
	// the least number.
	crowdDivisor = 8
	minCrowd     = maxInternalConnections
	// closingDivisor is the part of the connections that may be open beyond the limit while others
	// are closing.
	closingDivisor = 8
)

// Cost returns the memory that so many bytes and lines of a head take once they are parsed, in
// bytes.
func Cost(bytes, lines int) int64 { return int64(bytes)*costPerByte + int64(lines)*costPerLine }

// Member is one connection in the account of a Core.
type Member struct {
	owner *owner
	// place is the connection in list; both are nil while a request of it is handled.
	place *list.Element
	list  *list.List
	// since orders connections by when they were put into a list.
	since uint64
	// head is what the head of its request takes.
	head int64
	// evicted is set once the connection has to close.
	evicted, closed bool
	// onEvict closes the connection; set by the shell.
	onEvict func()
}

// owner is a host with its connections.
type owner struct {
	host string
	// idle are the connections that have received nothing of a request, partial those that have
	// received a part of a head. The one that has been so for the longest time is the first.
	idle, partial list.List
	// members is the number of its connections, heads what all their heads take.
	members int
	heads   int64
}

// Stats are the present state and the counts of a Core.
type Stats struct {
	// Connections is the number of connections, HeadBytes what their heads take.
	Connections int
	HeadBytes   int64
	// Refused counts connections and heads without room, Evicted those that made room for others.
	Refused, Evicted uint64
}

// Core is the account of the connections of some servers.
type Core struct {
	limits Limits
	owners map[string]*owner
	stats  Stats
	// closing is the number of evicted connections that are not closed yet.
	closing int
	placed  uint64
}

// NewCore returns a Core without connections.
func NewCore(limits Limits) *Core { return &Core{limits: limits, owners: make(map[string]*owner)} }

// Stats returns the present state and the counts.
func (c *Core) Stats() Stats { return c.stats }

// Crowded reports whether so many connections are open that what the kernel holds for each matters.
func (c *Core) Crowded() bool {
	return c.stats.Connections > max(c.limits.Connections/crowdDivisor, minCrowd)
}

// Roomy reports whether there is room for some more connections and heads.
func (c *Core) Roomy() bool {
	return c.stats.Connections < c.limits.Connections-c.limits.Connections/closingDivisor && c.stats.HeadBytes <= c.limits.HeadBytes/2
}

// Open adds a connection of a host. If there are too many, evicted is the one that must close. m is
// nil if there is none, as all have requests that were read, or if too many are closing.
func (c *Core) Open(host string) (m, evicted *Member) {
	if c.stats.Connections > c.limits.Connections+c.limits.Connections/closingDivisor {
		c.stats.Refused++
		return nil, nil
	}
	if c.stats.Connections-c.closing >= c.limits.Connections {
		if evicted = c.idlest(); evicted == nil {
			c.stats.Refused++
			return nil, nil
		}
		c.evict(evicted)
	}
	o := c.owners[host]
	if o == nil {
		o = &owner{host: host}
		c.owners[host] = o
	}
	o.members++
	c.stats.Connections++
	m = &Member{owner: o}
	c.put(m, &o.idle)
	return m, evicted
}

// Charge adds to what the head of the connection takes. It returns the connections that must close
// for it, and false if there is no room: the connection must close itself.
func (c *Core) Charge(m *Member, bytes int64) (ok bool, evicted []*Member) {
	if m.evicted {
		return false, nil
	}
	if m.list == &m.owner.idle {
		c.unlist(m)
		c.put(m, &m.owner.partial)
	}
	c.addHead(m, bytes)
	for c.stats.HeadBytes > c.limits.HeadBytes {
		victim := c.costliest()
		if victim == nil || victim == m {
			c.stats.Refused++
			c.drop(m)
			return false, evicted
		}
		c.evict(victim)
		evicted = append(evicted, victim)
	}
	return true, evicted
}

// Begin records that the head of a request is complete and its handler runs: the connection can no
// longer be evicted. It returns false if that has been decided before.
func (c *Core) Begin(m *Member) bool {
	if m.evicted {
		return false
	}
	c.unlist(m)
	return true
}

// Release records that the head is accounted for elsewhere.
func (c *Core) Release(m *Member) { c.addHead(m, -m.head) }

// End records that the request was handled and the connection waits for the next one.
func (c *Core) End(m *Member) {
	c.Release(m)
	c.unlist(m)
	if !m.closed && !m.evicted {
		c.put(m, &m.owner.idle)
	}
}

// Close removes the connection.
func (c *Core) Close(m *Member) {
	if m.closed {
		return
	}
	m.closed = true
	if m.evicted {
		c.closing--
	}
	c.unlist(m)
	c.Release(m)
	c.stats.Connections--
	if m.owner.members--; m.owner.members == 0 {
		delete(c.owners, m.owner.host)
	}
}

func (c *Core) addHead(m *Member, bytes int64) {
	m.head += bytes
	m.owner.heads += bytes
	c.stats.HeadBytes += bytes
}

func (c *Core) put(m *Member, l *list.List) {
	c.placed++
	m.since, m.list, m.place = c.placed, l, l.PushBack(m)
}

func (c *Core) unlist(m *Member) {
	if m.list != nil {
		m.list.Remove(m.place)
		m.list, m.place = nil, nil
	}
}

func (c *Core) evict(m *Member) {
	c.stats.Evicted++
	c.drop(m)
}

// drop takes a connection that must close out of the account of heads and from its list. Its
// descriptor counts until it is closed.
func (c *Core) drop(m *Member) {
	m.evicted = true
	c.closing++
	c.unlist(m)
	c.Release(m)
}

// idlest returns the connection that makes room for another one: of the owner with most connections
// whose request was not read, the one without a request for the longest time. It is nil if there is
// none.
func (c *Core) idlest() *Member {
	most := c.owner(func(o *owner) int64 { return int64(o.idle.Len() + o.partial.Len()) })
	if most == nil {
		return nil
	}
	idle, partial := front(&most.idle), front(&most.partial)
	if idle == nil || partial != nil && partial.since < idle.since {
		return partial
	}
	return idle
}

// costliest returns the connection that makes room for a head: of the owner whose heads take most,
// the one whose head has been incomplete for the longest time. It is nil if there is none.
func (c *Core) costliest() *Member {
	most := c.owner(func(o *owner) int64 {
		if o.partial.Len() == 0 {
			return 0
		}
		return o.heads
	})
	if most == nil {
		return nil
	}
	return front(&most.partial)
}

// owner returns the owner with the highest use, nil if none has any.
func (c *Core) owner(use func(*owner) int64) *owner {
	var most *owner
	for _, o := range c.owners {
		if use(o) == 0 {
			continue
		}
		if most == nil || use(o) > use(most) || use(o) == use(most) && o.host < most.host {
			most = o
		}
	}
	return most
}

func front(l *list.List) *Member {
	if first := l.Front(); first != nil {
		return first.Value.(*Member)
	}
	return nil
}
