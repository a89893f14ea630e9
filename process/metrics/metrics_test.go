package metrics

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a page of metrics whose beginning, which is all that some
// collectors keep, holds nothing but figures of the language's runtime.
func TestPageBeginsWithOwnCounters(t *testing.T) {
	is := is.New(t)
	registry := NewRegistry()
	e := NewEntry(registry)
	e.Request("alerts")
	e.FirstToken("alerts", 1)
	answer := httptest.NewRecorder()
	Handler(registry).ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	page := answer.Body.String()
	places := []int{
		strings.Index(page, "lilacbridge_requests_total{"),
		strings.Index(page, "lilacbridge_first_token_seconds_bucket{"),
		strings.Index(page, "go_goroutines "),
	}
	is.True(places[0] > 0)
	is.True(places[0] < places[1])
	is.True(places[1] < places[2])
}
