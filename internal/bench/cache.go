package bench

// cache is a prefix cache with the oldest block dropped first.
type cache struct {
	used    map[uint64]uint64
	order   []cacheUse
	head    int
	tick    uint64
	stored  []uint64
	dropped []uint64
	cleared bool
}

type cacheUse struct {
	hash uint64
	tick uint64
}

// hit counts the leading blocks that the cache holds.
func (c *cache) matchedBlocks(prefix []uint64) int {
	for i, hash := range prefix {
		if _, held := c.used[hash]; !held {
			return i
		}
	}
	return len(prefix)
}

func (c *cache) store(prefix []uint64) {
	if c.used == nil {
		c.used = make(map[uint64]uint64)
	}
	// The last block is touched first, so that it is dropped first.
	for i := len(prefix) - 1; i >= 0; i-- {
		hash := prefix[i]
		c.tick++
		if _, held := c.used[hash]; !held {
			c.stored = append(c.stored, hash)
		}
		c.used[hash] = c.tick
		c.order = append(c.order, cacheUse{hash: hash, tick: c.tick})
	}
	for len(c.used) > cacheBlocks {
		c.drop()
	}
	if c.head > 4*cacheBlocks {
		c.order = append(c.order[:0], c.order[c.head:]...)
		c.head = 0
	}
}

func (c *cache) drop() {
	oldest := c.order[c.head]
	c.head++
	if c.used[oldest.hash] == oldest.tick {
		delete(c.used, oldest.hash)
		c.dropped = append(c.dropped, oldest.hash)
	}
}

func (c *cache) clear() {
	*c = cache{cleared: true}
}
