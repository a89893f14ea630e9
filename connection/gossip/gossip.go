// Package gossip runs the membership protocol of an entry instance: it exchanges
// digests with other entries over connection/link and polls the platform's instance list.
package gossip

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

// Method is the link method of a digest exchange.
const Method = "entry.digest"

const (
	// exchangeTimeout bounds one digest exchange.
	exchangeTimeout = time.Second
	// ownDigestInterval is the longest interval between two builds of the own digest.
	ownDigestInterval = 500 * time.Millisecond
)

// Options configure a Gossip. The callbacks run sequentially and in order; they must not
// call the Gossip.
type Options struct {
	// Self identifies the entry; Address is that of its link.
	Self member.Peer
	// Entries are the peers of the settings.
	Entries []settings.Peer
	// Interval is the time between two exchanges in a small cluster; 0 means
	// member.Interval.
	Interval time.Duration
	// Dial returns the caller for an address; the same one each time.
	Dial func(address string) link.Caller
	// InstanceList is the URL of the platform's instance list; "" means none.
	InstanceList string
	// OwnDigest returns the digest of the local policy; Gossip sets instance, data
	// centre, incarnation and sequence. May be nil.
	OwnDigest func() *lilacv1.Digest
	// OnDigest is called with each digest of another entry, or the combined one of
	// member.Others. The validity of its promises counts from at. May be nil.
	OnDigest func(d *lilacv1.Digest, at time.Time)
	// OnDigestExpired is called when the digest of an instance is no longer valid. May
	// be nil.
	OnDigestExpired func(instance string)
	// OnServerState is called when a backend server starts or stops leaving. May be nil.
	OnServerState func(server string, leaving bool)
	// OnLivePeers is called with the other entries that are considered alive. May be nil.
	OnLivePeers func([]settings.Peer)
	// Now is the clock for exchanges and digest ages; nil means time.Now.
	Now func() time.Time
	// Logger logs expired digests and state changes of backend servers; may be nil.
	Logger hclog.Logger
}

// Gossip runs the membership of one entry.
type Gossip struct {
	options     Options
	incarnation string

	// mu guards the fields from core to stats, and ctx and stopped.
	mu   sync.Mutex
	core *member.Core
	// inFlight holds the names of the peers with an exchange in progress.
	inFlight map[string]bool
	sequence uint64
	leaving  bool
	stats    Stats
	// announceCh makes Run build the own digest immediately.
	announceCh chan struct{}
	// ctx is the context of Run; stopped is set before Run waits for its goroutines.
	ctx     context.Context
	stopped bool
	wg      sync.WaitGroup
}

// Stats counts the control traffic, excluding the framing of the link.
type Stats struct {
	Exchanges, Failures, Bytes uint64
	// ListRead is when the platform's list was last read; zero if never.
	ListRead time.Time
}

