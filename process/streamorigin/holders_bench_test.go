package streamorigin

import (
	"strconv"
	"testing"
)

// BenchmarkHolders measures the choice of an origin's holders in a fleet of 1,100 instances.
func BenchmarkHolders(b *testing.B) {
	peers := peersIn(5, 220)
	for i := range b.N {
		Holders(peers[0], peers, strconv.Itoa(i))
	}
}

// BenchmarkAsked measures the choice of the instances that are asked for an origin in such a fleet.
func BenchmarkAsked(b *testing.B) {
	peers := peersIn(5, 220)
	for i := range b.N {
		Asked(peers[0], peers, strconv.Itoa(i))
	}
}
