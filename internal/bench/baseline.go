package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	baselineAttempts = 3
	baselineEject    = 2 * time.Second
	// maxPriorityQueue is the queue capacity of an instance with strict priority.
	maxPriorityQueue = 256
)

// picker chooses one of the servers.
type picker func(b *baseline, servers []string) string

// baseline is a policy as in common routers: it sends each request immediately to
// the picked server, with up to three attempts. It avoids servers that the platform
// lists as leaving, and a crashed server for two seconds.
type baseline struct {
	pick     picker
	queued   bool
	view     *model.View
	random   *rand.Rand
	requests map[policy.ID]*baselineRequest
	inFlight map[string]int
	ejected  map[string]time.Time
	leaving  map[string]bool
	next     int
	waiting  [model.Tiers][]*baselineRequest
	running  map[string]int
	actions  []policy.Action
}

type baselineRequest struct {
	policy.Arrival
	tier     int
	server   string
	attempt  int
	received int
	sent     bool
}

func newBaseline(pick picker, queued bool) policyFactory {
	return func(options policy.Options) policy.Core {
		return &baseline{
			pick: pick, queued: queued, view: model.NewView(nil), random: rand.New(rand.NewPCG(options.Seed, 7)),
			requests: map[policy.ID]*baselineRequest{}, inFlight: map[string]int{}, ejected: map[string]time.Time{}, leaving: map[string]bool{}, running: map[string]int{},
		}
	}
}

func pickRandom(b *baseline, servers []string) string { return servers[b.random.IntN(len(servers))] }

func pickRoundRobin(b *baseline, servers []string) string {
	b.next++
	return servers[b.next%len(servers)]
}

func pickLeast(b *baseline, servers []string) string {
	offset := b.random.IntN(len(servers))
	best := servers[offset]
	for i := range servers {
		if s := servers[(i+offset)%len(servers)]; b.inFlight[s] < b.inFlight[best] {
			best = s
		}
	}
	return best
}

// Step implements policy.Core.
func (b *baseline) Step(now time.Time, event policy.Event) []policy.Action {
	b.actions = b.actions[:0]
	switch e := event.(type) {
	case policy.Configured:
		b.view = e.View
	case policy.Arrival:
		b.arrive(now, e)
	case policy.ServerState:
		b.leaving[e.Server] = e.Leaving
	case policy.Canceled:
		b.cancel(now, e.ID)
	case policy.Sent:
		if t := b.current(e.ID, e.Attempt); t != nil {
			t.sent = true
		}
	case policy.Tokens:
		if t := b.current(e.ID, e.Attempt); t != nil {
			t.received += e.Count
		}
	case policy.Finished:
		if t := b.current(e.ID, e.Attempt); t != nil {
			b.release(t)
			delete(b.requests, e.ID)
			b.drain(now)
		}
	case policy.Failed:
		b.failed(now, e)
	}
	return b.actions
}

// Digest implements policy.Core; the digest of a baseline is empty.
func (b *baseline) Digest(time.Time) *lilacv1.Digest { return &lilacv1.Digest{} }

// Loads implements policy.Core; the report of a baseline is empty.
func (b *baseline) Loads(time.Time) loadboard.Report { return loadboard.Report{} }

// Stats implements policy.Core.
func (b *baseline) LendRetries(time.Time, string, int) int { return 0 }

func (b *baseline) Stats() policy.Stats { return policy.Stats{} }

func (b *baseline) current(id policy.ID, attempt int) *baselineRequest {
	if t := b.requests[id]; t != nil && t.attempt == attempt && t.server != "" {
		return t
	}
	return nil
}

func (b *baseline) arrive(now time.Time, a policy.Arrival) {
	t := &baselineRequest{Arrival: a, tier: int(b.view.Classes[a.Class].GetTier())}
	if b.view.Convictions[a.Digest] != nil {
		b.refuse(t, lilacv1.ErrorKind_ERROR_KIND_CONVICTED)
		return
	}
	b.requests[a.ID] = t
	if !b.queued {
		b.send(now, t)
		return
	}
	b.waiting[t.tier] = append(b.waiting[t.tier], t)
	b.drain(now)
	b.shed()
}

// drain starts waiting requests, most urgent tier first, while this instance's
// static share of the slots is not used up.
func (b *baseline) drain(now time.Time) {
	if !b.queued {
		return
	}
	for tier := range b.waiting {
		kept := b.waiting[tier][:0]
		for _, t := range b.waiting[tier] {
			if b.hasSlot(t.Target) {
				b.send(now, t)
			} else {
				kept = append(kept, t)
			}
		}
		b.waiting[tier] = kept
	}
}

func (b *baseline) hasSlot(target string) bool {
	slots := 0
	for _, s := range b.view.Pools[target] {
		slots += int(s.GetSlots())
	}
	return b.running[target] < max(slots/instanceCount, 1)
}

func (b *baseline) shed() {
	sum := 0
	for _, queue := range b.waiting {
		sum += len(queue)
	}
	for tier := len(b.waiting) - 1; tier >= 0 && sum > maxPriorityQueue; tier-- {
		for len(b.waiting[tier]) > 0 && sum > maxPriorityQueue {
			last := len(b.waiting[tier]) - 1
			b.refuse(b.waiting[tier][last], lilacv1.ErrorKind_ERROR_KIND_OVERLOADED)
			b.waiting[tier] = b.waiting[tier][:last]
			sum--
		}
	}
}

func (b *baseline) send(now time.Time, t *baselineRequest) {
	var open []string
	for _, s := range b.view.Pools[t.Target] {
		name := s.GetName()
		if now.After(b.ejected[name]) && !b.leaving[name] && name != t.server {
			open = append(open, name)
		}
	}
	if len(open) == 0 {
		b.refuse(t, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE)
		return
	}
	t.server = b.pick(b, open)
	t.attempt++
	b.inFlight[t.server]++
	b.running[t.Target]++
	b.actions = append(b.actions, policy.Start{ID: t.ID, Server: t.server, Attempt: t.attempt})
}

func (b *baseline) release(t *baselineRequest) {
	b.inFlight[t.server]--
	b.running[t.Target]--
}

func (b *baseline) cancel(now time.Time, id policy.ID) {
	t := b.requests[id]
	if t == nil {
		return
	}
	delete(b.requests, id)
	if i := slices.Index(b.waiting[t.tier], t); i >= 0 {
		b.waiting[t.tier] = slices.Delete(b.waiting[t.tier], i, i+1)
		return
	}
	b.release(t)
	b.actions = append(b.actions, policy.Stop{ID: id, Server: t.server, Attempt: t.attempt})
	b.drain(now)
}

func (b *baseline) failed(now time.Time, e policy.Failed) {
	t := b.current(e.ID, e.Attempt)
	if t == nil {
		return
	}
	b.release(t)
	if e.Crashed || !e.Sent {
		b.ejected[t.server] = now.Add(baselineEject)
	}
	maySend := t.Idempotent || e.Refused || !e.Sent && !t.sent
	if maySend && t.received == 0 && t.attempt < baselineAttempts {
		b.send(now, t)
	} else {
		b.refuse(t, lilacv1.ErrorKind_ERROR_KIND_BACKEND_FAILED)
	}
	b.drain(now)
}

func (b *baseline) refuse(t *baselineRequest, kind fault.Kind) {
	delete(b.requests, t.ID)
	if t.received > 0 {
		b.actions = append(b.actions, policy.Broken{ID: t.ID, Kind: kind})
		return
	}
	b.actions = append(b.actions, policy.Refuse{ID: t.ID, Kind: kind})
}
