package gossip

import (
	"fmt"
	"testing"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/packets"
)

var fiveDataCenters = []string{"dakar-a", "thies-a", "saint-louis-a", "chubut-a", "rionegro-a"}

// fullDigest is that of an entry at full size: something held back in every pool
// of its data centre, and 16 teams. Its word binds as long as 220 entries in each
// data centre ask for.
func fullDigest(i int) *lilacv1.Digest {
	const pools, teams, allTeams = 8, 16, 45000
	d := &lilacv1.Digest{PromiseMs: 25500}
	for pool := range pools {
		name := fmt.Sprintf("model-%d/%s", pool, fiveDataCenters[i%len(fiveDataCenters)])
		d.Cutoffs = append(d.Cutoffs, &lilacv1.PoolCutoff{Pool: name, HeldBackTier: 2, AdmittedTier: 2, WaitingTier: 3})
	}
	for team := range teams {
		d.Spends = append(d.Spends, &lilacv1.TeamSpend{Team: fmt.Sprint("team-", (i*teams+team)%allTeams), Tokens: 200000})
	}
	return d
}

// BenchmarkWire gives the bytes a second of the links of the busiest entry and of
// the mean one, by entries that run for real in one process, in five data centres:
// messages with their framing, and the headers of the packets. From 30 entries on
// a relay has all its neighbours. All sizes run at the same time. What begins is incomplete for a promise, 16.5 s at these sizes,
// and then pushed once; that is over before it counts.
func BenchmarkWire(b *testing.B) {
	const settle, seconds = 20 * time.Second, 9
	sizes := []int{30, 60, 90, 120}
	fleets := make(map[int][]*node)
	for _, n := range sizes {
		fleets[n] = startIn(b, fiveDataCenters, time.Now, n, "", fullDigest)
	}
	time.Sleep(settle)
	before := make(map[*node]spent)
	for _, n := range sizes {
		for _, x := range fleets[n] {
			before[x] = spentBy(x)
		}
	}
	time.Sleep(seconds * time.Second)
	for _, n := range sizes {
		var busiest, sum spent
		for _, x := range fleets[n] {
			one := spentBy(x).minus(before[x])
			sum = sum.plus(one)
			if one.bytes+one.headers > busiest.bytes+busiest.headers {
				busiest = one
			}
		}
		b.Run(fmt.Sprint("entries=", n), func(b *testing.B) {
			b.ReportMetric(float64(busiest.messages)/seconds, "max-message-B/s")
			b.ReportMetric(float64(busiest.bytes)/seconds, "max-framed-B/s")
			b.ReportMetric(float64(busiest.headers)/seconds, "max-headers-B/s")
			b.ReportMetric(float64(busiest.bytes+busiest.headers)/seconds, "max-B/s")
			b.ReportMetric(float64(sum.bytes+sum.headers)/seconds/float64(n), "mean-B/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// spent is what the links of an entry cost, both directions together.
type spent struct{ messages, bytes, headers uint64 }

func spentBy(x *node) spent {
	bytesOut, bytesIn := x.traffic.Bytes()
	packetsOut, packetsIn := x.traffic.Packets()
	return spent{x.gossip.Stats().Bytes, bytesOut + bytesIn, (packetsOut + packetsIn) * packets.HeaderBytes}
}

func (s spent) plus(o spent) spent {
	return spent{s.messages + o.messages, s.bytes + o.bytes, s.headers + o.headers}
}

func (s spent) minus(o spent) spent {
	return spent{s.messages - o.messages, s.bytes - o.bytes, s.headers - o.headers}
}
