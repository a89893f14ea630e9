package policy

const (
	// prefixBlock is the length of a prefix block in tokens.
	prefixBlock = 16
	// prefixBlocks bounds the blocks remembered for one server.
	prefixBlocks = 4096
)

// prefixSet is what a server's prefix cache is thought to hold: the blocks of
// own requests sent there, and what its cache events told.
type prefixSet struct {
	held     map[uint64]struct{}
	order    []uint64
	head     int
	sequence uint64
}

func newPrefixSet() prefixSet { return prefixSet{held: make(map[uint64]struct{})} }

func (p *prefixSet) add(hash uint64) {
	if _, known := p.held[hash]; known {
		return
	}
	p.held[hash] = struct{}{}
	p.order = append(p.order, hash)
	for len(p.held) > prefixBlocks {
		delete(p.held, p.order[p.head])
		p.head++
	}
	if p.head > prefixBlocks {
		p.order = append(p.order[:0], p.order[p.head:]...)
		p.head = 0
	}
}

func (p *prefixSet) clear() {
	clear(p.held)
	p.order, p.head = p.order[:0], 0
}

// apply takes in a cache event. Events are hints that come late and with gaps:
// a gap may hide that blocks were dropped, so what was known is dropped too;
// at worst a prompt is computed again.
func (p *prefixSet) apply(e CacheEvent) {
	if p.sequence != 0 && e.Sequence != p.sequence+1 || e.Cleared {
		p.clear()
	}
	p.sequence = e.Sequence
	for _, hash := range e.Stored {
		p.add(hash)
	}
	for _, hash := range e.Dropped {
		delete(p.held, hash)
	}
}

// hit returns how many leading blocks are held. Each hash stands for all
// blocks before it too, so a search by halves finds the place.
func (p *prefixSet) hit(prefix []uint64) int {
	low, high := 0, len(prefix)
	for low < high {
		middle := (low + high) / 2
		if _, held := p.held[prefix[middle]]; held {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// uncached is the prompt work that the request would cause on the server, in tokens.
func (s *server) uncached(r *request) float64 {
	cached := s.cache.hit(r.Prefix) * prefixBlock
	return float64(max(r.PromptTokens+r.got-cached, 1))
}

func (c *core) cacheEvent(e CacheEvent) {
	if s := c.servers[e.Server]; s != nil {
		s.cache.apply(e)
	}
}
