package serverpath

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/secret"
)

// BenchmarkConnection opens a connection and exchanges a kilobyte, directly and through another
// instance.
func BenchmarkConnection(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	address := listener.Addr().String()
	keys := secret.StaticKeys([]byte("one key of all"))
	options := Options{Self: Peer{Name: "b"}, DataCenter: func(string) (string, bool) { return "dc", true }, Logger: hclog.NewNullLogger()}
	direct := (&net.Dialer{}).DialContext
	mux := link.NewMux()
	New(options).Register(mux, direct)
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	links := link.NewServer(link.Identity{Peer: link.Peer{Process: "b"}, Keys: keys}, mux)
	go links.Serve(peer)
	client := link.NewClient(peer.Addr().String(), link.Identity{Peer: link.Peer{Process: "a"}, Keys: keys})
	defer func() { client.Close(); peer.Close(); links.Close() }()
	options.Self.Name, options.Connector = "a", func(string) link.Connector { return client }
	dialer := New(options)
	dialer.SetPeers([]Peer{{"b", peer.Addr().String(), "dc"}})
	for name, lost := range map[string]bool{"direct": false, "forwarded": true} {
		b.Run(name, func(b *testing.B) {
			if lost {
				dialer.core.Dialled(time.Now().Add(time.Hour), address, false, true)
			}
			for range b.N {
				exchange(b, dialer, direct, address)
			}
		})
	}
}

func exchange(b *testing.B, dialer *Dialer, direct DialFunc, address string) {
	conn, err := dialer.Dial(context.Background(), direct, "tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	data := make([]byte, 1024)
	if _, err := conn.Write(data); err != nil {
		b.Fatal(err)
	}
	if _, err := io.ReadFull(conn, data); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkForwarders orders the instances to ask.
func BenchmarkForwarders(b *testing.B) {
	for _, instances := range []int{8, 200, 1100} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			c := NewCore(Peer{Name: "x", DataCenter: "a"})
			var peers []Peer
			for i := range instances {
				peers = append(peers, Peer{Name: fmt.Sprint("e", i), DataCenter: string(rune('a' + i%5))})
			}
			c.SetPeers(peers)
			for range b.N {
				c.Forwarders(epoch, server, "b")
			}
		})
	}
}
