package policy

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// An instance sees few of the requests that share a prompt. Without reports from the others it
// would count a full prefill for the first one that it sends itself, or none at all at the
// prefix's first home: with cold caches an engine with 8 s of prefill seemed idle and got more.
// Instances therefore report which shared prefixes they sent to which server: in digests where
// they exchange these directly, on the load board in larger fleets (see peerloads.go). If neither
// is available, the first home of a prefix is assumed to have it cached.

// cachedPrefix is a shared prompt prefix that was sent to a server not known to hold it. The
// server's prefix cache holds it from then on; see loadboard.CachedPrefix.
type cachedPrefix struct {
	server string
	// block is the last block of the prefix, tokens its length.
	block  Block
	tokens int
	at     time.Time
}

const (
	// prefixReportPeriod is how long a prefix is reported: for several exchanges, since some get
	// lost.
	prefixReportPeriod = 2 * time.Second
	// maxReportedPrefixes bounds what one instance reports to 3 KB.
	maxReportedPrefixes = 64
)

// recordPrefixes records those shared prefixes of a starting request that the server is not known
// to hold. It must be called before they are inserted into the server's cache.
func (c *core) recordPrefixes(now time.Time, r *request, s *server) {
	if !r.Pinned {
		return
	}
	start := 0
	for i := range len(r.Prefix) - 1 {
		block := r.Prefix[i]
		if s.cache.blocks[block.Hash] == nil && len(c.cachedPrefixes) < maxReportedPrefixes {
			c.cachedPrefixes = append(c.cachedPrefixes, cachedPrefix{server: s.name, block: block, tokens: block.End - start, at: now})
		}
		start = block.End
	}
}

// recentPrefixes returns the prefixes to report, and deletes older ones.
func (c *core) recentPrefixes(now time.Time) []cachedPrefix {
	c.cachedPrefixes = slices.DeleteFunc(c.cachedPrefixes, func(p cachedPrefix) bool { return now.Sub(p.at) > prefixReportPeriod })
	return c.cachedPrefixes
}

// advertisedPrefixes returns the prefixes for the digest.
func (c *core) advertisedPrefixes(now time.Time) []*lilacv1.Reading {
	var list []*lilacv1.Reading
	for _, prefix := range c.recentPrefixes(now) {
		list = append(list, &lilacv1.Reading{Server: prefix.server, Hash: prefix.block.Hash, Tokens: uint32(prefix.tokens)})
	}
	return list
}

// observePeerPrefixes processes the prefixes in a peer's digest.
func (c *core) observePeerPrefixes(now time.Time, readings []*lilacv1.Reading) {
	for _, prefix := range readings {
		c.observePeerPrefix(now, c.servers[prefix.GetServer()], prefix.GetHash(), int(prefix.GetTokens()))
	}
}

// observePeerPrefix records that another instance sent a prefix to the server. A prefix that is
// already known is not marked as used again, since reports are repeated.
func (c *core) observePeerPrefix(now time.Time, s *server, hash uint64, tokens int) {
	if s != nil && s.cache.blocks[hash] == nil {
		s.cache.add(hash, tokens, now.Add(s.firstToken(s.load(), float64(tokens), engineLevels-1)))
	}
}
