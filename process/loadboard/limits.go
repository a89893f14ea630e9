package loadboard

import (
	"maps"
	"math"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Limit is the rate limit that a server last advertised.
type Limit struct {
	// PerSecond is in requests per second, for all instances together.
	PerSecond float64
	// Advertised is false if the server's responses no longer state a limit.
	Advertised bool
	// At is when the server stated it, by the local clock.
	At time.Time
}

// Limits holds the limits by server key.
type Limits map[uint32]Limit

// add merges other's limits; the newer one of each server is kept.
func (l Limits) add(other Limits) {
	for key, limit := range other {
		if held, known := l[key]; !known || limit.At.After(held.At) {
			l[key] = limit
		}
	}
}

// Encode returns the limits as messages, sorted by server key.
func (l Limits) Encode(now time.Time) []*lilacv1.ServerLimit {
	var messages []*lilacv1.ServerLimit
	for _, key := range slices.Sorted(maps.Keys(l)) {
		limit := l[key]
		age := max(now.Sub(limit.At), 0)
		messages = append(messages, &lilacv1.ServerLimit{Server: key, PerSecond: limit.PerSecond, Named: limit.Advertised, AgeMs: uint32(age.Milliseconds())})
	}
	return messages
}

// DecodeLimits decodes limits and ignores those that are NaN, infinite or negative.
func DecodeLimits(now time.Time, messages []*lilacv1.ServerLimit) Limits {
	limits := make(Limits, len(messages))
	for _, limit := range messages {
		perSecond := limit.GetPerSecond()
		if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
			continue
		}
		limits.add(Limits{limit.GetServer(): {
			PerSecond: perSecond, Advertised: limit.GetNamed(), At: now.Add(-time.Duration(limit.GetAgeMs()) * time.Millisecond),
		}})
	}
	return limits
}
