package policy

import "github.com/lilacbridge/lilacbridge/process/loadboard"

// LoadsTold brings what all other instances run on each server, where they tell it
// to each other beside their digests; nil once that isn't known any more.
type LoadsTold struct{ Loads loadboard.Loads }

func (LoadsTold) event() {}

// takeTold puts what others run in the place of what was told before.
func (c *core) takeTold(e LoadsTold) {
	for _, s := range c.ordered {
		load := e.Loads[loadboard.Key(s.name)]
		s.toldLoad = float64(load.InFlight)
		for level, units := range load.Backlog {
			s.toldAhead[level] = float64(units) * loadboard.Unit
		}
		s.join(e.Loads != nil || len(c.peers) > 0)
	}
	for _, p := range c.poolOrder {
		p.dirty = p.dirty || p.queue.Len() > 0
	}
}

// Loads is what this instance runs on each server, for the others.
func (c *core) Loads() loadboard.Loads {
	loads := make(loadboard.Loads)
	for _, s := range c.ordered {
		if len(s.own) == 0 {
			continue
		}
		load := loadboard.Load{InFlight: uint32(len(s.own))}
		for level, tokens := range s.ahead {
			load.Backlog[level] = uint32(tokens/loadboard.Unit + 0.5)
		}
		loads[loadboard.Key(s.name)] = load
	}
	return loads
}
