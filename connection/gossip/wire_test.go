package gossip

import (
	"net"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/secret"
)

// countingListener counts the bytes, reads and writes of its connections.
type countingListener struct {
	net.Listener
	bytes, operations atomic.Int64
}

type countingConn struct {
	net.Conn
	l *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{conn, l}, err
}

func (c *countingConn) count(n int) {
	c.l.bytes.Add(int64(n))
	if n > 0 {
		c.l.operations.Add(1)
	}
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}

// BenchmarkFraming reports the bytes that one digest exchange adds to the two messages,
// and the number of reads and writes that it takes.
func BenchmarkFraming(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	counting := &countingListener{Listener: listener}
	id := link.Identity{Peer: link.Peer{Process: "entry-1"}, Keys: secret.StaticKeys(testKey)}
	mux := link.NewMux()
	g := New(Options{Self: member.Peer{Name: "entry-0"}})
	g.Register(mux)
	server := link.NewServer(id, mux)
	go server.Serve(counting)
	client := link.NewClient(listener.Addr().String(), id)
	b.Cleanup(func() {
		client.Close()
		listener.Close()
		server.Close()
	})
	d, reply := &lilacv1.Digest{Instance: "entry-1"}, &lilacv1.DigestReply{}
	call := func() {
		if err := client.Call(b.Context(), Method, d, reply); err != nil {
			b.Fatal(err)
		}
	}
	call()
	counting.bytes.Store(0)
	counting.operations.Store(0)
	for b.Loop() {
		call()
	}
	messages := proto.Size(d) + proto.Size(reply)
	b.ReportMetric(float64(counting.bytes.Load())/float64(b.N)-float64(messages), "framing-B/exchange")
	b.ReportMetric(float64(counting.operations.Load())/float64(b.N), "reads+writes/exchange")
}
