package engine

import (
	"context"
	"sync"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	// callsPerSecond bounds the CPU time of an instance's polls independently of the number
	// of servers, and budget bounds their bytes: with 1,100 instances and 5,900 replicas,
	// each must stay within its limit on control traffic. Infrequent polls suffice, since
	// the instance's own measurements take precedence and old reports have little weight.
	callsPerSecond = 8
	// cacheInterval is the number of calls of which one reads cache events and the others
	// read loads.
	cacheInterval = 4
	pollTimeout   = 2 * time.Second
	// pollWorkers is the maximum number of concurrent polls. It is above 1 so that
	// hanging servers do not delay the others.
	pollWorkers = 8
)

// ReportHandler receives the reports that a Poller reads. Its methods are called
// concurrently.
type ReportHandler interface {
	OnLoad(server string, load *Load)
	OnCacheEvents(server string, events []CacheEvent)
}

// Poller reads load reports and cache events of a set of servers in round-robin order.
type Poller struct {
	client  *Client
	handler ReportHandler

	mu      sync.Mutex
	servers []*lilacv1.Server
	// engines are the servers of kind engine, which report cache events.
	engines []*lilacv1.Server
	// lastServer and lastEngine are the indexes of the last polls.
	lastServer, lastEngine int
	calls                  uint64
	// loadBudget and cacheBudget are each half of the budget, so that large reports of
	// cache events don't prevent load polls.
	loadBudget, cacheBudget budget
	// inFlight holds the servers with a poll in progress.
	inFlight map[string]bool
	// lastSequence is the sequence number of the newest cache event read from each server.
	lastSequence map[string]uint64
}

// NewPoller returns a Poller with MeshPollBudget that passes reports to handler.
func NewPoller(client *Client, handler ReportHandler) *Poller {
	p := &Poller{client: client, handler: handler, lastSequence: make(map[string]uint64), inFlight: make(map[string]bool)}
	p.SetBudget(MeshPollBudget)
	return p
}

// SetBudget limits the traffic of all polls together, in bytes per second.
func (p *Poller) SetBudget(bytesPerSecond int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loadBudget.bytesPerSecond = float64(bytesPerSecond) / 2
	p.cacheBudget.bytesPerSecond = float64(bytesPerSecond) / 2
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
		known[server.GetName()] = p.lastSequence[server.GetName()]
	}
	p.lastSequence = known
}

// Run polls the servers until ctx ends.
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
			p.run(ctx, poll)
		})
	}
}

// poll is one call, which reads the cache events of a server or else its load.
type poll struct {
	server      *lilacv1.Server
	cacheEvents bool
}

// next returns the next poll and marks its server as in flight. It returns false if there
// is none, its budget is spent, or the previous poll of its server is in progress:
// concurrent readers of the same cache events would look like a gap in the sequence.
func (p *Poller) next(now time.Time) (poll, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	list, last, cache := p.servers, &p.lastServer, false
	if p.calls%cacheInterval == 0 && len(p.engines) > 0 && p.cacheBudget.allows(now) {
		list, last, cache = p.engines, &p.lastEngine, true
	}
	if len(list) == 0 || !cache && !p.loadBudget.allows(now) {
		return poll{}, false
	}
	*last = (*last + 1) % len(list)
	server := list[*last]
	if p.inFlight[server.GetName()] {
		return poll{}, false
	}
	p.inFlight[server.GetName()] = true
	return poll{server: server, cacheEvents: cache}, true
}

func (p *Poller) done(finished poll) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inFlight, finished.server.GetName())
}

func (p *Poller) run(ctx context.Context, next poll) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if next.cacheEvents {
		p.readCache(ctx, next.server)
		return
	}
	p.readLoad(ctx, next.server)
}

func (p *Poller) readLoad(ctx context.Context, server *lilacv1.Server) {
	load, bytes, err := p.client.Load(ctx, server.GetAddress())
	p.spend(&p.loadBudget, bytes)
	if err == nil {
		p.handler.OnLoad(server.GetName(), load)
	}
}

func (p *Poller) readCache(ctx context.Context, server *lilacv1.Server) {
	events, bytes, err := p.client.CacheEvents(ctx, server.GetAddress(), p.sequence(server.GetName()))
	p.spend(&p.cacheBudget, bytes)
	if err != nil || len(events) == 0 {
		return
	}
	p.setLastSequence(server.GetName(), events[len(events)-1].Sequence)
	p.handler.OnCacheEvents(server.GetName(), events)
}

func (p *Poller) spend(b *budget, body int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.spend(pollOverheadBytes + body)
}

func (p *Poller) sequence(server string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastSequence[server]
}

func (p *Poller) setLastSequence(server string, sequence uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, watched := p.lastSequence[server]; watched {
		p.lastSequence[server] = sequence
	}
}
