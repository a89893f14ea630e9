package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/version/config"
	"github.com/lilacbridge/lilacbridge/version/model"
)

var (
	teamSizes    = []int{5000, 15000, 30000, Teams}
	replicaSizes = []int{13, 500, 2000, Replicas}
	nodeSizes    = []int{8, 64, 256, Nodes}
	epoch        = time.Unix(1000, 0)
)

const models = 8

func snapshot(teams, servers int) *lilacv1.Snapshot {
	s := &lilacv1.Snapshot{Revision: 1}
	for tier := range uint32(model.Tiers) {
		s.Classes = append(s.Classes, &lilacv1.Class{Name: fmt.Sprint("class-", tier), Tier: tier, FirstTokenMs: 420, BetweenTokensMs: 65, SharePermille: 50})
	}
	for i := range teams {
		s.Teams = append(s.Teams, &lilacv1.Team{Name: fmt.Sprint("team-", i), Weight: 1})
	}
	for i := range servers {
		s.Servers = append(s.Servers, &lilacv1.Server{
			Name: fmt.Sprint("server-", i), Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255), DataCenter: fmt.Sprint("dc-", i%5),
			Kind: lilacv1.ServerKind_SERVER_KIND_ENGINE, Serves: []string{fmt.Sprint("model-", i%models)}, Slots: 32,
		})
	}
	return s
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// reportRetainedHeap reports the heap retained by the value that build returns.
func reportRetainedHeap(b *testing.B, build func() any) {
	before := heap()
	retained := build()
	after := heap()
	runtime.KeepAlive(retained)
	b.ReportMetric(float64(after)-float64(before), "heap-B")
	b.ReportMetric(0, "ns/op")
}

func newCore(snapshot *lilacv1.Snapshot) policy.Core {
	weights := settings.Policy{AttainmentWeight: 1, WasteWeight: 0.5, RetryShare: 0.1}
	core := policy.New(policy.Options{Instance: "entry-1", DataCenter: "dc-0", Incarnation: "1", Seed: 1, Weights: weights})
	core.Step(epoch, policy.Configured{View: model.NewView(snapshot)})
	return core
}

func BenchmarkViewHeap(b *testing.B) {
	load := func(teams, servers int) func() any {
		return func() any {
			h := config.NewFollower()
			if err := h.Load(snapshot(teams, servers)); err != nil {
				b.Fatal(err)
			}
			return h
		}
	}
	for _, n := range teamSizes {
		b.Run(fmt.Sprint("teams/n=", n), func(b *testing.B) { reportRetainedHeap(b, load(n, 0)) })
	}
	for _, n := range replicaSizes {
		b.Run(fmt.Sprint("servers/n=", n), func(b *testing.B) { reportRetainedHeap(b, load(0, n)) })
	}
}

func BenchmarkCoreHeap(b *testing.B) {
	for _, n := range replicaSizes {
		s := snapshot(100, n)
		b.Run(fmt.Sprint("n=", n), func(b *testing.B) { reportRetainedHeap(b, func() any { return newCore(s) }) })
	}
}

func BenchmarkTeamChange(b *testing.B) {
	for _, n := range teamSizes {
		b.Run(fmt.Sprint("n=", n), func(b *testing.B) {
			h := config.NewFollower()
			if err := h.Load(snapshot(n, 0)); err != nil {
				b.Fatal(err)
			}
			change := []*lilacv1.Change{{Op: &lilacv1.Change_SetTeam{SetTeam: &lilacv1.Team{Name: "team-1", Weight: 2}}}}
			for b.Loop() {
				if err := h.Apply([]*lilacv1.Revision{{Number: h.Revision() + 1, Changes: change}}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkCoreRequest measures one request in the policy core: arrival, start,
// first token and end.
func BenchmarkCoreRequest(b *testing.B) {
	for _, n := range replicaSizes {
		b.Run(fmt.Sprint("n=", n), func(b *testing.B) {
			core := newCore(snapshot(100, n))
			id, now := policy.ID(0), epoch
			for b.Loop() {
				id++
				now = now.Add(time.Millisecond)
				start := firstStart(core.Step(now, policy.Arrival{ID: id, Class: "class-1", Team: "team-1", Target: "model-0", Digest: fmt.Sprint(id), PromptTokens: 200, Idempotent: true}))
				if start == nil {
					b.Fatal("the request was not started immediately")
				}
				core.Step(now, policy.Sent{ID: id, Attempt: start.Attempt})
				core.Step(now, policy.Tokens{ID: id, Attempt: start.Attempt, Count: 1})
				core.Step(now, policy.Finished{ID: id, Attempt: start.Attempt})
			}
		})
	}
}

func firstStart(actions []policy.Action) *policy.Start {
	for _, action := range actions {
		if start, ok := action.(policy.Start); ok {
			return &start
		}
	}
	return nil
}

// BenchmarkCoreDigest measures one received digest while the digests of n instances are known.
func BenchmarkCoreDigest(b *testing.B) {
	for _, n := range nodeSizes {
		b.Run(fmt.Sprint("n=", n), func(b *testing.B) {
			core := newCore(snapshot(100, 100))
			sequence := uint64(0)
			digest := func(i int) policy.PeerDigest {
				sequence++
				d := &lilacv1.Digest{Instance: fmt.Sprint("entry-", i+2), DataCenter: "dc-0", Incarnation: "1", Sequence: sequence}
				for pool := range models {
					d.Cutoffs = append(d.Cutoffs, &lilacv1.PoolCutoff{Pool: fmt.Sprintf("model-%d/dc-0", pool), HeldBackTier: 2, AdmittedTier: 2, WaitingTier: 3})
				}
				return policy.PeerDigest{Digest: d}
			}
			for i := range n {
				core.Step(epoch, digest(i))
			}
			i := 0
			for b.Loop() {
				i++
				core.Step(epoch.Add(time.Duration(i)*time.Millisecond), digest(i%n))
			}
		})
	}
}
