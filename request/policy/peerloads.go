package policy

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/request/tiers"
)

// PeerLoads brings what all other instances run on each server and sent there
// lately, where they tell it to each other beside their digests; its loads are nil
// once that isn't known any more.
type PeerLoads struct{ Word loadboard.Report }

func (PeerLoads) event() {}

// takeTold puts what others run in the place of what was told before.
func (c *core) applyPeerLoads(now time.Time, e PeerLoads) {
	c.boardActive = e.Word.Loads != nil
	for _, s := range c.ordered {
		load := e.Word.Loads[s.key]
		s.boardLoad, s.boardBulk = float64(load.InFlight), float64(load.Preemptible)
		for level, units := range load.Backlog {
			s.boardBacklog[level] = float64(units) * loadboard.BacklogUnit
		}
		s.estimateOtherLoad(c.boardActive || len(c.peers) > 0)
	}
	for _, read := range e.Word.CachedPrefixes {
		c.observePeerPrefill(now, c.byKey[read.Server], read.Hash, int(read.Tokens))
	}
	c.applyPeerLimits(now, e.Word.Limits)
	for _, p := range c.poolOrder {
		work := e.Word.Work[loadboard.Key(p.name)]
		p.applyPeerWork(c.options.Instance, work, c.boardActive)
		p.tiers.SetOthersDemand(tiers.Demand(work.Claims), e.Word.Instances)
		c.drawStartBudgets(p)
		p.dirty = p.dirty || p.queue.Len() > 0
	}
}

// Work is told by lane, claims by place: both packages count the same ones.
var (
	_ [loadboard.Lanes]uint32      = [laneCount]uint32{}
	_ [loadboard.Positions]float64 = tiers.Demand{}
)

// hear takes in what others do in the pool and know of it; told is false while they tell
// nothing.
func (p *pool) applyPeerWork(self string, work loadboard.PoolWork, told bool) {
	p.otherWorkKnown = told
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

// ownWork is what this instance does in the pool and knows of it, for the others.
func (p *pool) ownWork(self string) loadboard.PoolWork {
	work := loadboard.PoolWork{Engine: p.engine.sums(), Plan: p.ownPlan(self), LaneClaims: p.laneDemand()}
	for l, rate := range p.work.rates {
		work.Rates[l] = uint32(rate)
	}
	return work
}

// toldWork is the same of all pools, for peers that exchange digests directly.
func (c *core) encodeWork() []*lilacv1.PoolWork {
	var all []*lilacv1.PoolWork
	for _, p := range c.poolOrder {
		if !p.service {
			work := p.ownWork(c.options.Instance)
			all = append(all, work.Encode(loadboard.Key(p.name)))
		}
	}
	return all
}

// takeWork takes in what a peer does, where peers exchange their digests directly.
func (c *core) applyWork(p *peer, work []*lilacv1.PoolWork) {
	p.work = nil
	if len(work) > 0 {
		p.work = make(loadboard.Work, len(work))
	}
	for _, told := range work {
		p.work[told.GetPool()] = loadboard.DecodeWork(told)
	}
	c.sumPeerWork()
}

// sumWork adds up the work of all peers; where loads are told beside digests, the
// work is told there.
func (c *core) sumPeerWork() {
	if c.boardActive {
		return
	}
	for _, p := range c.poolOrder {
		var sum loadboard.PoolWork
		heard := false
		for _, peer := range c.peers {
			if work, known := peer.work[loadboard.Key(p.name)]; known {
				sum.Add(work)
				heard = true
			}
		}
		p.applyPeerWork(c.options.Instance, sum, heard)
	}
}

// Loads is what this instance runs on each server and sent there lately, for the
// others.
func (c *core) Loads(now time.Time) loadboard.Report {
	word := loadboard.Report{Loads: make(loadboard.Loads), Work: make(loadboard.Work), Limits: c.ownLimits(now), Servers: len(c.ordered)}
	for _, p := range c.poolOrder {
		work := p.ownWork(c.options.Instance)
		work.Claims = p.slotDemand()
		word.Work[loadboard.Key(p.name)] = work
	}
	for _, s := range c.ordered {
		if len(s.running) == 0 {
			continue
		}
		load := loadboard.Load{InFlight: uint32(len(s.running)), Preemptible: uint32(s.ownBulk())}
		for level, tokens := range s.ownBacklog {
			load.Backlog[level] = uint32(tokens/loadboard.BacklogUnit + 0.5)
		}
		word.Loads[s.key] = load
	}
	for _, read := range c.recentPrefills(now) {
		word.CachedPrefixes = append(word.CachedPrefixes, loadboard.CachedPrefix{
			Server: loadboard.Key(read.server), Hash: read.block.Hash, Tokens: uint32(read.tokens),
		})
	}
	return word
}
