package policy

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// An instance sees few of the requests that share a prompt. Without reports from the others it
// would count the first one it sends itself as work for the engine, or none at all at the
// prompt's home: with cold caches an engine with 8 s of prefill seemed idle and got more.
// Instances therefore report which shared parts they sent where: in digests where they exchange
// these directly, on the load board in larger fleets (see peerloads.go). Where neither works, the
// first home of a part is assumed to hold it.

// prefillRecord is a shared part that was sent to a server that was not known to hold it.
type prefillRecord struct {
	server string
	block  Block
	tokens int
	at     time.Time
}

const (
	// prefillRecordTTL is how long a record is reported: for several exchanges, since some get
	// lost.
	prefillRecordTTL = 2 * time.Second
	// maxPrefillRecords bounds what one instance reports to 3 KB.
	maxPrefillRecords = 64
)

// recordPrefills records the shared parts of a request that starts on the server which the server
// is not known to hold. It must be called before they are inserted into the server's cache.
func (c *core) recordPrefills(now time.Time, r *request, s *server) {
	if !r.Pinned {
		return
	}
	start := 0
	for i := range len(r.Prefix) - 1 {
		block := r.Prefix[i]
		if s.cache.blocks[block.Hash] == nil && len(c.prefills) < maxPrefillRecords {
			c.prefills = append(c.prefills, prefillRecord{server: s.name, block: block, tokens: block.End - start, at: now})
		}
		start = block.End
	}
}

// recentPrefills returns the records to report, and deletes older ones.
func (c *core) recentPrefills(now time.Time) []prefillRecord {
	c.prefills = slices.DeleteFunc(c.prefills, func(r prefillRecord) bool { return now.Sub(r.at) > prefillRecordTTL })
	return c.prefills
}

// advertisedPrefills returns the records for the digest.
func (c *core) advertisedPrefills(now time.Time) []*lilacv1.Reading {
	var list []*lilacv1.Reading
	for _, record := range c.recentPrefills(now) {
		list = append(list, &lilacv1.Reading{Server: record.server, Hash: record.block.Hash, Tokens: uint32(record.tokens)})
	}
	return list
}

// observePeerPrefills processes the records in a peer's digest.
func (c *core) observePeerPrefills(now time.Time, readings []*lilacv1.Reading) {
	for _, record := range readings {
		c.observePeerPrefill(now, c.servers[record.GetServer()], record.GetHash(), int(record.GetTokens()))
	}
}

// observePeerPrefill records that another instance sent the part to the server. A part that is
// already known keeps its position in the order of use, since records are repeated.
func (c *core) observePeerPrefill(now time.Time, s *server, hash uint64, tokens int) {
	if s != nil && s.cache.blocks[hash] == nil {
		s.cache.add(hash, tokens, now.Add(s.firstToken(s.load(), float64(tokens), engineLevels-1)))
	}
}
