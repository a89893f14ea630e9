package metrics

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Some collectors keep only the beginning of the page. It must contain lilacbridge's own
// counters rather than the metrics of the Go runtime.
func TestPageBeginsWithOwnCounters(t *testing.T) {
	is := is.New(t)
	registry := NewRegistry()
	e := NewEntry(registry)
	e.Request("alerts")
	e.FirstToken("alerts", 1)
	recorder := httptest.NewRecorder()
	Handler(registry).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	page := recorder.Body.String()
	offsets := []int{
		strings.Index(page, "lilacbridge_requests_total{"),
		strings.Index(page, "lilacbridge_first_token_seconds_bucket{"),
		strings.Index(page, "go_goroutines "),
	}
	is.True(offsets[0] > 0)
	is.True(offsets[0] < offsets[1])
	is.True(offsets[1] < offsets[2])
}
