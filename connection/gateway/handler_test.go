package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Power comes back everywhere. Callers ask at once, are refused as not run and come
// back after Retry-After. Told 0.9 s whenever they asked, those of the first half
// second came back to instances that had no configuration yet; most ask only twice.
func TestCallersComeBackOnceAnInstanceHasStarted(t *testing.T) {
	is := is.New(t)
	for runs := time.Duration(0); runs < 5*time.Second; runs += 50 * time.Millisecond {
		back := runs + starting(runs)
		is.True(back >= startingRetry)
		is.True(starting(runs) >= startingLeast)
		is.True(starting(runs) <= startingRetry+notReadySpread)
	}
}
