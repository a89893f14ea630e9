package upstream

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a Retry-After that overflows and counts as none or as negative.
func TestHugeRetryAfterIsBounded(t *testing.T) {
	for text, want := range map[string]time.Duration{"9223372036854775807": time.Hour, "18446744074": time.Hour, "7": 7 * time.Second} {
		e := NewStatusError(http.StatusServiceUnavailable, http.Header{"Retry-After": {text}}, nil)
		is.New(t).Equal(e.RetryAfter, want)
	}
}
