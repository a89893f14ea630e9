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

// Stray costs what the request does outside the servers that are kept for its kind.
type Stray struct{}

var _ Scorer = Stray{}

// Score implements Scorer.
func (Stray) Score(_ *Request, c *Candidate) float64 { return c.Stray.Seconds() }

// Work costs the engine's time that the request's prompt takes. Weight counts
// what it takes from others too: while all engines are busy, a prompt read twice
// delays everyone behind it, who then spread out and have theirs read twice.
type Work struct{ Weight float64 }

var _ Scorer = Work{}

// Score implements Scorer.
func (s Work) Score(_ *Request, c *Candidate) float64 { return s.Weight * c.Work.Seconds() }

// Risk costs the danger of a late first token. A wait that is short against the
// target costs next to nothing, so that requests keep to the engines that hold
// their prompt; close to the target it costs as much as a prompt of 50,000 tokens.
type Risk struct{}

var _ Scorer = Risk{}

// Score implements Scorer.
func (Risk) Score(r *Request, c *Candidate) float64 {
	if r.Target <= 0 {
		return c.First.Seconds()
	}
	waited := r.Target - r.FirstBy
	share := (waited + c.First).Seconds() / r.Target.Seconds()
	return share * share * share
}

// Pace costs the time of the answer's tokens, at a share: a slower engine that
// keeps the targets does little harm.
type Pace struct{ Weight float64 }

var _ Scorer = Pace{}

// Score implements Scorer.
func (s Pace) Score(r *Request, c *Candidate) float64 { return s.Weight * r.Left * c.Gap.Seconds() }

// Trouble costs the failures that are to be expected, as time: a server that
// answers its liveness check well and fails part of its requests gets fewer.
type Trouble struct{}

var _ Scorer = Trouble{}

// Score implements Scorer.
func (Trouble) Score(_ *Request, c *Candidate) float64 { return c.Trouble.Seconds() }

// Ordered costs the server's place in the order that all instances take.
type Ordered struct{}

var _ Scorer = Ordered{}

// Score implements Scorer.
func (Ordered) Score(_ *Request, c *Candidate) float64 { return c.Order }
