package policy

import (
	"fmt"
	"testing"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/model"
)

func coreWithPool(size int) *core {
	snapshot := &lilacv1.Snapshot{
		Revision: 1,
		Classes: []*lilacv1.Class{
			{Name: "alerts", FirstTokenMs: 420, BetweenTokensMs: 65},
			{Name: "officers", Tier: 1, FirstTokenMs: 800, BetweenTokensMs: 65},
			{Name: "batch", Tier: 3, FirstTokenMs: 5000, BetweenTokensMs: 200},
		},
		Teams: []*lilacv1.Team{{Name: "a"}},
	}
	for i := range size {
		snapshot.Servers = append(snapshot.Servers, &lilacv1.Server{Name: fmt.Sprintf("r%04d", i), DataCenter: "dakar-a", Serves: []string{"redaction"}, Slots: 16})
	}
	c := New(Options{Instance: "e1", DataCenter: "dakar-a", Seed: 1, Weights: settings.Policy{RetryShare: 0.1}}).(*core)
	c.Step(epoch, Configured{View: model.NewView(snapshot)})
	return c
}

// BenchmarkDecision measures a request's whole life in the core: arrival with the choice of a
// server, send, four tokens, and the end.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []int{13, 500, 5900} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := coreWithPool(size)
			a := Arrival{Class: "alerts", Team: "a", Target: "redaction", PromptTokens: 320, Idempotent: true}
			for i := range 20 {
				a.Prefix = append(a.Prefix, Block{Hash: uint64(i + 1), End: 16 * (i + 1)})
			}
			b.ReportAllocs()
			now := epoch
			for i := range b.N {
				now = now.Add(time.Millisecond)
				a.ID = ID(i + 1)
				c.Step(now, a)
				c.Step(now, Sent{ID: a.ID, Attempt: 1})
				for range 4 {
					now = now.Add(time.Millisecond)
					c.Step(now, Tokens{ID: a.ID, Attempt: 1, Count: 1})
				}
				c.Step(now, Finished{ID: a.ID, Attempt: 1})
			}
		})
	}
}

// BenchmarkDecisionToken measures one token of an answer.
func BenchmarkDecisionToken(b *testing.B) {
	c := coreWithPool(13)
	a := arrival(1, "alerts")
	c.Step(epoch, a)
	b.ReportAllocs()
	now := epoch
	for range b.N {
		now = now.Add(40 * time.Millisecond)
		c.Step(now, Tokens{ID: 1, Attempt: 1, Count: 1})
	}
}

// BenchmarkDecisionFullQueue measures an arrival while 2,000 requests wait and no server has a
// free slot.
func BenchmarkDecisionFullQueue(b *testing.B) {
	c := coreWithPool(13)
	for i := range 2000 {
		a := arrival(ID(i+1), "alerts")
		a.Digest = fmt.Sprint(i)
		c.Step(epoch, a)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		a := arrival(1, "alerts")
		a.ID, a.Digest = ID(10000+i), "x"
		c.Step(epoch, a)
		c.Step(epoch, Canceled{ID: a.ID})
	}
}
