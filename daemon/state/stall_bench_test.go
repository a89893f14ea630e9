package state

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/replica"
	"github.com/lilacbridge/lilacbridge/process/wal"
)

// noPeers is the transport of a group with one member.
type noPeers struct{}

func (noPeers) Send(string, []*lilacv1.RaftMessage) {}

// BenchmarkStall measures how long a snapshot of a large machine blocks the log: the longest
// latency of a proposal while several snapshots are taken.
func BenchmarkStall(b *testing.B) {
	const proposals, every = 4000, 1000
	m := filledMachine(b, 45000, 200000)
	folder, err := wal.OSFolder(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	node, err := replica.Open(replica.Options{Name: "state-1", Address: "state-1", Bootstrap: true, Heartbeat: 100 * time.Millisecond,
		Election: time.Second, Folder: folder, Machine: m, Transport: noPeers{}, SnapshotEvery: every})
	if err != nil {
		b.Fatal(err)
	}
	defer node.Close()
	for node.Status().Role != replica.Leader {
		time.Sleep(10 * time.Millisecond)
	}
	for b.Loop() {
		longest, sum := time.Duration(0), time.Duration(0)
		for i := range proposals {
			claim := &lilacv1.ClaimRequest{Team: "coop", Key: fmt.Sprint("stall-", i), Digest: digest(1), Instance: "e", Incarnation: "e/1", Attempt: fmt.Sprint(i), NowUnixMs: 1}
			data, err := proto.Marshal(&lilacv1.Command{Op: &lilacv1.Command_Claim{Claim: claim}})
			if err != nil {
				b.Fatal(err)
			}
			start := time.Now()
			if _, err := node.Propose(b.Context(), data); err != nil {
				b.Fatal(err)
			}
			wait := time.Since(start)
			longest, sum = max(longest, wait), sum+wait
		}
		b.ReportMetric(float64(longest.Microseconds())/1000, "longest-ms")
		b.ReportMetric(float64(sum.Microseconds())/1000/proposals, "mean-ms")
	}
}
