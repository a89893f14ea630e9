package policy

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacbridge/lilacbridge/request/choose"
)

// candidate describes the server with the request on it.
func (s *server) candidate(r *request, now time.Time, index int, h *homes) choose.Candidate {
	c := s.outline(r, now, index)
	if s.shunned || s.startsLeft < 1 {
		c.Unavailable = true
	}
	if c.Unavailable {
		return c
	}
	n := c.Load + 1
	if yields := s.yields(r, c.Limit); yields > 0 {
		c.Limit += yields
		n = min(n, float64(s.slots))
	}
	s.assess(&c, r, now, h, n)
	return c
}

// displaced describes the engine with the request on it in the place of bulk.
func (s *server) displaced(r *request, now time.Time, index int, h *homes) choose.Candidate {
	c := s.outline(r, now, index)
	if s.displaceLeft < 1 {
		c.Unavailable = true
	}
	if c.Unavailable {
		return c
	}
	n := min(c.Load+1, float64(s.slots))
	c.Load -= s.yielding() + displaceOver*float64(s.slots)
	c.DisplacementOrder = s.displaceOrder()
	s.assess(&c, r, now, h, n)
	return c
}

// outline is what is known of the server without looking at the request's prompt.
func (s *server) outline(r *request, now time.Time, index int) choose.Candidate {
	return choose.Candidate{
		Name: s.name, Index: index, Hash: xxhash.Sum64String(r.Digest + s.name), Remote: s.remote, Unavailable: s.barred(now),
		HasTrial: s.trial != "" || s.peerTrials > 0,
		Load:     s.load(), Limit: s.limit(s.paced(r.pool, r.tokenGapTarget()), r.tokenGapTarget()),
	}
}

// assess fills in what the request would meet on the server as one of n.
func (s *server) assess(c *choose.Candidate, r *request, now time.Time, h *homes, n float64) {
	supply := h.supplyAt(s, r)
	c.FirstToken = s.firstToken(n, supply.read, r.engineLevel()) + s.fetchTime(supply.fetched)
	c.PrefillTime = r.pool.readTime(supply.work())
	c.DuplicatePrefill = supply.again >= leastAgain
	c.AffinityPenalty = s.stray(r, h, supply.read)
	c.Interferes = s.intrudes(now, r, supply.read)
	if r.Pinned {
		c.FailurePenalty = time.Duration(s.trouble * float64(r.firstTokenTarget()))
	}
	if !s.service {
		c.TokenGap = s.gapAt(n)
	}
}
