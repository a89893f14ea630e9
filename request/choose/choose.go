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

// Sample is how many servers are looked at for one request.
const Sample = 12

// Request is what a choice must know of a request.
type Request struct {
	// FirstBy is the time left for the first token; negative once it is late.
	FirstBy time.Duration
	// Target is the class's for the first token.
	Target time.Duration
	// Between is the class's target for the gap between tokens; 0 means none.
	Between time.Duration
	// Left is the expected number of tokens to come.
	Left float64
	// Avoid names a server that failed the request just now.
	Avoid string
	// Reserve is how many slots of each server stay free of this request.
	Reserve float64
	// Over is how many requests may stand above a server's limit.
	Over float64
	// Alone is true for a suspect: it may not meet another one.
	Alone bool
}

// Candidate is a server as it would be with the request on it.
type Candidate struct {
	Name string
	// Index is the caller's own.
	Index int
	// Rank is the rendezvous hash of the request and the server.
	Rank uint64
	// Remote is true for servers of another data centre.
	Remote bool
	// Barred servers are leaving, gone, ejected, busy or unreachable.
	Barred bool
	// Trial is true while a suspect runs on the server.
	Trial bool
	// Load is the estimated number of requests on the server, of all instances.
	Load float64
	// Limit is how many the server runs within the targets.
	Limit float64
	// Again is true where the server would read a long part of the prompt that
	// another one holds or reads already.
	Again bool
	// Intrudes is true where the prompt would hold up answers that the server is kept
	// for.
	Intrudes bool
	// Work is the engine's time that the prompt takes there.
	Work time.Duration
	// Stray is the price of the request there rather than on the servers kept for
	// its kind.
	Stray time.Duration
	// Order is the server's place among those on which requests displace others.
	Order float64
	// Trouble is the price of failures that are to be expected there.
	Trouble time.Duration
	// First is the expected time to the first token, Gap between tokens.
	First time.Duration
	Gap   time.Duration
}

// Filter says whether a server may take the request.
type Filter interface {
	Allow(r *Request, c *Candidate) bool
}

// Scorer returns the cost of the server for the request, in seconds.
type Scorer interface {
	Score(r *Request, c *Candidate) float64
}

// Ranks are the rendezvous hashes of the candidates.
type Ranks struct {
	// Allowed are those of the scored candidates.
	Allowed []uint64
	// First and Second are the highest of all, the filtered ones included:
	// instances differ in what they filter.
	First, Second uint64
}

// Picker takes one of the scored candidates, by its place; -1 for none.
type Picker interface {
	Pick(scores []float64, ranks *Ranks, random *rand.Rand) int
}

// Chooser puts filters, scorers and a picker together.
type Chooser struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
	allowed []int
	scores  []float64
	ranks   Ranks
}

// Choose returns the place of the chosen candidate, or -1.
func (c *Chooser) Choose(r *Request, candidates []Candidate, random *rand.Rand) int {
	c.allowed, c.scores = c.allowed[:0], c.scores[:0]
	c.ranks = Ranks{Allowed: c.ranks.Allowed[:0]}
	for i := range candidates {
		c.ranks.see(candidates[i].Rank)
		if !c.allow(r, &candidates[i]) {
			continue
		}
		score := 0.0
		for _, scorer := range c.Scorers {
			score += scorer.Score(r, &candidates[i])
		}
		c.allowed = append(c.allowed, i)
		c.scores = append(c.scores, score)
		c.ranks.Allowed = append(c.ranks.Allowed, candidates[i].Rank)
	}
	at := c.Picker.Pick(c.scores, &c.ranks, random)
	if at < 0 {
		return -1
	}
	return c.allowed[at]
}

func (r *Ranks) see(rank uint64) {
	switch {
	case rank > r.First:
		r.First, r.Second = rank, r.First
	case rank > r.Second:
		r.Second = rank
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
