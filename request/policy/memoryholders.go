package policy

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacbridge/lilacbridge/request/room"
)

// holderSettleTime is the time from the start of the process until it knows the other instances.
const holderSettleTime = 3 * time.Second

// assignHolders determines of which servers this instance is a holder. All instances that know the
// same others agree.
func (c *core) assignHolders(now time.Time, p *pool) {
	settled := c.options.Started.IsZero() || now.Sub(c.options.Started) >= holderSettleTime
	key := holderKey{fleet: c.fleet.fingerprint(), servers: len(c.view.Pools[p.name]), revision: c.view.Revision, settled: settled}
	if key == p.holderKey {
		return
	}
	p.holderKey = key
	servers := make(map[string]int)
	for _, configured := range c.view.Pools[p.name] {
		servers[configured.GetDataCenter()]++
	}
	all := c.fleet.all()
	local := true
	for _, instance := range all {
		local = local && servers[instance.DataCenter] > 0
	}
	for _, s := range p.servers {
		var candidates []Instance
		for _, instance := range all {
			if !local || instance.DataCenter == s.dataCenter {
				candidates = append(candidates, instance)
			}
		}
		if len(candidates) == 0 {
			candidates = all
		}
		count := len(c.view.Pools[p.name])
		if local {
			count = servers[s.dataCenter]
		}
		s.memory.holders = room.Holders(len(candidates), count)
		position := positionByHash(s.name, c.options.Instance, candidates)
		s.memory.holder = settled && position >= 0 && position < s.memory.holders
	}
}

// holderKey is what the holders were determined from.
type holderKey struct {
	fleet    uint64
	servers  int
	revision uint64
	settled  bool
}

// all returns the instances that live or may still live, in no order.
func (f *fleet) all() []Instance {
	all := []Instance{f.self}
	for _, m := range f.members {
		all = append(all, m.Instance)
	}
	return all
}

// fingerprint identifies the set of instances that live or may still live.
func (f *fleet) fingerprint() uint64 {
	sum := uint64(len(f.members))
	for name := range f.members {
		sum += xxhash.Sum64String(name)
	}
	return sum
}

// positionByHash returns the position of the named instance in the order of hashes with the
// server, -1 if it isn't among the candidates.
func positionByHash(server, name string, candidates []Instance) int {
	rank := func(instance string) uint64 { return xxhash.Sum64String(server + "/" + instance) }
	own, position, found := rank(name), 0, false
	for _, other := range candidates {
		if other.Name == name {
			found = true
		} else if rank(other.Name) < own {
			position++
		}
	}
	if !found {
		return -1
	}
	return position
}
