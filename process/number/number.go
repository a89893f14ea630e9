// Package number converts floating-point numbers to integers with the same result on every machine.
//
// The language leaves a conversion that is out of range, or of NaN, to the implementation: a time
// too long to be represented becomes 292 years on arm64 and minus 292 years on x86-64. The functions
// of this package return the nearest value of the type, and 0 for NaN. Within the range they round
// toward 0, as the language does.
package number

import (
	"math"
	"time"
)

// MaxDuration is the longest time that this package returns, and its negative the shortest. Several
// such times can be added without an overflow.
const MaxDuration time.Duration = 1 << 60

// Int converts f to an int.
func Int(f float64) int {
	switch {
	case math.IsNaN(f):
		return 0
	case f >= math.MaxInt:
		return math.MaxInt
	case f <= math.MinInt:
		return math.MinInt
	}
	return int(f)
}

// Uint32 converts f to a uint32.
func Uint32(f float64) uint32 {
	switch {
	case !(f > 0):
		return 0
	case f >= math.MaxUint32:
		return math.MaxUint32
	}
	return uint32(f)
}

// Uint64 converts f to a uint64.
func Uint64(f float64) uint64 {
	switch {
	case !(f > 0):
		return 0
	case f >= math.MaxUint64:
		return math.MaxUint64
	}
	return uint64(f)
}

// Duration converts nanoseconds to a time.
func Duration(nanoseconds float64) time.Duration {
	switch {
	case math.IsNaN(nanoseconds):
		return 0
	case nanoseconds >= float64(MaxDuration):
		return MaxDuration
	case nanoseconds <= -float64(MaxDuration):
		return -MaxDuration
	}
	return time.Duration(nanoseconds)
}

// Seconds converts seconds to a time.
func Seconds(seconds float64) time.Duration { return Duration(seconds * float64(time.Second)) }
