package policy

import (
	"cmp"
	"time"
)

// defaultCacheTokens is the assumed size of a server's prefix cache if the configuration does not
// state one: 4,096 blocks of 16 tokens.
const defaultCacheTokens = 65536

// prefixCache estimates the contents of a server's prefix cache from the requests sent there and
// from its cache events. It evicts the least recently used blocks, as the server does.
type prefixCache struct {
	blocks   map[uint64]*cachedBlock
	sequence uint64
	// newest and oldest are the ends of the list in order of use.
	newest, oldest    *cachedBlock
	tokens, maxTokens int
	// maxBlocks bounds the blocks of whatever size: callers choose how many tokens each has.
	maxBlocks int
}

// cachedBlock is a block of the cache, linked in order of use.
type cachedBlock struct {
	hash   uint64
	tokens int
	// readyAt is when the server is expected to have prefilled the block.
	readyAt      time.Time
	newer, older *cachedBlock
}

const (
	// DefaultMaxBlocks bounds the blocks of all servers if Options state no bound.
	DefaultMaxBlocks = 1 << 19
	// BlockBytes is the memory that a block takes, bytes.
	BlockBytes = 160
	// minServerBlocks is the bound of a server at least.
	minServerBlocks = 64
)

// eventBlockTokens is the length of the blocks that cache events refer to, in tokens.
const eventBlockTokens = 16

func newPrefixCache() prefixCache {
	return prefixCache{blocks: make(map[uint64]*cachedBlock), maxTokens: defaultCacheTokens, maxBlocks: DefaultMaxBlocks}
}

// insert records the use of a prompt's blocks, which are prefilled by readyAt if they are new. It
// goes from the last to the first, so that the leading blocks, which other prompts share, are
// evicted last.
func (p *prefixCache) insert(prefix []Block, readyAt time.Time) {
	for i := len(prefix) - 1; i >= 0; i-- {
		start := 0
		if i > 0 {
			start = prefix[i-1].End
		}
		p.add(prefix[i].Hash, prefix[i].End-start, readyAt)
	}
}

func (p *prefixCache) add(hash uint64, tokens int, readyAt time.Time) {
	b := p.blocks[hash]
	if b == nil {
		b = &cachedBlock{hash: hash, tokens: tokens, readyAt: readyAt}
		p.blocks[hash] = b
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
	p.shrink()
}

// shrink evicts blocks until the cache is within its bounds.
func (p *prefixCache) shrink() {
	for (p.tokens > p.maxTokens || len(p.blocks) > p.maxBlocks) && p.oldest != p.newest {
		p.remove(p.oldest.hash)
	}
}

// shareBlocks divides the bound on blocks among the servers.
func (c *core) shareBlocks() {
	share := max(cmp.Or(c.options.MaxBlocks, DefaultMaxBlocks)/max(len(c.servers), 1), minServerBlocks)
	for _, s := range c.servers {
		s.cache.maxBlocks = share
		s.cache.shrink()
	}
}

func (p *prefixCache) unlink(b *cachedBlock) {
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

func (p *prefixCache) remove(hash uint64) {
	if b := p.blocks[hash]; b != nil {
		p.unlink(b)
		delete(p.blocks, hash)
		p.tokens -= b.tokens
	}
}

func (p *prefixCache) clear() {
	clear(p.blocks)
	p.newest, p.oldest, p.tokens = nil, nil, 0
}

// apply processes a cache event. Events may be late or lost: a gap in the sequence may hide
// evictions, so the known contents are cleared too; at worst a prompt is prefilled again.
func (p *prefixCache) apply(e CacheEvent) {
	if p.sequence != 0 && e.Sequence != p.sequence+1 || e.Cleared {
		p.clear()
	}
	p.sequence = e.Sequence
	for _, hash := range e.Stored {
		p.add(hash, eventBlockTokens, time.Time{})
	}
	for _, hash := range e.Dropped {
		p.remove(hash)
	}
}

// readyTokens returns how many leading tokens of a prompt are expected to be prefilled by now.
func (p *prefixCache) readyTokens(now time.Time, prefix []Block) int {
	end := 0
	for _, block := range prefix {
		b := p.blocks[block.Hash]
		if b == nil || now.Before(b.readyAt) {
			break
		}
		end = block.End
	}
	return end
}

// cachedTokens returns how many leading tokens are in the cache or being prefilled. Each hash
// also covers all blocks before it, which allows a binary search.
func (p *prefixCache) cachedTokens(prefix []Block) int {
	low, high := 0, len(prefix)
	for low < high {
		middle := (low + high) / 2
		if _, held := p.blocks[prefix[middle].Hash]; held {
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

// uncachedTokens returns the number of tokens that the server would have to prefill for the
// request.
func (s *server) uncachedTokens(r *request) float64 {
	return float64(max(r.PromptTokens+r.tokens-s.cache.cachedTokens(r.Prefix), 1))
}

func (c *core) cacheEvent(e CacheEvent) {
	if s := c.servers[e.Server]; s != nil {
		s.cache.apply(e)
	}
}
