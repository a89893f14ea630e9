package policy

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/request/tiers"
)

// LoadsTold brings what all other instances run on each server and sent there
// lately, where they tell it to each other beside their digests; its loads are nil
// once that isn't known any more.
type LoadsTold struct{ Word loadboard.Word }

func (LoadsTold) event() {}

// takeTold puts what others run in the place of what was told before.
func (c *core) takeTold(now time.Time, e LoadsTold) {
	c.told = e.Word.Loads != nil
	for _, s := range c.ordered {
		load := e.Word.Loads[s.key]
		s.toldLoad = float64(load.InFlight)
		for level, units := range load.Backlog {
			s.toldAhead[level] = float64(units) * loadboard.Unit
		}
		s.join(c.told || len(c.peers) > 0)
	}
	for _, read := range e.Word.Readings {
		c.hearReading(now, c.byKey[read.Server], read.Hash, int(read.Tokens))
	}
	for _, p := range c.poolOrder {
		p.hearWork(e.Word.Work[loadboard.Key(p.name)].Rates, c.told)
		p.hearClaims(e.Word)
		p.dirty = p.dirty || p.queue.Len() > 0
	}
}

// Work is told by lane, claims by place: both packages count the same ones.
var (
	_ [loadboard.Lanes]uint32   = [lanes]uint32{}
	_ [loadboard.Places]float64 = tiers.Demand{}
)

// hearClaims takes in the slots that others ask for.
func (p *pool) hearClaims(w loadboard.Word) {
	p.tiers.Told(tiers.Demand(w.Work[loadboard.Key(p.name)].Claims), w.Instances)
}

// hearWork takes in the work that others start in the pool.
func (p *pool) hearWork(rates [loadboard.Lanes]uint32, told bool) {
	p.toldWork = told
	for l, rate := range rates {
		p.work.told[l] = float64(rate)
	}
}

// toldWork is what this instance starts in each pool, for its peers.
func (c *core) toldWork() []*lilacv1.PoolWork {
	var all []*lilacv1.PoolWork
	for _, p := range c.poolOrder {
		if p.service {
			continue
		}
		rates := make([]uint32, lanes)
		for l, rate := range p.work.rates {
			rates[l] = uint32(rate)
		}
		all = append(all, &lilacv1.PoolWork{Pool: loadboard.Key(p.name), Rates: rates})
	}
	return all
}

// takeWork takes in what a peer starts, where peers exchange their digests directly.
func (c *core) takeWork(p *peer, work []*lilacv1.PoolWork) {
	p.work = nil
	if len(work) > 0 {
		p.work = make(map[uint32][]uint32, len(work))
	}
	for _, told := range work {
		p.work[told.GetPool()] = told.GetRates()
	}
	c.sumWork()
}

// sumWork adds up the work of all peers; where loads are told beside digests, the
// work is told there.
func (c *core) sumWork() {
	if c.told {
		return
	}
	for _, p := range c.poolOrder {
		var sum [lanes]uint32
		heard := false
		for _, peer := range c.peers {
			for l, rate := range peer.work[loadboard.Key(p.name)] {
				if l < len(sum) {
					sum[l] += rate
					heard = true
				}
			}
		}
		p.hearWork(sum, heard)
	}
}

// Loads is what this instance runs on each server and sent there lately, for the
// others.
func (c *core) Loads(now time.Time) loadboard.Word {
	word := loadboard.Word{Loads: make(loadboard.Loads), Work: make(loadboard.Work), Servers: len(c.ordered)}
	for _, p := range c.poolOrder {
		work := loadboard.PoolWork{Claims: p.claim()}
		for l, rate := range p.work.rates {
			work.Rates[l] = uint32(rate)
		}
		word.Work[loadboard.Key(p.name)] = work
	}
	for _, s := range c.ordered {
		if len(s.own) == 0 {
			continue
		}
		load := loadboard.Load{InFlight: uint32(len(s.own))}
		for level, tokens := range s.ahead {
			load.Backlog[level] = uint32(tokens/loadboard.Unit + 0.5)
		}
		word.Loads[s.key] = load
	}
	for _, read := range c.recentReadings(now) {
		word.Readings = append(word.Readings, loadboard.Reading{
			Server: loadboard.Key(read.server), Hash: read.block.Hash, Tokens: uint32(read.tokens),
		})
	}
	return word
}
