package gossip

import (
	"fmt"
	"testing"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/packets"
)

var fiveDataCenters = []string{"dakar-a", "thies-a", "saint-louis-a", "chubut-a", "rionegro-a"}

// fullDigest returns a digest of maximum size: a cutoff for every pool of the data centre,
// and 16 teams. Its promises are valid for the time that 220 entries in each data centre
// require.
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

// BenchmarkWire reports the link traffic in bytes per second of the busiest entry and of
// the average entry, including framing and packet headers. The entries run in real time
// in one process and five data centres; all sizes run concurrently. From 30 entries on,
// a relay has its full number of neighbours.
//
// Digests of newly started entries are incomplete for one validity period, 16.5 s at
// these sizes, and are then pushed once. The settling time covers that.
func BenchmarkWire(b *testing.B) {
	const settleTime, seconds = 20 * time.Second, 9
	sizes := []int{30, 60, 90, 120}
	fleets := make(map[int][]*node)
	for _, n := range sizes {
		fleets[n] = startNodesIn(b, fiveDataCenters, time.Now, n, "", fullDigest)
	}
	time.Sleep(settleTime)
	before := make(map[*node]traffic)
	for _, n := range sizes {
		for _, x := range fleets[n] {
			before[x] = trafficOf(x)
		}
	}
	time.Sleep(seconds * time.Second)
	for _, n := range sizes {
		var busiest, sum traffic
		for _, x := range fleets[n] {
			one := trafficOf(x).sub(before[x])
			sum = sum.add(one)
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

// traffic is the traffic of an entry's links, both directions added up.
type traffic struct{ messages, bytes, headers uint64 }

func trafficOf(x *node) traffic {
	bytesOut, bytesIn := x.traffic.Bytes()
	packetsOut, packetsIn := x.traffic.Packets()
	return traffic{x.gossip.Stats().Bytes, bytesOut + bytesIn, (packetsOut + packetsIn) * packets.HeaderBytes}
}

func (s traffic) add(o traffic) traffic {
	return traffic{s.messages + o.messages, s.bytes + o.bytes, s.headers + o.headers}
}

func (s traffic) sub(o traffic) traffic {
	return traffic{s.messages - o.messages, s.bytes - o.bytes, s.headers - o.headers}
}
