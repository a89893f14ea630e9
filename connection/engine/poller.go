package engine

import (
	"context"
	"sync"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	// callsPerSecond is the budget of an instance for all its polls, whatever the
	// number of servers: 1,100 instances before 5,900 replicas must stay within
	// their bytes and processor time for control. Own measurements come first;
	// a report that is old counts little.
	callsPerSecond = 8
	// cacheEvery is which call of so many reads cache events instead of a load.
	cacheEvery  = 4
	pollTimeout = 2 * time.Second
	// pollWorkers bounds the polls under way, so that servers that hang hold up
	// no others.
	pollWorkers = 8
)

// Reports gets what the poller reads; its calls come from several goroutines.
type Reports interface {
	OnLoad(server string, load *Load)
	OnCacheEvents(server string, events []CacheEvent)
}

// Poller reads load reports and cache events of a set of servers in turn.
type Poller struct {
	client  *Client
	reports Reports

	mu      sync.Mutex
	servers []*lilacv1.Server
	// engines are those of the servers that have a cache to tell of.
	engines []*lilacv1.Server
	// turn and engineTurn are the places of the last ones asked.
	turn, engineTurn int
	calls            uint64
	// asked are the servers that have not answered their last poll.
	asked map[string]bool
	// after is the newest cache event read of each server.
	after map[string]uint64
}

// NewPoller returns a Poller that tells reports.
func NewPoller(client *Client, reports Reports) *Poller {
	return &Poller{client: client, reports: reports, after: make(map[string]uint64), asked: make(map[string]bool)}
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
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		poll, ok := p.next()
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
// tells false where there is none, or its server has not answered the last one:
// two readers of the same events would look like a gap.
func (p *Poller) next() (poll, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	list, turn, cache := p.servers, &p.turn, false
	if p.calls%cacheEvery == 0 && len(p.engines) > 0 {
		list, turn, cache = p.engines, &p.engineTurn, true
	}
	if len(list) == 0 {
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
	if load, err := p.client.Load(ctx, server.GetAddress()); err == nil {
		p.reports.OnLoad(server.GetName(), load)
	}
}

func (p *Poller) readCache(ctx context.Context, server *lilacv1.Server) {
	events, err := p.client.CacheEvents(ctx, server.GetAddress(), p.newest(server.GetName()))
	if err != nil || len(events) == 0 {
		return
	}
	p.note(server.GetName(), events[len(events)-1].Sequence)
	p.reports.OnCacheEvents(server.GetName(), events)
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
