package engine

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/connection/upstream"
)

// Guards against an engine that states a load that makes no sense and passes for an idle one.
func TestLoadReportThatMakesNoSenseIsAnError(t *testing.T) {
	up := upstream.NewClient()
	defer up.Close()
	for report, sound := range map[string]bool{
		`{"running":1,"waiting":0,"slots":8}`:                                     true,
		`{"running":-1,"waiting":0,"slots":8}`:                                    false,
		`{"running":9223372036854775807,"waiting":9223372036854775807,"slots":8}`: false,
		`{"running":1,"waiting":0,"slots":-8}`:                                    false,
		`{"running":1e999,"waiting":0,"slots":8}`:                                 false,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, report) }))
		_, _, err := NewClient(up).Load(t.Context(), server.Listener.Addr().String())
		server.Close()
		is.New(t).Equal(err == nil, sound)
	}
}

// Guards against an odd event that is read again for ever and hides those after it.
func TestOddCacheEventHidesNoOther(t *testing.T) {
	up := upstream.NewClient()
	defer up.Close()
	for _, odd := range []string{`7`, `null`, `{"seq":-1}`, `{"seq":2,"stored":[7]}`, `{"seq":1e999}`, `{}`} {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"events":[{"seq":1,"stored":["a"]},%s,{"seq":3,"stored":["b"]}]}`, odd)
		}))
		events, _, err := NewClient(up).CacheEvents(t.Context(), server.Listener.Addr().String(), 0)
		server.Close()
		is.NoErr(err)
		is.Equal(len(events), 2)
		is.Equal(events[1].Sequence, uint64(3))
	}
}
