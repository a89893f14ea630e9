// Package retry keeps retries from multiplying a fault: each first try earns a
// share of a retry, and a retry spends a whole one.
package retry

// Burst is how many retries may follow each other before first tries earn more.
const Burst = 20

// Budget is a bucket of retries. The zero value allows nothing; use New.
type Budget struct {
	share   float64
	level   float64
	earned  float64
	retries uint64
}

// New returns a full budget that earns share retries with each first try.
func New(share float64) *Budget {
	return &Budget{share: share, level: Burst}
}

// Earn counts a first try.
func (b *Budget) Earn() {
	b.earned += b.share
	b.level = min(b.level+b.share, Burst)
}

// Take spends one retry; it returns false where none is left.
func (b *Budget) Take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	b.retries++
	return true
}

// WithinBudget is the invariant: all retries fit what was earned plus the burst.
func (b *Budget) WithinBudget() bool { return float64(b.retries) <= b.earned+Burst }
