package httpserver

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a header of short lines that counts for less than half of its bytes, and against one
// that counts for more than them: a line has two separators at least, a colon and a line feed.
func TestHeaderSizeCountsSeparators(t *testing.T) {
	is := is.New(t)
	text := "GET / HTTP/1.1\nHost:h\n" + strings.Repeat("a:\n", 1000) + "\n"
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	is.NoErr(err)
	bytes, lines := HeaderSize(r)
	is.Equal(bytes, len(text)-1)
	is.Equal(lines, 1002)
}
