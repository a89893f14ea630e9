package policy

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/request/choose"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// configure puts a revision into force; running requests continue.
func (c *core) configure(now time.Time, view *model.View) {
	old := c.view
	c.view = view
	for digest := range old.Convictions {
		if view.Convictions[digest] == nil {
			c.suspects.Clear(digest, now)
		}
	}
	for digest := range view.Convictions {
		if old.Convictions[digest] == nil {
			c.refuseConvicted(now)
			break
		}
	}
	c.updateTeamWeights()
	c.configureServers(now, view)
	c.shareBlocks()
	c.configurePools(now, view)
	c.configureParts(now, old, view)
	c.shareRetries(now)
	c.endWithoutVersion(now)
	for _, p := range c.poolOrder {
		c.updateClasses(now, p)
		p.update(now)
		c.dispatch(now, p)
	}
}

func (c *core) configureServers(now time.Time, view *model.View) {
	for name, configured := range view.Servers {
		s := c.servers[name]
		if s == nil {
			s = newServer(name)
			s.reportAge = -1
			c.servers[name] = s
		}
		c.configureServer(now, s, configured)
	}
	c.ordered = c.ordered[:0]
	for name, s := range c.servers {
		if view.Servers[name] == nil {
			if len(s.running) == 0 {
				delete(c.servers, name)
				continue
			}
			s.setClosed(now, &s.configLeaving, true)
		}
		c.ordered = append(c.ordered, s)
	}
	c.byKey = make(map[uint32]*server, len(c.ordered))
	for _, s := range c.ordered {
		c.byKey[s.key] = s
	}
	slices.SortFunc(c.ordered, func(a, b *server) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
}

func (c *core) configureServer(now time.Time, s *server, configured *lilacv1.Server) {
	s.dataCenter = configured.GetDataCenter()
	s.remote = c.region(s.dataCenter) != c.region(c.options.DataCenter)
	s.service = configured.GetKind() == lilacv1.ServerKind_SERVER_KIND_SERVICE
	s.version, s.unadmitted = configured.GetSoftwareVersion(), configured.GetUnadmitted()
	if address := configured.GetAddress(); address != s.address {
		s.address = address
		s.forgetPace(now)
	}
	s.slots = int(configured.GetSlots())
	if s.slots == 0 {
		s.slots = defaultSlots
	}
	s.memory.tokens = float64(configured.GetCacheTokens())
	if tokens := configured.GetCacheTokens(); tokens > 0 {
		s.cache.maxTokens, s.largeBatch = int(tokens), true
		s.fetchPerToken = time.Duration(configured.GetCacheTokenNs())
	}
	s.setClosed(now, &s.configLeaving, configured.GetDraining())
}

// region returns the region of the data centre. A data centre without a configured
// region is a region of its own.
func (c *core) region(dataCenter string) string {
	if region := c.options.Weights.Regions[dataCenter]; region != "" {
		return region
	}
	return dataCenter
}

// setEngineModel gives an engine with a large batch the estimates of its pool's
// model in place of the defaults for small engines. With the defaults, a prompt of
// 17,000 tokens would be expected to miss a target of 2.5 s on any engine, so that
// no request would start in time and nothing would be measured.
func (s *server) setEngineModel(e *engineModel) {
	if s.engine == e {
		return
	}
	s.engine = e
	s.stepOffset, s.gapPerRequest, s.prefill = e.stepOffset(), e.perRequest, e.prefill
}

// applyEngineModel updates the server's estimates from the current engine model.
func (s *server) applyEngineModel() {
	offset := s.engine.stepOffset()
	s.gapPerRequest *= (s.load() + s.stepOffset) / (s.load() + offset)
	s.stepOffset = offset
	s.prefill = s.engine.prefill * s.prefillRatio
}

// setClosed sets one of the reasons for which the server gets no new requests.
func (s *server) setClosed(now time.Time, reason *bool, closed bool) {
	wasClosed := s.closed()
	*reason = closed
	if !wasClosed && s.closed() {
		s.closedAt = now
	}
}

func (c *core) configurePools(now time.Time, view *model.View) {
	for name, p := range c.pools {
		if view.Pools[name] == nil {
			p.servers = nil
		}
	}
	for name, members := range view.Pools {
		p := c.pools[name]
		if p == nil {
			p = newPool(name, now)
			p.pressure, p.enabled = c.options.Weights.Pressure(), c.options.Weights.Enabled
			p.teams = newTeamShares(func(team uint32) float64 { return c.teamWeights[team] })
			c.pools[name] = p
		}
		names := make([]string, len(members))
		for i, member := range members {
			names[i] = member.GetName()
		}
		slices.Sort(names)
		p.servers = p.servers[:0]
		for _, chosen := range choose.Subset(c.options.Instance, names, c.options.Weights.SubsetSize) {
			p.servers = append(p.servers, c.servers[chosen])
		}
		p.service = len(p.servers) > 0 && p.servers[0].service
		p.versioned, p.mixed, p.unadmitted = false, false, false
		for _, s := range p.servers {
			p.versioned = p.versioned || s.version != ""
			p.mixed = p.mixed || s.version != p.servers[0].version
			p.unadmitted = p.unadmitted || s.unadmitted
			if s.largeBatch && !s.service {
				s.setEngineModel(p.engine)
			}
		}
	}
	c.poolOrder = c.poolOrder[:0]
	for _, p := range c.pools {
		c.poolOrder = append(c.poolOrder, p)
	}
	slices.SortFunc(c.poolOrder, func(a, b *pool) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
}

// updateClasses applies the current class settings to the classes in use in the pool.
// A removed class keeps its last settings, and a request keeps those with which it
// arrived.
func (c *core) updateClasses(now time.Time, p *pool) {
	for _, u := range p.usages {
		if class := c.view.Classes[u.class.GetName()]; class != nil {
			u.class = class
			p.queue.SetShare(class.GetName(), guaranteedShare(class))
		}
	}
	p.updateClassUse(now)
}

func (c *core) serverState(now time.Time, e ServerState) {
	s := c.servers[e.Server]
	if s == nil {
		return
	}
	if e.Leaving {
		s.recordLeaving(now)
	}
	if e.Gone {
		c.recordGone(now, s)
	}
	s.setClosed(now, &s.leaving, e.Leaving)
	s.setClosed(now, &s.gone, e.Gone)
	c.endWithoutVersion(now)
	for _, p := range c.poolOrder {
		p.update(now)
		c.dispatch(now, p)
	}
}

func (c *core) loadReport(now time.Time, e LoadReport) {
	s := c.servers[e.Server]
	if s == nil {
		return
	}
	// Reports from before a crash do not describe the restarted server.
	if now.Add(-e.Age).Before(s.crashedAt) {
		s.reportAge = -1
		return
	}
	s.recordPace(now, e)
	s.reportAge, s.reportedAt = e.Age.Seconds(), now.Add(-e.Age)
	s.reportedLoad = max(0, float64(e.Running+e.Waiting)-s.runningAgo(e.Age))
	s.estimateOtherLoad(len(c.peers) > 0)
	for _, p := range c.poolOrder {
		p.dirty = p.dirty || p.queue.Len() > 0
	}
}
