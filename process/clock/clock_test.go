package clock

import (
	"testing"

	"github.com/matryer/is"
)

func TestBootNeverGoesBack(t *testing.T) {
	is := is.New(t)
	last := Boot()
	is.True(last > 0)
	for range 1000 {
		now := Boot()
		is.True(now >= last)
		last = now
	}
}
