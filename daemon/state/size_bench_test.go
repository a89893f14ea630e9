package state

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/ledger"
)

// filledMachine returns a machine with the given numbers of teams, each set by a revision of
// its own, and of ended keys, half of which are tombstones.
func filledMachine(b *testing.B, teams, keys int) *Machine {
	m := NewMachine(0, ledger.Limits{Entries: max(1, keys/2), Tombstones: max(1, keys)})
	index := uint64(0)
	apply := func(c *lilacv1.Command) {
		data, err := proto.Marshal(c)
		if err != nil {
			b.Fatal(err)
		}
		index++
		m.Apply(index, data)
	}
	for i := range teams {
		change := &lilacv1.Change{Op: &lilacv1.Change_SetTeam{SetTeam: &lilacv1.Team{Name: fmt.Sprint("cooperative-", i), Weight: 1, TokensPerSecond: 5000}}}
		apply(&lilacv1.Command{Op: &lilacv1.Command_Propose{Propose: &lilacv1.Proposal{CommandId: fmt.Sprint("command-", i), Who: "awa", Statement: fmt.Sprint("SET TEAM cooperative-", i), Changes: []*lilacv1.Change{change}, ProposedUnixMs: 1}}})
	}
	for i := range keys {
		key, attempt := fmt.Sprint("key-", i), fmt.Sprint("attempt-", i)
		apply(&lilacv1.Command{Op: &lilacv1.Command_Claim{Claim: &lilacv1.ClaimRequest{Team: "coop", Key: key, Digest: digest(1), Instance: "e", Incarnation: "e/1", Attempt: attempt, NowUnixMs: 1}}})
		apply(&lilacv1.Command{Op: &lilacv1.Command_Outcome{Outcome: &lilacv1.OutcomeRequest{Team: "coop", Key: key, Attempt: attempt, State: lilacv1.ClaimState_CLAIM_STATE_RAN, NowUnixMs: 1, Answer: &lilacv1.StoredAnswer{Status: 200, Body: make([]byte, 200)}}}})
	}
	return m
}

// BenchmarkSize measures the memory of a state process's machine, the size of its snapshot, how
// long Capture blocks the log and how long the encoding takes.
func BenchmarkSize(b *testing.B) {
	for _, c := range []struct{ teams, keys int }{{45000, 10000}, {45000, 50000}, {45000, 100000}, {45000, 200000}} {
		b.Run(fmt.Sprintf("teams=%d/keys=%d", c.teams, c.keys), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			m := filledMachine(b, c.teams, c.keys)
			runtime.GC()
			runtime.ReadMemStats(&after)
			size, longest := 0, time.Duration(0)
			for b.Loop() {
				start := time.Now()
				encode := m.Capture()
				longest = max(longest, time.Since(start))
				data, err := encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "heap-MB")
			b.ReportMetric(float64(longest.Microseconds())/1000, "longest-capture-ms")
			b.ReportMetric(float64(size)/(1<<20), "snapshot-MB")
		})
	}
}
