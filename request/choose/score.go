package choose

import "time"

// CompletionTime costs the expected time until the whole answer is there.
type CompletionTime struct{}

var _ Scorer = CompletionTime{}

// Score implements Scorer.
func (CompletionTime) Score(r *Request, c *Candidate) float64 {
	return c.FirstToken.Seconds() + r.RemainingTokens*c.TokenGap.Seconds()
}

// Remote costs another data centre's time and volume.
type Remote struct{ Cost time.Duration }

var _ Scorer = Remote{}

// Score implements Scorer.
func (s Remote) Score(_ *Request, c *Candidate) float64 {
	if !c.Remote {
		return 0
	}
	return s.Cost.Seconds()
}

// Contention costs what the request adds to the gaps of those that run already:
// each of them waits a little longer for each of the new one's tokens.
type Contention struct {
	// Weight is the share of that time that counts.
	Weight float64
}

var _ Scorer = Contention{}

// Score implements Scorer.
func (s Contention) Score(r *Request, c *Candidate) float64 {
	if c.Limit <= 0 {
		return 0
	}
	return s.Weight * r.RemainingTokens * c.TokenGap.Seconds() * c.Load / c.Limit
}

// AffinityPenalty costs what the request does outside the servers that are kept for its kind.
type AffinityPenalty struct{}

var _ Scorer = AffinityPenalty{}

// Score implements Scorer.
func (AffinityPenalty) Score(_ *Request, c *Candidate) float64 { return c.AffinityPenalty.Seconds() }

// PrefillTime costs the engine's time that the request's prompt takes. Weight counts
// what it takes from others too: while all engines are busy, a prompt read twice
// delays everyone behind it, who then spread out and have theirs read twice.
type PrefillTime struct{ Weight float64 }

var _ Scorer = PrefillTime{}

// Score implements Scorer.
func (s PrefillTime) Score(_ *Request, c *Candidate) float64 {
	return s.Weight * c.PrefillTime.Seconds()
}

// LatenessRisk costs the danger of a late first token. A wait that is short against the
// target costs next to nothing, so that requests keep to the engines that hold
// their prompt; close to the target it costs as much as a prompt of 50,000 tokens.
type LatenessRisk struct{}

var _ Scorer = LatenessRisk{}

// Score implements Scorer.
func (LatenessRisk) Score(r *Request, c *Candidate) float64 {
	if r.FirstTokenTarget <= 0 {
		return c.FirstToken.Seconds()
	}
	waited := r.FirstTokenTarget - r.FirstTokenBudget
	share := (waited + c.FirstToken).Seconds() / r.FirstTokenTarget.Seconds()
	return share * share * share
}

// DecodeTime costs the time of the answer's tokens, at a share: a slower engine that
// keeps the targets does little harm.
type DecodeTime struct{ Weight float64 }

var _ Scorer = DecodeTime{}

// Score implements Scorer.
func (s DecodeTime) Score(r *Request, c *Candidate) float64 {
	return s.Weight * r.RemainingTokens * c.TokenGap.Seconds()
}

// FailurePenalty costs the failures that are to be expected, as time: a server that
// answers its liveness check well and fails part of its requests gets fewer.
type FailurePenalty struct{}

var _ Scorer = FailurePenalty{}

// Score implements Scorer.
func (FailurePenalty) Score(_ *Request, c *Candidate) float64 { return c.FailurePenalty.Seconds() }

// DisplacementOrder costs the server's place in the order that all instances take.
type DisplacementOrder struct{}

var _ Scorer = DisplacementOrder{}

// Score implements Scorer.
func (DisplacementOrder) Score(_ *Request, c *Candidate) float64 { return c.DisplacementOrder }
