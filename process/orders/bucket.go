package orders

import "time"

// bucket limits how often the weight store is drawn on. It holds one minute's
// worth at most.
type bucket struct {
	perMinute int
	tokens    float64
	filled    time.Time
}

func (b *bucket) empty(now time.Time) { b.tokens, b.filled = 0, now }

func (b *bucket) take(now time.Time) bool {
	limit := float64(b.perMinute)
	b.tokens = min(limit, b.tokens+now.Sub(b.filled).Minutes()*limit)
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
