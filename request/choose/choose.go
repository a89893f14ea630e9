// Package choose finds the backend server for one request: filters say which
// servers may take it, scorers what each would cost, a picker takes one.
//
// The cost of a decision does not grow with the pool: an instance uses a
// Subset of a large pool, and looks at Sample servers of it for each request.
package choose

import (
	"math/rand/v2"
	"time"
)

// SampleSize is how many servers are looked at for one request.
const SampleSize = 12

// Request is what a choice must know of a request.
type Request struct {
	// FirstTokenBudget is the time left for the first token; negative once it is late.
	FirstTokenBudget time.Duration
	// FirstTokenTarget is the class's for the first token.
	FirstTokenTarget time.Duration
	// TokenGapTarget is the class's target for the gap between tokens; 0 means none.
	TokenGapTarget time.Duration
	// RemainingTokens is the expected number of tokens to come.
	RemainingTokens float64
	// Avoid names a server that failed the request just now.
	Avoid string
	// ReservedSlots is how many slots of each server stay free of this request.
	ReservedSlots float64
	// Overcommit is how many requests may stand above a server's limit.
	Overcommit float64
	// Suspect is true for a suspect: it may not meet another one.
	Suspect bool
}

// Candidate is a server as it would be with the request on it.
type Candidate struct {
	Name string
	// Index is the caller's own.
	Index int
	// Hash is the rendezvous hash of the request and the server.
	Hash uint64
	// Remote is true for servers of another data centre.
	Remote bool
	// Unavailable servers are leaving, gone, ejected, busy or unreachable.
	Unavailable bool
	// HasTrial is true while a suspect runs on the server.
	HasTrial bool
	// Load is the estimated number of requests on the server, of all instances.
	Load float64
	// Limit is how many the server runs within the targets.
	Limit float64
	// DuplicatePrefill is true where the server would read a long part of the prompt that
	// another one holds or reads already.
	DuplicatePrefill bool
	// Interferes is true where the prompt would hold up answers that the server is kept
	// for.
	Interferes bool
	// PrefillTime is the engine's time that the prompt takes there.
	PrefillTime time.Duration
	// AffinityPenalty is the price of the request there rather than on the servers kept for
	// its kind.
	AffinityPenalty time.Duration
	// DisplacementOrder is the server's place among those on which requests displace others.
	DisplacementOrder float64
	// FailurePenalty is the price of failures that are to be expected there.
	FailurePenalty time.Duration
	// FirstToken is the expected time to the first token, Gap between tokens.
	FirstToken time.Duration
	TokenGap   time.Duration
}

// Filter says whether a server may take the request.
type Filter interface {
	Allow(r *Request, c *Candidate) bool
}

// Scorer returns the cost of the server for the request, in seconds.
type Scorer interface {
	Score(r *Request, c *Candidate) float64
}

// Hashes are the rendezvous hashes of the candidates.
type Hashes struct {
	// Allowed are those of the scored candidates.
	Allowed []uint64
	// Highest and SecondHighest are the highest of all, the filtered ones included:
	// instances differ in what they filter.
	Highest, SecondHighest uint64
}

// Picker takes one of the scored candidates, by its place; -1 for none.
type Picker interface {
	Pick(scores []float64, ranks *Hashes, random *rand.Rand) int
}

// Chooser puts filters, scorers and a picker together.
type Chooser struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
	allowed []int
	scores  []float64
	ranks   Hashes
}

// Choose returns the place of the chosen candidate, or -1.
func (c *Chooser) Choose(r *Request, candidates []Candidate, random *rand.Rand) int {
	c.allowed, c.scores = c.allowed[:0], c.scores[:0]
	c.ranks = Hashes{Allowed: c.ranks.Allowed[:0]}
	for i := range candidates {
		c.ranks.see(candidates[i].Hash)
		if !c.allow(r, &candidates[i]) {
			continue
		}
		score := 0.0
		for _, scorer := range c.Scorers {
			score += scorer.Score(r, &candidates[i])
		}
		c.allowed = append(c.allowed, i)
		c.scores = append(c.scores, score)
		c.ranks.Allowed = append(c.ranks.Allowed, candidates[i].Hash)
	}
	at := c.Picker.Pick(c.scores, &c.ranks, random)
	if at < 0 {
		return -1
	}
	return c.allowed[at]
}

func (r *Hashes) see(rank uint64) {
	switch {
	case rank > r.Highest:
		r.Highest, r.SecondHighest = rank, r.Highest
	case rank > r.SecondHighest:
		r.SecondHighest = rank
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
