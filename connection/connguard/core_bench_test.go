package connguard

import (
	"fmt"
	"testing"
)

// BenchmarkRequest measures what the account costs for one ordinary request, with many connections.
func BenchmarkRequest(b *testing.B) {
	for _, connections := range []int{100, 1600} {
		b.Run(fmt.Sprint(connections), func(b *testing.B) {
			c := NewCore(Limits{Connections: connections, HeadBytes: 16 << 20})
			var m *Member
			for range connections {
				m, _ = c.Open("a")
			}
			for b.Loop() {
				c.Charge(m, Cost(500, 12))
				c.Begin(m)
				c.Release(m)
				c.End(m)
			}
		})
	}
}

// BenchmarkEviction measures a connection that another one makes room for, with as many hosts as
// connections, the worst case.
func BenchmarkEviction(b *testing.B) {
	for _, hosts := range []int{100, 400, 1600} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			c := NewCore(Limits{Connections: hosts, HeadBytes: 16 << 20})
			for host := range hosts {
				c.Open(fmt.Sprint(host))
			}
			for b.Loop() {
				m, evicted := c.Open("new")
				c.Close(evicted)
				c.Close(m)
				c.Open(evicted.owner.host)
			}
		})
	}
}
