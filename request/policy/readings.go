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

// reading is a shared part that was sent to a server that was not known to hold it.
type reading struct {
	server string
	block  Block
	tokens int
	at     time.Time
}

const (
	// readingTold is how long a reading is told: some exchanges, for those that lose
	// one.
	readingTold = 2 * time.Second
	// maxReadings bounds what one instance tells, at most 3 KB.
	maxReadings = 64
)

// noteReadings remembers the shared parts of a request that starts on the server
// and that it is not known to hold. Called before they count as held.
func (c *core) noteReadings(now time.Time, r *request, s *server) {
	if !r.Pinned {
		return
	}
	begin := 0
	for i := range len(r.Prefix) - 1 {
		block := r.Prefix[i]
		if s.cache.held[block.Hash] == nil && len(c.readings) < maxReadings {
			c.readings = append(c.readings, reading{server: s.name, block: block, tokens: block.End - begin, at: now})
		}
		begin = block.End
	}
}

// recentReadings are those that others must hear of; older ones are forgotten.
func (c *core) recentReadings(now time.Time) []reading {
	c.readings = slices.DeleteFunc(c.readings, func(r reading) bool { return now.Sub(r.at) > readingTold })
	return c.readings
}

// toldReadings lists what the digest tells.
func (c *core) toldReadings(now time.Time) []*lilacv1.Reading {
	var list []*lilacv1.Reading
	for _, read := range c.recentReadings(now) {
		list = append(list, &lilacv1.Reading{Server: read.server, Hash: read.block.Hash, Tokens: uint32(read.tokens)})
	}
	return list
}

// hearReadings takes in what a peer's digest tells.
func (c *core) hearReadings(now time.Time, readings []*lilacv1.Reading) {
	for _, read := range readings {
		c.hearReading(now, c.servers[read.GetServer()], read.GetHash(), int(read.GetTokens()))
	}
}

// hearReading takes in what another instance sent to the server. A part that is held
// already keeps its place in the order of use: it is told of again and again.
func (c *core) hearReading(now time.Time, s *server, hash uint64, tokens int) {
	if s != nil && s.cache.held[hash] == nil {
		s.cache.add(hash, tokens, now.Add(s.firstToken(s.load(), float64(tokens), engineLevels-1)))
	}
}
