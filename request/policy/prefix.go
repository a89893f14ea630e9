package policy

import "time"

// defaultCacheTokens is what a server's prefix cache is taken to hold where the
// configuration doesn't say: 4,096 blocks of 16 tokens.
const defaultCacheTokens = 65536

// prefixSet is what a server's prefix cache is thought to hold: the blocks of
// own requests sent there, and what its cache events told. The least recently
// used blocks yield, as they do at the server.
type prefixSet struct {
	held     map[uint64]*heldBlock
	sequence uint64
	// newest and oldest end the list in order of use.
	newest, oldest *heldBlock
	tokens, most   int
}

// heldBlock is one block of the cache in the list of use.
type heldBlock struct {
	hash   uint64
	tokens int
	// readyAt is when the server is expected to have read it.
	readyAt      time.Time
	newer, older *heldBlock
}

// eventBlock is the length of a block that a cache event tells of, in tokens.
const eventBlock = 16

func newPrefixSet() prefixSet {
	return prefixSet{held: make(map[uint64]*heldBlock), most: defaultCacheTokens}
}

// use notes that the blocks of a prompt are read, the new ones by readyAt, the last
// one first, so that the beginnings, which others share, yield last.
func (p *prefixSet) use(prefix []Block, readyAt time.Time) {
	for i := len(prefix) - 1; i >= 0; i-- {
		begin := 0
		if i > 0 {
			begin = prefix[i-1].End
		}
		p.add(prefix[i].Hash, prefix[i].End-begin, readyAt)
	}
}

func (p *prefixSet) add(hash uint64, tokens int, readyAt time.Time) {
	b := p.held[hash]
	if b == nil {
		b = &heldBlock{hash: hash, tokens: tokens, readyAt: readyAt}
		p.held[hash] = b
		p.tokens += tokens
	} else {
		p.unlink(b)
	}
	b.older = p.newest
	if p.newest != nil {
		p.newest.newer = b
	}
	p.newest = b
	if p.oldest == nil {
		p.oldest = b
	}
	for p.tokens > p.most && p.oldest != b {
		p.drop(p.oldest.hash)
	}
}

func (p *prefixSet) unlink(b *heldBlock) {
	if b.newer != nil {
		b.newer.older = b.older
	} else {
		p.newest = b.older
	}
	if b.older != nil {
		b.older.newer = b.newer
	} else {
		p.oldest = b.newer
	}
	b.newer, b.older = nil, nil
}

func (p *prefixSet) drop(hash uint64) {
	if b := p.held[hash]; b != nil {
		p.unlink(b)
		delete(p.held, hash)
		p.tokens -= b.tokens
	}
}

func (p *prefixSet) clear() {
	clear(p.held)
	p.newest, p.oldest, p.tokens = nil, nil, 0
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
		p.add(hash, eventBlock, time.Time{})
	}
	for _, hash := range e.Dropped {
		p.drop(hash)
	}
}

// ready returns how many leading tokens of a prompt are expected to be read by now.
func (p *prefixSet) ready(now time.Time, prefix []Block) int {
	end := 0
	for _, block := range prefix {
		b := p.held[block.Hash]
		if b == nil || now.Before(b.readyAt) {
			break
		}
		end = block.End
	}
	return end
}

// hit returns how many leading tokens are held. Each hash stands for all
// blocks before it too, so a search by halves finds the place.
func (p *prefixSet) hit(prefix []Block) int {
	low, high := 0, len(prefix)
	for low < high {
		middle := (low + high) / 2
		if _, held := p.held[prefix[middle].Hash]; held {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return 0
	}
	return prefix[low-1].End
}

// uncached is the prompt work that the request would cause on the server, in tokens.
func (s *server) uncached(r *request) float64 {
	return float64(max(r.PromptTokens+r.tokens-s.cache.hit(r.Prefix), 1))
}

func (c *core) cacheEvent(e CacheEvent) {
	if s := c.servers[e.Server]; s != nil {
		s.cache.apply(e)
	}
}
