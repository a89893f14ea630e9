package choose

import "time"

// CompletionTime costs the expected time until the answer is complete.
type CompletionTime struct{}

var _ Scorer = CompletionTime{}

// Score implements Scorer.
func (CompletionTime) Score(r *Request, c *Candidate) float64 {
	return c.FirstToken.Seconds() + r.RemainingTokens*c.TokenGap.Seconds()
}

// Remote adds Cost to servers in another region, for latency and traffic.
type Remote struct{ Cost time.Duration }

var _ Scorer = Remote{}

// Score implements Scorer.
func (s Remote) Score(_ *Request, c *Candidate) float64 {
	if !c.Remote {
		return 0
	}
	return s.Cost.Seconds()
}

// Contention costs the time that the request adds to the token gaps of the requests
// already running: each of them waits a little longer for each of its tokens.
type Contention struct {
	// Weight is the fraction of that time that is counted.
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

// AffinityPenalty costs running the request outside the servers preferred for its prompt
// or its kind.
type AffinityPenalty struct{}

var _ Scorer = AffinityPenalty{}

// Score implements Scorer.
func (AffinityPenalty) Score(_ *Request, c *Candidate) float64 { return c.AffinityPenalty.Seconds() }

// PrefillTime costs the engine time that the prompt takes. Weight accounts for the effect
// on other requests: while all engines are busy, a prompt processed twice delays the
// requests behind it, which then spread to other engines and have their own prompts
// processed twice.
type PrefillTime struct{ Weight float64 }

var _ Scorer = PrefillTime{}

// Score implements Scorer.
func (s PrefillTime) Score(_ *Request, c *Candidate) float64 {
	return s.Weight * c.PrefillTime.Seconds()
}

// LatenessRisk costs the risk of a late first token, as the cube of the expected time to
// first token relative to its target. A short wait costs almost nothing, so that requests
// stay on the engines that have their prompt cached; close to the target it costs as much
// as a prompt of 50,000 tokens.
type LatenessRisk struct{}

var _ Scorer = LatenessRisk{}

// Score implements Scorer.
func (LatenessRisk) Score(r *Request, c *Candidate) float64 {
	if r.FirstTokenTarget <= 0 {
		return c.FirstToken.Seconds()
	}
	elapsed := r.FirstTokenTarget - r.FirstTokenBudget
	fraction := (elapsed + c.FirstToken).Seconds() / r.FirstTokenTarget.Seconds()
	return fraction * fraction * fraction
}

// DecodeTime costs the time to generate the remaining tokens. A Weight below 1
// reflects that a slower engine that keeps the targets does little harm.
type DecodeTime struct{ Weight float64 }

var _ Scorer = DecodeTime{}

// Score implements Scorer.
func (s DecodeTime) Score(r *Request, c *Candidate) float64 {
	return s.Weight * r.RemainingTokens * c.TokenGap.Seconds()
}

// FailurePenalty costs the expected failures, expressed as time: a server that passes its
// liveness check but fails part of its requests gets fewer of them.
type FailurePenalty struct{}

var _ Scorer = FailurePenalty{}

// Score implements Scorer.
func (FailurePenalty) Score(_ *Request, c *Candidate) float64 { return c.FailurePenalty.Seconds() }

// DisplacementOrder costs the server's position in the order that is common to all
// instances.
type DisplacementOrder struct{}

var _ Scorer = DisplacementOrder{}

// Score implements Scorer.
func (DisplacementOrder) Score(_ *Request, c *Candidate) float64 { return c.DisplacementOrder }
