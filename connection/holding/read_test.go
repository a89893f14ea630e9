package holding

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a body of unknown length that takes several times what is held for it: its pieces and
// the whole need room together.
func TestBodyOfUnknownLengthIsJoinedWithinTheAccount(t *testing.T) {
	for name, c := range map[string]struct {
		bytes int
		err   error
	}{
		"nothing":                 {0, nil},
		"one piece":               {readStep - 1, nil},
		"two pieces":              {readStep + 1, nil},
		"room for both":           {limit/4 + 1, nil},
		"room for one":            {limit / 2, ErrNoRoom},
		"larger than the account": {2 * limit, ErrNoRoom},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := NewStore(Options{Bytes: limit})
			hold := store.Open(Owner{})
			text := strings.Repeat("b", c.bytes)
			body, err := hold.ReadBody(t.Context(), io.MultiReader(strings.NewReader(text)), -1, time.Millisecond)
			is.Equal(err, c.err)
			if err == nil {
				is.True(bytes.Equal(body, []byte(text)))
				is.Equal(hold.Held()[Body], int64(c.bytes))
			}
			hold.Close()
			is.Equal(store.Stats().Held[Body], int64(0))
		})
	}
}
