package relay

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// Guards against forwarding the beginning of an event that its server broke off, and against
// dropping bytes of a stream that is whole.
func TestStreamEndsInsideAnEvent(t *testing.T) {
	for name, c := range map[string]struct {
		stream, forwarded string
		inside            bool
	}{
		"whole":                   {"id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n", false},
		"whole, CRLF":             {"id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", false},
		"whole, CR":               {"id: 1\rdata: a\r\r", "id: 1\rdata: a\r\r", false},
		"empty":                   {"", "", false},
		"blank lines at the end":  {"data: a\n\n\n\n", "data: a\n\n\n\n", false},
		"comment at the end":      {"data: a\n\n: ping\n", "data: a\n\n: ping\n", false},
		"in a comment":            {"data: a\n\n: pi", "data: a\n\n", true},
		"in a field":              {"data: a\n\ndata: b", "data: a\n\n", true},
		"before the empty line":   {"data: a\n\ndata: b\n", "data: a\n\n", true},
		"in a CRLF":               {"data: a\r\n\r\ndata: b\r\n\r", "data: a\r\n\r\n", true},
		"in the first event":      {"data", "", true},
		"between events, CR only": {"data: a\r\rdata: b", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var events eventReader
			events.reset(iotest.OneByteReader(strings.NewReader(c.stream)))
			var forwarded bytes.Buffer
			var err error
			for err == nil {
				var event []byte
				event, err = events.next()
				forwarded.Write(event)
			}
			is.Equal(forwarded.String(), c.forwarded)
			is.Equal(errors.Is(err, io.ErrUnexpectedEOF), c.inside)
		})
	}
}
