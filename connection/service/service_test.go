package service

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/connection/upstream"
)

// Guards against changes to a forwarded request, and against forwarding the caller's token or
// hop-by-hop headers.
func TestRequestsAreForwardedUnchanged(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s %s|%d|%v", r.Method, r.RequestURI, body, r.ContentLength, r.Header)
	}))
	defer server.Close()
	up := upstream.NewClient()
	defer up.Close()
	header := http.Header{
		"Authorization": {"Bearer secret"}, "X-Lilac-Class": {"urgent"}, "Connection": {"X-Hop, keep-alive"}, "X-Hop": {"1"},
		"Keep-Alive": {"5"}, "Te": {"trailers"}, "Accept": {"a", "b"}, "Idempotency-Key": {"k"},
	}
	cases := []struct {
		method, uri, body, want string
		nonIdempotent           bool
	}{
		{"GET", "/a//b/../c?x=%2F&y", "", "GET /a//b/../c?x=%2F&y |0|", false},
		{"POST", "/book", "berth 7", "POST /book berth 7|", false},
		{"POST", "/book", "berth 7", "POST /book berth 7|", true},
		{"DELETE", "/book", "", "DELETE /book |", true},
	}
	for _, c := range cases {
		t.Run(c.method+c.uri, func(t *testing.T) {
			is := is.New(t)
			resp, err := NewClient(up).Do(t.Context(), Call{
				Address: strings.TrimPrefix(server.URL, "http://"), Method: c.method, URI: c.uri, Header: header,
				Body: []byte(c.body), RequestID: "q-1", Attempt: &upstream.Attempt{}, NonIdempotent: c.nonIdempotent,
			})
			is.NoErr(err)
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.True(strings.HasPrefix(string(text), c.want))
			is.True(strings.Contains(string(text), "Accept:[a b]"))
			is.True(strings.Contains(string(text), "Idempotency-Key:[k]"))
			is.True(strings.Contains(string(text), "X-Request-Id:[q-1]"))
			for _, hidden := range []string{"secret", "Lilac", "Hop", "Keep-Alive", "Te:"} {
				is.True(!strings.Contains(string(text), hidden))
			}
		})
	}
}
