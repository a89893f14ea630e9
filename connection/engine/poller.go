package engine

import (
	"context"
	"sync"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	// callsPerSecond bounds the calls of an instance, and so their processor time,
	// whatever the number of servers; budget bounds their bytes: 1,100 instances
	// before 5,900 replicas must stay within what they may spend on control. Own
	// measurements come first; a report that is old counts little.
	callsPerSecond = 8
	// cacheEvery is which call of so many reads cache events instead of a load.
	cacheEvery  = 4
	pollTimeout = 2 * time.Second
	// pollWorkers bounds the polls under way, so that servers that hang hold up
	// no others.
	pollWorkers = 8
)

// ReportHandler gets what the poller reads; its calls come from several goroutines.
type ReportHandler interface {
	OnLoad(server string, load *Load)
	OnCacheEvents(server string, events []CacheEvent)
}

// Poller reads load reports and cache events of a set of servers in turn.
type Poller struct {
	client  *Client
	reports ReportHandler

	mu      sync.Mutex
	servers []*lilacv1.Server
	// engines are those of the servers that have a cache to tell of.
	engines []*lilacv1.Server
	// turn and engineTurn are the places of the last ones asked.
	turn, engineTurn int
	calls            uint64
	// loads and caches have half of the budget each, so that engines with much to
	// tell of their caches keep no load from being read.
	loads, caches budget
	// asked are the servers that have not answered their last poll.
	asked map[string]bool
	// after is the newest cache event read of each server.
	after map[string]uint64
}

// NewPoller returns a Poller that tells reports.
func NewPoller(client *Client, reports ReportHandler) *Poller {
	p := &Poller{client: client, reports: reports, after: make(map[string]uint64), asked: make(map[string]bool)}
	p.SetBudget(MeshPollBudget)
	return p
}

// SetBudget bounds what all polls may cost, in bytes a second.
func (p *Poller) SetBudget(bytesPerSecond int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads.perSecond = float64(bytesPerSecond) / 2
	p.caches.perSecond = float64(bytesPerSecond) / 2
}

// Watch replaces the set of servers.
func (p *Poller) Watch(servers []*lilacv1.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = servers
	p.engines = nil
	for _, server := range servers {
		if server.GetKind() == lilacv1.ServerKind_SERVER_KIND_ENGINE {
			p.engines = append(p.engines, server)
		}
	}
	known := make(map[string]uint64, len(servers))
	for _, server := range servers {
		known[server.GetName()] = p.after[server.GetName()]
	}
	p.after = known
}

// Run polls until ctx ends, within the budget and in turn.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second / callsPerSecond)
	defer ticker.Stop()
	workers := make(chan struct{}, pollWorkers)
	var running sync.WaitGroup
	defer running.Wait()
	var now time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now = <-ticker.C:
		}
		poll, ok := p.next(now)
		if !ok {
			continue
		}
		select {
		case workers <- struct{}{}:
		default:
			p.done(poll)
			continue
		}
		running.Go(func() {
			defer func() { <-workers }()
			defer p.done(poll)
			p.read(ctx, poll)
		})
	}
}

// poll is one call: to read the load of a server, or its cache events.
type poll struct {
	server *lilacv1.Server
	cache  bool
}

// next returns the poll whose turn it is and marks its server as asked. It
// tells false where there is none, its budget is spent, or its server has not
// answered the last one: two readers of the same events would look like a gap.
func (p *Poller) next(now time.Time) (poll, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	list, turn, cache := p.servers, &p.turn, false
	if p.calls%cacheEvery == 0 && len(p.engines) > 0 && p.caches.allows(now) {
		list, turn, cache = p.engines, &p.engineTurn, true
	}
	if len(list) == 0 || !cache && !p.loads.allows(now) {
		return poll{}, false
	}
	*turn = (*turn + 1) % len(list)
	server := list[*turn]
	if p.asked[server.GetName()] {
		return poll{}, false
	}
	p.asked[server.GetName()] = true
	return poll{server: server, cache: cache}, true
}

func (p *Poller) done(asked poll) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.asked, asked.server.GetName())
}

func (p *Poller) read(ctx context.Context, next poll) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if next.cache {
		p.readCache(ctx, next.server)
		return
	}
	p.readLoad(ctx, next.server)
}

func (p *Poller) readLoad(ctx context.Context, server *lilacv1.Server) {
	load, bytes, err := p.client.Load(ctx, server.GetAddress())
	p.spend(&p.loads, bytes)
	if err == nil {
		p.reports.OnLoad(server.GetName(), load)
	}
}

func (p *Poller) readCache(ctx context.Context, server *lilacv1.Server) {
	events, bytes, err := p.client.CacheEvents(ctx, server.GetAddress(), p.newest(server.GetName()))
	p.spend(&p.caches, bytes)
	if err != nil || len(events) == 0 {
		return
	}
	p.note(server.GetName(), events[len(events)-1].Sequence)
	p.reports.OnCacheEvents(server.GetName(), events)
}

func (p *Poller) spend(b *budget, body int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.spend(headerBytes + body)
}

func (p *Poller) newest(server string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.after[server]
}

func (p *Poller) note(server string, sequence uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, watched := p.after[server]; watched {
		p.after[server] = sequence
	}
}
