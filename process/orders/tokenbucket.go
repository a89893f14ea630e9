package orders

import "time"

// tokenBucket limits the rate of an operation.
type tokenBucket struct {
	perMinute int
	// capacity is the largest number of tokens.
	capacity  int
	tokens    float64
	updatedAt time.Time
}

func (b *tokenBucket) drain(now time.Time) { b.tokens, b.updatedAt = 0, now }

// available reports whether take would succeed.
func (b *tokenBucket) available(now time.Time) bool {
	b.tokens = min(float64(b.capacity), b.tokens+now.Sub(b.updatedAt).Minutes()*float64(b.perMinute))
	b.updatedAt = now
	return b.tokens >= 1
}

func (b *tokenBucket) take(now time.Time) bool {
	if !b.available(now) {
		return false
	}
	b.tokens--
	return true
}
