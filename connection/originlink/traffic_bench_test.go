package originlink

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/version/admission"
)

// BenchmarkTraffic measures the bytes of one copy of an origin on a link, both ways and without
// packet headers, when each copy is a call of its own as in a large fleet.
func BenchmarkTraffic(b *testing.B) {
	is := is.New(b)
	keys := secret.StaticKeys([]byte("one key of all"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	mux := link.NewMux()
	holder := New(Options{Self: member.Peer{Name: "b"}})
	holder.Register(mux)
	server := link.NewServer(link.Identity{Peer: link.Peer{Process: "b"}, Keys: keys}, mux)
	go server.Serve(listener)
	traffic := &link.Traffic{}
	client := link.NewClient(listener.Addr().String(), link.Identity{Peer: link.Peer{Process: "a"}, Keys: keys, Traffic: traffic})
	b.Cleanup(func() { client.Close(); listener.Close(); server.Close() })
	versions := func(string) admission.Record { return admission.Record{} }
	l := New(Options{Self: member.Peer{Name: "a"}, Versions: versions, Dial: func(string) link.Caller { return client }})
	l.SetPeers([]member.Peer{{Name: "b"}})
	origin := v1
	origin.Service, origin.Version = "huvo11a", "v1.12"
	for i := range b.N {
		is.NoErr(l.Record(b.Context(), "9c41d07be2a3"+strconv.Itoa(1000+i%1000)+strconv.Itoa(i), origin, true, 1, 10*time.Second))
		for holder.Len() <= i && i < 30000 {
			time.Sleep(10 * time.Microsecond)
		}
	}
	sent, received := traffic.Bytes()
	b.ReportMetric(float64(sent)/float64(b.N), "B-sent/copy")
	b.ReportMetric(float64(received)/float64(b.N), "B-received/copy")
}
