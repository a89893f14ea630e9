package policy

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/request/choose"
)

// candidate describes the server as it would be with the request on it.
func (s *server) candidate(r *request, now time.Time, index int, h *homes) choose.Candidate {
	c := s.baseCandidate(r, now, index)
	if s.skipped || s.startBudget < 1 {
		c.Unavailable = true
	}
	if c.Unavailable {
		return c
	}
	n := c.Load + 1
	if preemptible := s.preemptibleSlots(r, c.Limit); preemptible > 0 {
		c.Limit += preemptible
		n = min(n, float64(s.slots))
	}
	s.fillCosts(&c, r, now, h, n)
	return c
}

// displacingCandidate describes the engine as it would be if the request displaced bulk.
func (s *server) displacingCandidate(r *request, now time.Time, index int, h *homes) choose.Candidate {
	c := s.baseCandidate(r, now, index)
	if s.displaceBudget < 1 {
		c.Unavailable = true
	}
	if c.Unavailable {
		return c
	}
	n := min(c.Load+1, float64(s.slots))
	c.Load -= s.bulkLoad() + displaceOvercommit*float64(s.slots)
	c.DisplacementOrder = s.displaceOrder()
	s.fillCosts(&c, r, now, h, n)
	return c
}

// baseCandidate returns what does not depend on the request's prompt.
func (s *server) baseCandidate(r *request, now time.Time, index int) choose.Candidate {
	return choose.Candidate{
		Name: s.name, Index: index, Hash: xxhash.Sum64String(r.Digest + s.name), Remote: s.remote, Unavailable: s.unavailable(now) || !s.maySend(now, r),
		HasTrial: s.trial != "" || s.peerTrials > 0, NoMemory: !s.hasMemory(now, r),
		Load: s.load() + s.reservedSlots(r), Limit: s.limit(s.gapTarget(r.pool, r.tokenGapTarget()), r.tokenGapTarget()),
	}
}

// fillCosts fills in the expected latencies and costs of the request as one of n on the server.
func (s *server) fillCosts(c *choose.Candidate, r *request, now time.Time, h *homes, n float64) {
	source := h.sourceAt(s, r)
	c.FirstToken = s.firstToken(n, source.prefill, r.engineLevel()) + s.fetchTime(source.fetched)
	c.PrefillTime = r.pool.prefillTime(source.cost())
	c.DuplicatePrefill = source.duplicate >= minDuplicatePrefill
	c.AffinityPenalty = s.lanePenalty(r, h, source.prefill)
	c.Interferes = s.interferes(now, r, source.prefill)
	if r.Pinned {
		c.FailurePenalty = number.Duration(s.failureRate * float64(r.firstTokenTarget()))
	}
	if !s.service {
		c.TokenGap = s.gapAt(n)
	}
}
