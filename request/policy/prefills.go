package policy

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// An instance sees a small part of the requests that share a prompt. Without the
// others' word it takes each first one of its own for work on its engine, or, at
// a prompt's home, none for any: while everything is cold an engine seemed idle
// that had 8 s to read, and got more. So what was sent where is told: in digests
// between instances that exchange them directly, beside them in larger fleets (see
// told). Where neither works, a part's home is taken to hold it.

// prefillRecord is a shared part that was sent to a server that was not known to hold it.
type prefillRecord struct {
	server string
	block  Block
	tokens int
	at     time.Time
}

const (
	// prefillRecordTTL is how long a reading is told: some exchanges, for those that lose
	// one.
	prefillRecordTTL = 2 * time.Second
	// maxPrefillRecords bounds what one instance tells, at most 3 KB.
	maxPrefillRecords = 64
)

// recordPrefills remembers the shared parts of a request that starts on the server
// and that it is not known to hold. Called before they count as held.
func (c *core) recordPrefills(now time.Time, r *request, s *server) {
	if !r.Anchored {
		return
	}
	start := 0
	for i := range len(r.Prefix) - 1 {
		block := r.Prefix[i]
		if s.cache.blocks[block.Hash] == nil && len(c.readings) < maxPrefillRecords {
			c.readings = append(c.readings, prefillRecord{server: s.name, block: block, tokens: block.End - start, at: now})
		}
		start = block.End
	}
}

// recentPrefills are those that others must hear of; older ones are forgotten.
func (c *core) recentPrefills(now time.Time) []prefillRecord {
	c.readings = slices.DeleteFunc(c.readings, func(r prefillRecord) bool { return now.Sub(r.at) > prefillRecordTTL })
	return c.readings
}

// advertisedPrefills lists what the digest tells.
func (c *core) advertisedPrefills(now time.Time) []*lilacv1.Reading {
	var list []*lilacv1.Reading
	for _, record := range c.recentPrefills(now) {
		list = append(list, &lilacv1.Reading{Server: record.server, Hash: record.block.Hash, Tokens: uint32(record.tokens)})
	}
	return list
}

// observePeerPrefills takes in what a peer's digest tells.
func (c *core) observePeerPrefills(now time.Time, readings []*lilacv1.Reading) {
	for _, record := range readings {
		c.observePeerPrefill(now, c.servers[record.GetServer()], record.GetHash(), int(record.GetTokens()))
	}
}

// observePeerPrefill takes in what another instance sent to the server. A part that is held
// already keeps its place in the order of use: it is told of again and again.
func (c *core) observePeerPrefill(now time.Time, s *server, hash uint64, tokens int) {
	if s != nil && s.cache.blocks[hash] == nil {
		s.cache.add(hash, tokens, now.Add(s.firstToken(s.load(), float64(tokens), levels-1)))
	}
}
