package engine

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/packets"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
)

// discardReports is a ReportHandler that does nothing.
type discardReports struct{}

func (discardReports) OnLoad(string, *Load)               {}
func (discardReports) OnCacheEvents(string, []CacheEvent) {}

// BenchmarkPolls measures the cost of the polls of one instance by the number of servers:
// bytes per second at callsPerSecond, and CPU time per call of client and server together.
// Connections are reused ("kept") or new for each call ("fresh"), as for servers that do not
// echo request ids or are polled less often than the idle timeout.
func BenchmarkPolls(b *testing.B) {
	for _, echo := range []bool{true, false} {
		name := map[bool]string{true: "kept", false: "fresh"}[echo]
		for _, servers := range []int{13, 25, 50, 100} {
			b.Run(fmt.Sprintf("%s/servers=%d", name, servers), func(b *testing.B) { benchPolls(b, servers, echo) })
		}
	}
}

func benchPolls(b *testing.B, servers int, echo bool) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		if echo {
			w.Header().Set(upstream.RequestIDHeader, r.Header.Get(upstream.RequestIDHeader))
		}
		w.Header().Set("Content-Type", "application/json")
		if r.URL.Path == "/load" {
			fmt.Fprint(w, `{"running":14,"waiting":3,"slots":16,"kv_used":0.731,"measured_unix_ms":1796256000000}`)
			return
		}
		// About the events of an engine in three seconds at seven requests per second.
		fmt.Fprint(w, `{"events":[`+strings.Repeat(`{"seq":123456,"stored":["9ae16a3b2f90404f","c3a5c85c97cb3127"],"dropped":["b492b66fbe98f273"]},`, 6)+`{"seq":123457}]}`)
	}
	up := upstream.NewClient()
	defer up.Close()
	poller := NewPoller(NewClient(up), discardReports{})
	var watched []*lilacv1.Server
	for i := range servers {
		server := httptest.NewServer(http.HandlerFunc(handler))
		defer server.Close()
		watched = append(watched, &lilacv1.Server{
			Name: fmt.Sprint("r", i), Kind: lilacv1.ServerKind_SERVER_KIND_ENGINE, Address: server.Listener.Addr().String(),
		})
	}
	poller.Watch(watched)
	now := time.Unix(1, 0)
	for b.Loop() {
		// Enough simulated time for the budget to allow each call.
		now = now.Add(time.Minute)
		if poll, ok := poller.next(now); ok {
			poller.run(b.Context(), poll)
			poller.done(poll)
		}
	}
	sent, received := up.ControlBytes()
	b.ReportMetric(float64(sent+received)/float64(b.N)*callsPerSecond, "poll-B/s")
	sent, received = up.ControlPackets()
	b.ReportMetric(float64(sent+received)*packets.HeaderBytes/float64(b.N)*callsPerSecond, "headers-B/s")
}
