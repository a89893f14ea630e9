package policy

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	// defaultSlots is how many requests a server runs at once if it doesn't say.
	defaultSlots = 8
	// minBusy is how long a server that refused for load gets nothing, at least.
	minBusy = 100 * time.Millisecond
	// ejectFor is how long a crashed server gets nothing.
	ejectFor = 2 * time.Second
)

// server is a backend server as this instance sees it.
type server struct {
	name         string
	dataCenter   string
	slots        int
	inFlight     int
	reported     int
	leaving      bool
	gone         bool
	ejectedUntil time.Time
	busyUntil    time.Time
}

func (s *server) open(now time.Time) bool {
	if s.leaving || s.gone || now.Before(s.ejectedUntil) || now.Before(s.busyUntil) {
		return false
	}
	return s.inFlight < s.slots
}

func (s *server) load() int { return max(s.inFlight, s.reported) }

func (s *server) eject(now time.Time) { s.ejectedUntil = now.Add(ejectFor) }

func (c *core) loadReport(_ time.Time, e LoadReport) {
	if s := c.servers[e.Server]; s != nil {
		s.reported = e.Running + e.Waiting
	}
}

func (c *core) serverState(now time.Time, e ServerState) {
	s := c.servers[e.Server]
	if s == nil {
		return
	}
	s.leaving, s.gone = e.Leaving, e.Gone
	for _, p := range c.poolsInOrder() {
		c.dispatch(now, p)
	}
}

// configure brings a revision into force; requests that run go on.
func (c *core) configure(now time.Time, view *model.View) {
	c.view = view
	for name, s := range view.Servers {
		c.configureServer(name, s)
	}
	for name, s := range c.servers {
		if view.Servers[name] == nil {
			s.leaving = true
		}
	}
	for name, members := range view.Pools {
		p := c.pools[name]
		if p == nil {
			p = &pool{name: name}
			c.pools[name] = p
		}
		p.servers = p.servers[:0]
		for _, member := range members {
			p.servers = append(p.servers, c.servers[member.GetName()])
		}
	}
	for _, p := range c.poolsInOrder() {
		c.dispatch(now, p)
	}
}

func (c *core) configureServer(name string, configured *lilacv1.Server) {
	s := c.servers[name]
	if s == nil {
		s = &server{name: name}
		c.servers[name] = s
	}
	s.dataCenter = configured.GetDataCenter()
	s.slots = int(configured.GetSlots())
	if s.slots == 0 {
		s.slots = defaultSlots
	}
	s.leaving = configured.GetDraining()
}

func (c *core) poolsInOrder() []*pool {
	names := make([]string, 0, len(c.pools))
	for name := range c.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	ordered := make([]*pool, 0, len(names))
	for _, name := range names {
		ordered = append(ordered, c.pools[name])
	}
	return ordered
}
