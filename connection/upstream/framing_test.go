package upstream

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against taking a body that ends with its connection for one with an end of its own.
func TestFramingOfResponse(t *testing.T) {
	for _, c := range []struct {
		name, method string
		length       int64
		encoding     []string
		want         Framing
	}{
		{"length", http.MethodGet, 12, nil, FramedByLength},
		{"empty", http.MethodGet, 0, nil, FramedByLength},
		{"chunks", http.MethodPost, -1, []string{"chunked"}, FramedByChunks},
		{"neither", http.MethodPost, -1, nil, Unframed},
		{"no body to delimit", http.MethodHead, -1, nil, FramedByLength},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			resp := &http.Response{ContentLength: c.length, TransferEncoding: c.encoding, Request: &http.Request{Method: c.method}}
			is.Equal(FramingOf(resp), c.want)
		})
	}
}
