package policy

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/request/pace"
	"github.com/lilacbridge/lilacbridge/request/tiers"
)

// PeerLoads brings the load board's sum of the reports of all other instances. Large
// fleets exchange it in addition to digests. Its Loads are nil if the sum is no longer
// known.
type PeerLoads struct{ Report loadboard.Report }

func (PeerLoads) event() {}

// applyPeerLoads replaces the previous state of the load board.
func (c *core) applyPeerLoads(now time.Time, e PeerLoads) {
	c.boardActive, c.boardInstances = e.Report.Loads != nil, e.Report.Instances
	for _, s := range c.ordered {
		load := e.Report.Loads[s.key]
		s.boardLoad, s.boardBulk = float64(load.InFlight), float64(load.Preemptible)
		s.memory.boardHeld = float64(load.Held) * loadboard.HeldUnit
		for level, units := range load.Backlog {
			s.boardBacklog[level] = float64(units) * loadboard.BacklogUnit
		}
		s.boardPace = pace.Sum(load.Pace)
		s.setPeerPace(now)
		s.estimateOtherLoad(c.boardActive || len(c.peers) > 0)
	}
	for _, prefix := range e.Report.CachedPrefixes {
		c.observePeerPrefix(now, c.byKey[prefix.Server], prefix.Hash, int(prefix.Tokens))
	}
	c.applyPeerLimits(now, e.Report.Limits)
	for _, p := range c.poolOrder {
		work := e.Report.Work[loadboard.Key(p.name)]
		p.applyPeerWork(c.options.Instance, work, c.boardActive)
		if c.boardActive {
			p.setBoardShares(now, work.Teams)
		}
		p.tiers.SetOthersDemand(tiers.Demand(work.Claims), e.Report.Instances)
		c.drawStartBudgets(p)
		p.dirty = p.dirty || p.queue.Len() > 0
	}
	c.sumPeerShares(now)
}

// Work is reported by lane and demand by position; loadboard and this package must agree
// on the number of each.
var (
	_ [loadboard.Lanes]uint32      = [laneCount]uint32{}
	_ [loadboard.Positions]float64 = tiers.Demand{}
)

// applyPeerWork sets what other instances do in the pool and have learned of it;
// known is false if they report nothing.
func (p *pool) applyPeerWork(self string, work loadboard.PoolWork, known bool) {
	p.otherWorkKnown = known
	for l, rate := range work.Rates {
		p.work.otherRates[l] = float64(rate)
	}
	p.work.otherLaneDemand = work.LaneClaims
	p.engine.setOthers(work.Engine)
	p.plan = loadboard.LanePlan{}
	if work.Plan.Precedes(loadboard.LanePlan{Author: self}) {
		p.plan = work.Plan
	}
}

// ownWork returns what this instance does in the pool and has learned of it.
func (p *pool) ownWork(self string) loadboard.PoolWork {
	work := loadboard.PoolWork{Engine: p.engine.sums(), Plan: p.ownPlan(self), LaneClaims: p.laneDemand()}
	for l, rate := range p.work.rates {
		work.Rates[l] = number.Uint32(rate)
	}
	return work
}

// encodeWork returns the work in all pools for peers that exchange digests directly.
func (c *core) encodeWork(now time.Time) []*lilacv1.PoolWork {
	var all []*lilacv1.PoolWork
	for _, p := range c.poolOrder {
		if !p.service || p.sharesTeams() {
			work := p.ownWork(c.options.Instance)
			work.Teams = p.toldUses(now)
			all = append(all, work.Encode(loadboard.Key(p.name)))
		}
	}
	return all
}

// applyWork stores the work from the digest of a directly connected peer.
func (c *core) applyWork(p *peer, work []*lilacv1.PoolWork) {
	p.work = nil
	if len(work) > 0 {
		p.work = make(loadboard.Work, len(work))
	}
	for _, encoded := range work {
		p.work[encoded.GetPool()] = loadboard.DecodeWork(encoded)
	}
	c.sumPeerWork()
}

// sumPeerWork adds up the work of all peers. While the load board is active, the work
// comes from there.
func (c *core) sumPeerWork() {
	if c.boardActive {
		return
	}
	for _, p := range c.poolOrder {
		var sum loadboard.PoolWork
		found := false
		for _, peer := range c.peers {
			if work, known := peer.work[loadboard.Key(p.name)]; known {
				sum.Add(work)
				found = true
			}
		}
		p.applyPeerWork(c.options.Instance, sum, found)
	}
}

// Loads implements Core.
func (c *core) Loads(now time.Time) loadboard.Report {
	report := loadboard.Report{Loads: make(loadboard.Loads), Work: make(loadboard.Work), Limits: c.ownLimits(now), Servers: len(c.ordered)}
	for _, p := range c.poolOrder {
		work := p.ownWork(c.options.Instance)
		work.Claims = p.slotDemand()
		work.Teams = p.toldUses(now)
		report.Work[loadboard.Key(p.name)] = work
	}
	for _, s := range c.ordered {
		told := s.pace.Own(now)
		if !s.inUse() && told.Weight == 0 {
			continue
		}
		load := loadboard.Load{Preemptible: number.Uint32(s.ownBulk()), Pace: loadboard.PaceSum(told)}
		load.InFlight, load.Held = s.reportedUse()
		for level, tokens := range s.ownBacklog {
			load.Backlog[level] = number.Uint32(tokens/loadboard.BacklogUnit + 0.5)
		}
		report.Loads[s.key] = load
	}
	for _, prefix := range c.recentPrefixes(now) {
		report.CachedPrefixes = append(report.CachedPrefixes, loadboard.CachedPrefix{
			Server: loadboard.Key(prefix.server), Hash: prefix.block.Hash, Tokens: uint32(prefix.tokens),
		})
	}
	return report
}
