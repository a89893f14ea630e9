// Package gossip runs the membership of an entry instance: it exchanges digests
// with other entries over the link and reads the platform's list.
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

// Method is the link method of an exchange.
const Method = "entry.digest"

const (
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// ownInterval is how often the own digest is taken anew.
	ownInterval = 500 * time.Millisecond
)

// Options say who the entry is and whom to tell. The callbacks run one at a time
// and in order; they must not call the Gossip.
type Options struct {
	// Self names the entry; Address is that of its link.
	Self member.Peer
	// Entries are those of the settings.
	Entries []settings.Peer
	// Interval lies between two exchanges of few entries; 0 means member.Interval.
	Interval time.Duration
	// Dial returns the caller for an address; the same one each time.
	Dial func(address string) link.Caller
	// InstanceList is the URL of the platform's list; "" means none.
	InstanceList string
	// OwnDigest returns the digest of the own policy; instance, data centre,
	// incarnation and sequence are filled in. May be nil.
	OwnDigest func() *lilacv1.Digest
	// OnDigest is given each digest of another entry, or the combined one of
	// member.Others, whose promises count from at; OnDigestExpired its end. May be nil.
	OnDigest        func(d *lilacv1.Digest, at time.Time)
	OnDigestExpired func(instance string)
	// OnServerState tells that a backend server began or ended to be leaving. May be nil.
	OnServerState func(server string, leaving bool)
	// OnLivePeers is given the other entries that are taken for alive. May be nil.
	OnLivePeers func([]settings.Peer)
	// Now is the clock by which digests are exchanged and grow old; nil means time.Now.
	Now func() time.Time
	// Logger gets a line for each entry that goes, comes or leaves; may be nil.
	Logger hclog.Logger
}

// Gossip is the membership of one entry.
type Gossip struct {
	options     Options
	incarnation string

	mu       sync.Mutex
	core     *member.Core
	busy     map[string]bool
	sequence uint64
	leaving  bool
	stats    Stats
	// announce asks Run to take the own digest at once.
	announce chan struct{}
	// ctx is Run's; stopped is true before Run waits for its goroutines.
	ctx     context.Context
	stopped bool
	wg      sync.WaitGroup
}

// Stats count the control traffic, without the link's own framing.
type Stats struct {
	Exchanges, Failures, Bytes uint64
	// ListRead is when the platform's list was last read; zero before.
	ListRead time.Time
}

// New returns a Gossip that does nothing until Run.
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
	return &Gossip{options: o, incarnation: rand.Text(), core: member.NewCoreAt(o.Self, seeds, o.Interval), busy: make(map[string]bool), announce: make(chan struct{}, 1), ctx: context.Background()}
}

// SetEntries names the entries to try, as a list of the platform would.
func (g *Gossip) SetEntries(entries []settings.Peer) {
	var event member.PlatformList
	for _, entry := range entries {
		event.Entries = append(event.Entries, member.Peer{Name: entry.Name, Address: entry.Address.Value, DataCenter: entry.DataCenter})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.step(event)
}

// Register adds the method of an exchange to mux.
func (g *Gossip) Register(mux *link.Mux) { mux.Handle(Method, link.Unary(g.receive)) }

// Leave makes the digests say that this entry is leaving.
func (g *Gossip) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// Announce takes the own digest at once, so that news in it need not wait for
// the next interval. It never blocks.
func (g *Gossip) Announce() {
	select {
	case g.announce <- struct{}{}:
	default:
	}
}

// Stats returns the counts as of now.
func (g *Gossip) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stats
}

// receive answers another entry. The name is the one that the link has proved.
func (g *Gossip) receive(_ context.Context, peer link.Peer, d *lilacv1.Digest) (*lilacv1.DigestReply, error) {
	if d.GetInstance() != peer.Process && d.GetInstance() != member.Others {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_FORBIDDEN, "%s sent a digest of %s; give each process its own name", peer.Process, d.GetInstance())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Bytes += uint64(proto.Size(d))
	g.step(member.DigestReceived{From: peer.Process, Digest: d})
	reply := &lilacv1.DigestReply{Digest: g.core.Reply(g.options.Now(), peer.Process)}
	g.stats.Bytes += uint64(proto.Size(reply))
	return reply, nil
}

// Run exchanges digests until ctx ends.
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
	var taken time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			tick := member.Tick{}
			if now.Sub(taken) >= min(ownInterval, g.options.Interval) {
				taken = now
				tick = g.own()
			}
			g.mu.Lock()
			g.step(tick)
			g.mu.Unlock()
		case <-g.announce:
			taken = time.Now()
			tick := g.own()
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

// own asks for the own digest. Its promises count from before it was asked for,
// so that a slow answer shortens and never lengthens them.
func (g *Gossip) own() member.Tick {
	asked := g.options.Now()
	d := g.options.OwnDigest()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	d.Instance, d.DataCenter = g.options.Self.Name, g.options.Self.DataCenter
	d.Incarnation, d.Sequence = g.incarnation, g.sequence
	d.Leaving = d.GetLeaving() || g.leaving
	return member.Tick{Own: d, RequestedAt: asked}
}

// step runs the core and does what it says; g.mu is held.
func (g *Gossip) step(event member.Event) {
	for _, action := range g.core.Step(g.options.Now(), event) {
		switch a := action.(type) {
		case member.Exchange:
			g.exchange(a)
		case member.PolicyDigest:
			g.options.OnDigest(a.Digest, a.At)
		case member.DigestExpired:
			g.options.Logger.Info("entry no longer heard", "entry", a.Instance)
			g.options.OnDigestExpired(a.Instance)
		case member.ServerState:
			g.options.Logger.Info("backend server", "server", a.Name, "leaving", a.Leaving)
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

// exchange runs one exchange beside the loop; one at a time with each peer.
func (g *Gossip) exchange(a member.Exchange) {
	name := a.Peer.Name
	if g.busy[name] || g.stopped {
		return
	}
	g.busy[name] = true
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
		delete(g.busy, name)
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
