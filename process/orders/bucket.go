package orders

import "time"

// bucket limits how often something is done.
type bucket struct {
	perMinute int
	// most is what it holds at most.
	most   int
	tokens float64
	filled time.Time
}

func (b *bucket) empty(now time.Time) { b.tokens, b.filled = 0, now }

// holds tells whether take would.
func (b *bucket) holds(now time.Time) bool {
	b.tokens = min(float64(b.most), b.tokens+now.Sub(b.filled).Minutes()*float64(b.perMinute))
	b.filled = now
	return b.tokens >= 1
}

func (b *bucket) take(now time.Time) bool {
	if !b.holds(now) {
		return false
	}
	b.tokens--
	return true
}
