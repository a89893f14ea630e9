// Package choose selects the backend server for one request: filters decide which
// servers may take it, scorers add up the cost of each, and a picker selects one.
//
// The cost of a decision does not grow with the pool: an instance uses a Subset of a
// large pool and examines SampleSize servers of it per request.
package choose

import (
	"math/rand/v2"
	"time"
)

// SampleSize is the number of servers examined for one request.
const SampleSize = 12

// Request describes the request that a server is chosen for.
type Request struct {
	// FirstTokenBudget is the time left for the first token; negative once it is late.
	FirstTokenBudget time.Duration
	// FirstTokenTarget is the class's target for the time to first token.
	FirstTokenTarget time.Duration
	// TokenGapTarget is the class's target for the gap between tokens; 0 means none.
	TokenGapTarget time.Duration
	// RemainingTokens is the expected number of tokens still to be generated.
	RemainingTokens float64
	// Avoid names the server on which the request has just failed.
	Avoid string
	// ReservedSlots is the number of slots of each server that the request must
	// leave free.
	ReservedSlots float64
	// Overcommit is by how many requests a server's limit may be exceeded.
	Overcommit float64
	// Suspect is set if the request is suspected of crashing servers; it must not
	// share a server with another suspect.
	Suspect bool
}

// Candidate describes a server as it would be with the request on it.
type Candidate struct {
	Name string
	// Index identifies the server to the caller; this package does not use it.
	Index int
	// Hash is the rendezvous hash of the request and the server.
	Hash uint64
	// Remote is set for servers in another region.
	Remote bool
	// Unavailable servers are leaving, gone, ejected, busy or unreachable.
	Unavailable bool
	// HasTrial is set while a suspect runs on the server.
	HasTrial bool
	// Load is the estimated number of requests on the server, from all instances.
	Load float64
	// Limit is the number of requests that the server runs within the targets.
	Limit float64
	// NoMemory is set if the server's memory has no room for the request.
	NoMemory bool
	// DuplicatePrefill is set if the server would process a long part of the prompt
	// that another server has cached or is processing.
	DuplicatePrefill bool
	// Interferes is set if the prompt would delay answers that the server is
	// reserved for.
	Interferes bool
	// PrefillTime is the engine time that the prompt takes on the server.
	PrefillTime time.Duration
	// AffinityPenalty is the cost of running the request here rather than on the
	// servers preferred for its prompt or its kind.
	AffinityPenalty time.Duration
	// DisplacementOrder is the server's position among those on which requests
	// displace others.
	DisplacementOrder float64
	// FailurePenalty is the cost of the failures expected on the server.
	FailurePenalty time.Duration
	// FirstToken is the expected time to first token, TokenGap between tokens.
	FirstToken time.Duration
	TokenGap   time.Duration
}

// Filter decides whether a server may take the request.
type Filter interface {
	Allow(r *Request, c *Candidate) bool
}

// Scorer returns the cost of the server for the request, in seconds.
type Scorer interface {
	Score(r *Request, c *Candidate) float64
}

// Hashes holds the rendezvous hashes of the candidates.
type Hashes struct {
	// Allowed holds the hashes of the scored candidates, parallel to the scores.
	Allowed []uint64
	// Highest and SecondHighest are taken over all candidates, filtered ones included,
	// since instances differ in what they filter.
	Highest, SecondHighest uint64
}

// Picker returns the index of one of the scored candidates, or -1 if there are none.
type Picker interface {
	Pick(scores []float64, hashes *Hashes, random *rand.Rand) int
}

// Chooser combines filters, scorers and a picker. It keeps buffers between calls and
// is not safe for concurrent use.
type Chooser struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
	allowed []int
	scores  []float64
	hashes  Hashes
}

// Choose returns the index of the chosen candidate, or -1 if the filters allow none.
func (c *Chooser) Choose(r *Request, candidates []Candidate, random *rand.Rand) int {
	c.allowed, c.scores = c.allowed[:0], c.scores[:0]
	c.hashes = Hashes{Allowed: c.hashes.Allowed[:0]}
	for i := range candidates {
		c.hashes.observe(candidates[i].Hash)
		if !c.allow(r, &candidates[i]) {
			continue
		}
		score := 0.0
		for _, scorer := range c.Scorers {
			score += scorer.Score(r, &candidates[i])
		}
		c.allowed = append(c.allowed, i)
		c.scores = append(c.scores, score)
		c.hashes.Allowed = append(c.hashes.Allowed, candidates[i].Hash)
	}
	at := c.Picker.Pick(c.scores, &c.hashes, random)
	if at < 0 {
		return -1
	}
	return c.allowed[at]
}

func (r *Hashes) observe(hash uint64) {
	switch {
	case hash > r.Highest:
		r.Highest, r.SecondHighest = hash, r.Highest
	case hash > r.SecondHighest:
		r.SecondHighest = hash
	}
}

func (c *Chooser) allow(r *Request, candidate *Candidate) bool {
	for _, filter := range c.Filters {
		if !filter.Allow(r, candidate) {
			return false
		}
	}
	return true
}
