package number

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against results that differ between kinds of machines, such as a negative time where the
// exact one is too long.
func TestConversionsSaturate(t *testing.T) {
	cases := []struct {
		f        float64
		int      int
		uint32   uint32
		uint64   uint64
		duration time.Duration
	}{
		{math.NaN(), 0, 0, 0, 0},
		{math.Inf(1), math.MaxInt, math.MaxUint32, math.MaxUint64, MaxDuration},
		{math.Inf(-1), math.MinInt, 0, 0, -MaxDuration},
		{1e300, math.MaxInt, math.MaxUint32, math.MaxUint64, MaxDuration},
		{-1e300, math.MinInt, 0, 0, -MaxDuration},
		{1 << 64, math.MaxInt, math.MaxUint32, math.MaxUint64, MaxDuration},
		{1<<64 - 1<<11, math.MaxInt, math.MaxUint32, 1<<64 - 1<<11, MaxDuration},
		{1 << 63, math.MaxInt, math.MaxUint32, 1 << 63, MaxDuration},
		{1<<63 - 1<<10, 1<<63 - 1<<10, math.MaxUint32, 1<<63 - 1<<10, MaxDuration},
		{-1 << 63, math.MinInt, 0, 0, -MaxDuration},
		{1 << 32, 1 << 32, math.MaxUint32, 1 << 32, 1 << 32},
		{1<<32 - 0.5, 1<<32 - 1, math.MaxUint32, 1<<32 - 1, 1<<32 - 1},
		{2.9, 2, 2, 2, 2},
		{0, 0, 0, 0, 0},
		{-0.9, 0, 0, 0, 0},
		{-1.5, -1, 0, 0, -1},
		{math.SmallestNonzeroFloat64, 0, 0, 0, 0},
	}
	for _, c := range cases {
		is := is.New(t)
		is.Equal(Int(c.f), c.int)
		is.Equal(Uint32(c.f), c.uint32)
		is.Equal(Uint64(c.f), c.uint64)
		is.Equal(Duration(c.f), c.duration)
	}
}

func TestSecondsAreTimes(t *testing.T) {
	is := is.New(t)
	is.Equal(Seconds(1.5), 1500*time.Millisecond)
	is.Equal(Seconds(-2), -2*time.Second)
	is.Equal(Seconds(math.Inf(1)), MaxDuration)
	is.Equal(Seconds(math.NaN()), time.Duration(0))
}

// Guards against a sum of times that is negative because each of them was too long.
func TestSaturatedTimesCanBeAdded(t *testing.T) {
	is := is.New(t)
	is.True(Seconds(1e30)+Seconds(1e30)+Seconds(1e30) > MaxDuration)
	is.True(time.Unix(1_800_000_000, 0).Add(MaxDuration).After(time.Unix(1_800_000_000, 0)))
}