// New returns a Gossip; it exchanges nothing until Run is called.
func New(o Options) *Gossip {
	if o.Interval == 0 {
		o.Interval = member.Interval
	}
	if o.OwnDigest == nil {
		o.OwnDigest = func() *lilacv1.Digest { return &lilacv1.Digest{} }
	}
	if o.OnDigest == nil {
		o.OnDigest = func(*lilacv1.Digest, time.Time) {}
	}
	if o.OnDigestExpired == nil {
		o.OnDigestExpired = func(string) {}
	}
	if o.OnServerState == nil {
		o.OnServerState = func(string, bool) {}
	}
	if o.OnLivePeers == nil {
		o.OnLivePeers = func([]settings.Peer) {}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	var seeds []member.Peer
	for _, peer := range o.Entries {
		seeds = append(seeds, member.Peer{Name: peer.Name, Address: peer.Address.Value, DataCenter: peer.DataCenter})
	}
	return &Gossip{options: o, incarnation: rand.Text(), core: member.NewCoreAt(o.Self, seeds, o.Interval), inFlight: make(map[string]bool), announceCh: make(chan struct{}, 1), ctx: context.Background()}
}

// SetEntries sets the entries to contact, with the same effect as the platform's list.
func (g *Gossip) SetEntries(entries []settings.Peer) {
	var event member.PlatformList
	for _, entry := range entries {
		event.Entries = append(event.Entries, member.Peer{Name: entry.Name, Address: entry.Address.Value, DataCenter: entry.DataCenter})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.step(event)
}

// Register adds Method to mux.
func (g *Gossip) Register(mux *link.Mux) { mux.Handle(Method, link.Unary(g.receive)) }

// Leave marks this entry as leaving in its digests from now on.
func (g *Gossip) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// Announce makes Run build the own digest immediately, so that a change in it is not
// delayed until the next interval. It never blocks.
func (g *Gossip) Announce() {
	select {
	case g.announceCh <- struct{}{}:
	default:
	}
}

// Stats returns a copy of the current counters.
func (g *Gossip) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stats
}

// receive answers a digest of another entry. peer is the name authenticated by the link.
func (g *Gossip) receive(_ context.Context, peer link.Peer, d *lilacv1.Digest) (*lilacv1.DigestReply, error) {
	if d.GetInstance() != peer.Process && d.GetInstance() != member.Others {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_FORBIDDEN, "%s sent a digest in the name of %s; give each process its own name", peer.Process, d.GetInstance())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Bytes += uint64(proto.Size(d))
	g.step(member.DigestReceived{From: peer.Process, Digest: d})
	reply := &lilacv1.DigestReply{Digest: g.core.Reply(g.options.Now(), peer.Process)}
	g.stats.Bytes += uint64(proto.Size(reply))
	return reply, nil
}

// Run exchanges digests until ctx ends, and then returns nil.
func (g *Gossip) Run(ctx context.Context) error {
	g.mu.Lock()
	g.ctx = ctx
	g.mu.Unlock()
	defer g.stop()
	if g.options.InstanceList != "" {
		g.wg.Go(func() { g.pollList(ctx) })
	}
	ticker := time.NewTicker(member.TickInterval)
	defer ticker.Stop()
	var builtAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			tick := member.Tick{}
			if now.Sub(builtAt) >= min(ownDigestInterval, g.options.Interval) {
				builtAt = now
				tick = g.buildOwn()
			}
			g.mu.Lock()
			g.step(tick)
			g.mu.Unlock()
		case <-g.announceCh:
			builtAt = time.Now()
			tick := g.buildOwn()
			g.mu.Lock()
			g.step(tick)
			g.mu.Unlock()
		}
	}
}

func (g *Gossip) stop() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.wg.Wait()
}

// buildOwn builds the own digest. The validity of its promises counts from before
// OwnDigest is called, so that a slow call shortens it and never extends it.
func (g *Gossip) buildOwn() member.Tick {
	requestedAt := g.options.Now()
	d := g.options.OwnDigest()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	d.Instance, d.DataCenter = g.options.Self.Name, g.options.Self.DataCenter
	d.Incarnation, d.Sequence = g.incarnation, g.sequence
	d.Leaving = d.GetLeaving() || g.leaving
	return member.Tick{Own: d, RequestedAt: requestedAt}
}

// step passes an event to the core and performs the resulting actions. The caller holds
// g.mu.
func (g *Gossip) step(event member.Event) {
	for _, action := range g.core.Step(g.options.Now(), event) {
		switch a := action.(type) {
		case member.Exchange:
			g.exchange(a)
		case member.PolicyDigest:
			g.options.OnDigest(a.Digest, a.At)
		case member.DigestExpired:
			g.options.Logger.Info("digest expired", "entry", a.Instance)
			g.options.OnDigestExpired(a.Instance)
		case member.ServerState:
			g.options.Logger.Info("backend server state changed", "server", a.Name, "leaving", a.Leaving)
			g.options.OnServerState(a.Name, a.Leaving)
		case member.LivePeers:
			g.options.OnLivePeers(peersOf(a.Peers))
		}
	}
}

func peersOf(list []member.Peer) []settings.Peer {
	peers := make([]settings.Peer, 0, len(list))
	for _, p := range list {
		peers = append(peers, settings.Peer{Name: p.Name, Address: settings.Address{Value: p.Address}, DataCenter: p.DataCenter})
	}
	return peers
}

// exchange starts an exchange in its own goroutine, unless one with the same peer is in
// progress. The caller holds g.mu.
func (g *Gossip) exchange(a member.Exchange) {
	name := a.Peer.Name
	if g.inFlight[name] || g.stopped {
		return
	}
	g.inFlight[name] = true
	g.stats.Exchanges++
	caller := g.options.Dial(a.Peer.Address)
	parent := g.ctx
	g.wg.Go(func() {
		ctx, cancel := context.WithTimeout(parent, exchangeTimeout)
		defer cancel()
		reply := &lilacv1.DigestReply{}
		err := caller.Call(ctx, Method, a.Digest, reply)
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.inFlight, name)
		g.stats.Bytes += uint64(proto.Size(a.Digest) + proto.Size(reply))
		if parent.Err() != nil {
			return
		}
		if err != nil {
			g.stats.Failures++
			g.step(member.ExchangeFailed{Peer: name})
			return
		}
		g.step(member.ReplyReceived{Peer: name, Digest: reply.GetDigest()})
	})
}
