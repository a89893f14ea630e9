package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/lilacbridge/lilacbridge/connection/packets"
)

// BenchmarkSigns gives the bytes a second on the wire, headers included, of the
// signs of life that a relay gives to those who follow it, 8 at most. Who began
// at a state process comes to the relay within 10 s.
func BenchmarkSigns(b *testing.B) {
	const settle, seconds = 12 * time.Second, 10
	for _, following := range []int{2, 4, 6, 8} {
		b.Run(fmt.Sprint("followers=", following), func(b *testing.B) {
			_, all := group(b, 1)
			entries := startWatchers(b, all, following+1)
			time.Sleep(settle)
			before := make(map[*follower]uint64)
			for _, e := range entries {
				before[e] = wireBytes(e)
			}
			time.Sleep(seconds * time.Second)
			busiest := uint64(0)
			for _, e := range entries {
				busiest = max(busiest, wireBytes(e)-before[e])
			}
			b.ReportMetric(float64(busiest)/seconds, "signs-B/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func wireBytes(f *follower) uint64 {
	sent, received := f.traffic.Bytes()
	out, in := f.traffic.Packets()
	return sent + received + (out+in)*packets.HeaderBytes
}
