package loadboard

import (
	"maps"
	"math"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Limit is what a server last said of how many requests it takes.
type Limit struct {
	// PerSecond is in requests a second, of all instances together.
	PerSecond float64
	// Named is false where its answers name no limit any more.
	Advertised bool
	// At is when it said so, by the clock of who holds the word.
	At time.Time
}

// Limits are the limits of servers, by key.
type Limits map[uint32]Limit

// add takes in other's limits where they are newer.
func (l Limits) add(other Limits) {
	for key, limit := range other {
		if held, known := l[key]; !known || limit.At.After(held.At) {
			l[key] = limit
		}
	}
}

// Encode makes the messages of the limits.
func (l Limits) Encode(now time.Time) []*lilacv1.ServerLimit {
	var messages []*lilacv1.ServerLimit
	for _, key := range slices.Sorted(maps.Keys(l)) {
		limit := l[key]
		age := max(now.Sub(limit.At), 0)
		messages = append(messages, &lilacv1.ServerLimit{Server: key, PerSecond: limit.PerSecond, Named: limit.Advertised, AgeMs: uint32(age.Milliseconds())})
	}
	return messages
}

// DecodeLimits reads the messages of limits; those that are no numbers are left out.
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
