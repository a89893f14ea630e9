// Package retry keeps retries from amplifying an outage: each first attempt adds a fraction
// of a retry to a budget, and each retry takes a whole one from it.
package retry

// Burst is the capacity of a budget: how many retries may follow each other before first
// attempts must add more.
const Burst = 20

// Budget is a token bucket of retries, not safe for concurrent use. The zero value allows
// no retries; use New.
type Budget struct {
	share   float64
	level   float64
	earned  float64
	retries uint64
}

// New returns a full budget to which each first attempt adds share retries.
func New(share float64) *Budget {
	return &Budget{share: share, level: Burst}
}

// Earn adds the share of a first attempt.
func (b *Budget) Earn() {
	b.earned += b.share
	b.level = min(b.level+b.share, Burst)
}

// Take takes one retry from the budget; it returns false if less than one is left.
func (b *Budget) Take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	b.retries++
	return true
}

// Left returns the number of retries left.
func (b *Budget) Left() float64 { return b.level }

// WithinBudget reports whether the invariant holds that all retries so far fit what was
// earned plus Burst.
func (b *Budget) WithinBudget() bool { return float64(b.retries) <= b.earned+Burst }
