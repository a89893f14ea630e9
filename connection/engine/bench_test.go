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

// ignored takes reports for the benchmark.
type ignored struct{}

func (ignored) OnLoad(string, *Load)               {}
func (ignored) OnCacheEvents(string, []CacheEvent) {}

// BenchmarkPolls gives what the polls of one instance cost by the number of
// servers that it watches: bytes a second of the connections at the budget of
// calls, and processor time for each call, this side and the server's together.
// On kept connections, and on a new one for each call, which is what servers
// without the echo get and also those that are polled less often than
// connections are kept.
func BenchmarkPolls(b *testing.B) {
	for _, echo := range []bool{true, false} {
		name := map[bool]string{true: "kept", false: "fresh"}[echo]
		for _, servers := range []int{13, 25, 50, 100} {
			b.Run(fmt.Sprintf("%s/servers=%d", name, servers), func(b *testing.B) { benchPolls(b, servers, echo) })
		}
	}
}

func benchPolls(b *testing.B, servers int, echo bool) {
	answer := func(w http.ResponseWriter, r *http.Request) {
		if echo {
			w.Header().Set(upstream.RequestIDHeader, r.Header.Get(upstream.RequestIDHeader))
		}
		w.Header().Set("Content-Type", "application/json")
		if r.URL.Path == "/load" {
			fmt.Fprint(w, `{"running":14,"waiting":3,"slots":16,"kv_used":0.731,"measured_unix_ms":1796256000000}`)
			return
		}
		// About what an engine stores in three seconds at seven requests a second.
		fmt.Fprint(w, `{"events":[`+strings.Repeat(`{"seq":123456,"stored":["9ae16a3b2f90404f","c3a5c85c97cb3127"],"dropped":["b492b66fbe98f273"]},`, 6)+`{"seq":123457}]}`)
	}
	up := upstream.NewClient()
	defer up.Close()
	poller := NewPoller(NewClient(up), ignored{})
	var watched []*lilacv1.Server
	for i := range servers {
		server := httptest.NewServer(http.HandlerFunc(answer))
		defer server.Close()
		watched = append(watched, &lilacv1.Server{
			Name: fmt.Sprint("r", i), Kind: lilacv1.ServerKind_SERVER_KIND_ENGINE, Address: server.Listener.Addr().String(),
		})
	}
	poller.Watch(watched)
	now := time.Unix(1, 0)
	for b.Loop() {
		// A time that leaves room for each call; what they cost is measured.
		now = now.Add(time.Minute)
		if poll, ok := poller.next(now); ok {
			poller.read(b.Context(), poll)
			poller.done(poll)
		}
	}
	sent, received := up.ControlBytes()
	b.ReportMetric(float64(sent+received)/float64(b.N)*callsPerSecond, "poll-B/s")
	sent, received = up.ControlPackets()
	b.ReportMetric(float64(sent+received)*packets.HeaderBytes/float64(b.N)*callsPerSecond, "headers-B/s")
}
