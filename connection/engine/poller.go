package engine

import (
	"context"
	"sync"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	pollInterval = time.Second
	pollTimeout  = 2 * time.Second
	// pollWorkers bounds the polls under way, whatever the size of the pool.
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
	// after is the newest cache event read of each server.
	after map[string]uint64
}

// NewPoller returns a Poller that tells reports.
func NewPoller(client *Client, reports Reports) *Poller {
	return &Poller{client: client, reports: reports, after: make(map[string]uint64)}
}

// Watch replaces the set of servers.
func (p *Poller) Watch(servers []*lilacv1.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = servers
	known := make(map[string]uint64, len(servers))
	for _, server := range servers {
		known[server.GetName()] = p.after[server.GetName()]
	}
	p.after = known
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.round(ctx)
		}
	}
}

// round polls each server once.
func (p *Poller) round(ctx context.Context) {
	p.mu.Lock()
	servers := p.servers
	p.mu.Unlock()
	queue := make(chan *lilacv1.Server)
	var workers sync.WaitGroup
	for range min(pollWorkers, len(servers)) {
		workers.Go(func() {
			for server := range queue {
				p.poll(ctx, server)
			}
		})
	}
	for _, server := range servers {
		queue <- server
	}
	close(queue)
	workers.Wait()
}

func (p *Poller) poll(ctx context.Context, server *lilacv1.Server) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := p.client.Load(ctx, server.GetAddress())
	if err != nil {
		return
	}
	p.reports.OnLoad(server.GetName(), load)
	if server.GetKind() != lilacv1.ServerKind_SERVER_KIND_ENGINE {
		return
	}
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
