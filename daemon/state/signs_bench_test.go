package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/lilacbridge/lilacbridge/connection/packets"
)

// BenchmarkSigns measures the network traffic of the signs of life that a relay sends to its
// followers, at most 8, in bytes per second including packet headers. It first waits until
// followers that started at a state process have switched to the relay, which takes up to 10 s.
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
