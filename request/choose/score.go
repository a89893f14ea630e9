package choose

import "time"

// Finish costs the expected time until the whole answer is there.
type Finish struct{}

var _ Scorer = Finish{}

// Score implements Scorer.
func (Finish) Score(r *Request, c *Candidate) float64 {
	return c.First.Seconds() + r.Left*c.Gap.Seconds()
}

// Remote costs another data centre's time and volume.
type Remote struct{ Price time.Duration }

var _ Scorer = Remote{}

// Score implements Scorer.
func (s Remote) Score(_ *Request, c *Candidate) float64 {
	if !c.Remote {
		return 0
	}
	return s.Price.Seconds()
}

// Crowd costs what the request adds to the gaps of those that run already:
// each of them waits a little longer for each of the new one's tokens.
type Crowd struct {
	// Weight is the share of that time that counts.
	Weight float64
}

var _ Scorer = Crowd{}

// Score implements Scorer.
func (s Crowd) Score(r *Request, c *Candidate) float64 {
	if c.Limit <= 0 {
		return 0
	}
	return s.Weight * r.Left * c.Gap.Seconds() * c.Load / c.Limit
}
