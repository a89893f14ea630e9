package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/hashicorp/go-hclog"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/httpserver"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/serverlist"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/logs"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/model"
	"github.com/lilacbridge/lilacbridge/version/packed"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

const (
	// maxListSources is how many state processes are asked for the list before the
	// platform is.
	maxListSources = 2
	// membersInterval is how often the state processes are asked for their group.
	membersInterval = 2 * time.Second
	// keysFreshShare is the share of the bound on revocations for which the keys may
	// go unconfirmed: the rest is for clocks that run apart and for the request's
	// own way to the backend server.
	keysFreshShare = 0.8
	// denialFreshShare is the share of the bound on documents for which the one in force
	// may go unconfirmed and still deny: the rest is for the request's own way.
	denialFreshShare = 0.8
)

// gatewayRouter is the gateway of an entry: the document in force joined with the list
// of backend servers.
type gatewayRouter struct {
	daemon   *Daemon
	logger   hclog.Logger
	platform gateway.Platform
	handler  *gateway.Handler
	list     gateway.ServerList
	table    atomic.Pointer[routing.Table]
	// revocation and applied are the bounds on taken keys and on documents, in
	// nanoseconds, 0 for none; seeds are the state processes to ask while none that
	// is known answers.
	revocation atomic.Int64
	applied    atomic.Int64
	seeds      atomic.Pointer[[]settings.Peer]

	// mu guards what the view for the policy is made of.
	mu      sync.Mutex
	view    *model.View
	servers []routing.Server
	// newestTable is the document of view, indexed.
	newestTable *routing.Table
	// hasList is true once the list was read.
	hasList bool
}

var _ gateway.Router = (*gatewayRouter)(nil)

func newGatewayRouter(d *Daemon, platform gateway.Platform) *gatewayRouter {
	g := &gatewayRouter{daemon: d, logger: d.logger, platform: platform}
	g.list = platform.ServerList(d.settings.Gateway.ServerList.Value, serverlist.NewClient())
	g.handler = gateway.NewHandler(platform, g, d.entry.counters, requestLog{d.entry.log})
	d.entry.onLeave = g.handler.DisableKeepAlives
	g.setBounds(d.settings.Gateway)
	g.seeds.Store(&d.settings.State)
	return g
}

func (g *gatewayRouter) setBounds(s *settings.Gateway) {
	g.revocation.Store(int64(s.Revocation.Duration))
	g.applied.Store(int64(s.AppliedWithin.Duration))
}

// Table implements gateway.Router.
func (g *gatewayRouter) Table() *routing.Table { return g.table.Load() }

// KeysFresh implements gateway.Router.
//
// An instance that is cut off from the state processes must not go on taking a key
// that was taken away. The age counts from a moment at which a quorum was heard, by
// a clock that counts suspension too.
func (g *gatewayRouter) KeysFresh() bool {
	return g.confirmedWithin(&g.revocation, keysFreshShare)
}

// DocumentFresh implements gateway.Router.
//
// An instance that a document has not reached yet can't tell a route or key that was
// added from one that never was.
func (g *gatewayRouter) DocumentFresh() bool { return g.confirmedWithin(&g.applied, denialFreshShare) }

// confirmedWithin tells whether what is in force was surely the newest within a
// share of the bound.
func (g *gatewayRouter) confirmedWithin(bound *atomic.Int64, share float64) bool {
	most := bound.Load()
	return most == 0 || g.daemon.watcher.Staleness() < time.Duration(share*float64(most))
}

// Forward implements gateway.Router.
func (g *gatewayRouter) Forward(ctx context.Context, q *gateway.Request, answer *gateway.ResponseWriter) error {
	return g.daemon.entry.relay.Forward(ctx, q, answer)
}

// onView takes a revision of the replicated log.
func (g *gatewayRouter) onView(view *model.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	newest := view.Document
	if newest != nil && (g.view == nil || g.view.Document.GetVersion() != newest.GetVersion()) {
		begun := time.Now()
		decoded, err := g.decode(newest)
		if err != nil {
			// The state processes have decoded the same text before they took it.
			g.logger.Error("document does not decode; run one version on all instances", "version", newest.GetVersion(), "error", err)
			return
		}
		g.newestTable = routing.NewTable(decoded, view.Revision)
		g.logger.Info("document in force", "version", newest.GetVersion(), "revision", view.Revision, "routes", len(decoded.Routes),
			"packed_bytes", len(newest.GetContent()), "decoded_ms", time.Since(begun).Milliseconds())
	}
	g.view = view
	g.configure()
}

func (g *gatewayRouter) decode(d *lilacv1.Document) (*routing.Document, error) {
	text, err := packed.Text(d)
	if err != nil {
		return nil, err
	}
	return g.platform.ParseDocument(text)
}

// configure gives the policy the document and the servers, and only then lets
// requests in by the document: the policy refuses a class that it does not know. The
// caller holds mu.
func (g *gatewayRouter) configure() {
	if g.newestTable == nil || !g.hasList {
		return
	}
	g.daemon.entry.Configure(routing.View(g.newestTable, g.servers, g.view.Convictions))
	g.table.Store(g.newestTable)
}

// run follows the list of backend servers and the group of state processes.
func (g *gatewayRouter) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { g.followList(ctx) })
	group.Go(func() { g.followMembers(ctx) })
	group.Wait()
}

// followList takes the list from the state processes, the nearest first, and from
// the platform itself where none of them knows it.
func (g *gatewayRouter) followList(ctx context.Context) {
	serverlist.NewUpdater(serverlist.NewStore(), serverlist.Options{
		Upstream: g.upstream, List: g.list, Every: g.daemon.settings.Gateway.ListInterval.Duration,
		OnList: g.onList, Logger: g.logger,
	}).Run(ctx)
}

func (g *gatewayRouter) upstream() []link.Caller {
	var callers []link.Caller
	for _, peer := range g.daemon.watcher.StatePeers() {
		callers = append(callers, g.daemon.dialer.dial(peer.Address.Value))
	}
	return callers[:min(len(callers), maxListSources)]
}

// onList brings a list of backend servers into force.
func (g *gatewayRouter) onList(servers []routing.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers, g.hasList = servers, true
	g.configure()
}

func (g *gatewayRouter) followMembers(ctx context.Context) {
	s := g.daemon.settings
	self := settings.Peer{Name: s.Name, Address: s.AdvertisedLink(), DataCenter: s.DataCenter}
	for {
		asked, cancel := context.WithTimeout(ctx, membersInterval)
		members, entries, err := g.daemon.state.Members(asked, self)
		cancel()
		if err != nil {
			// All that were known may be gone; the seeds may be newer.
			g.daemon.state.SetPeers(*g.seeds.Load())
			g.daemon.watcher.SetStatePeers(*g.seeds.Load())
			g.logger.Debug("no state process names its group", "error", err)
		} else {
			g.daemon.state.SetPeers(members)
			g.daemon.watcher.SetStatePeers(members)
			g.daemon.gossip.SetEntries(entries)
		}
		if sleep(ctx, membersInterval) != nil {
			return
		}
	}
}

func (g *gatewayRouter) httpServers(l listeners) []transport.Server {
	return []transport.Server{
		httpserver.New(l.gatewayCallers, g.handler),
		httpserver.New(l.readiness, http.HandlerFunc(g.serveReady)),
	}
}

// serveReady tells the balancer whether connections should come here: not while
// the instance leaves, knows no document or can't check keys.
func (g *gatewayRouter) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.platform.ReadinessPath() {
		http.NotFound(w, r)
		return
	}
	if err := g.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (g *gatewayRouter) ready() error {
	switch {
	case g.daemon.entry.leaving.Load():
		return errLeaving
	case g.table.Load() == nil || g.daemon.entry.relay.View() == nil:
		return errNoConfiguration
	case g.table.Load().RequiresKeys() && !g.KeysFresh():
		return errKeysStale
	}
	return nil
}

// requestLog writes a line for each request that fails.
type requestLog struct{ log *logs.Log }

// Refused implements gateway.Log.
func (l requestLog) Refused(attemptID, host, path string, err error) {
	l.log.Line(logs.Failure, "request refused", "request", attemptID, "host", host, "path", path, "kind", fault.Name(fault.KindOf(err)), "error", err)
}

// Failed implements gateway.Log.
func (l requestLog) Failed(attemptID string, status int, err error) {
	l.log.Line(logs.Failure, "failed", "request", attemptID, "status", status, "kind", fault.Name(fault.KindOf(err)), "not_run", fault.NotRunOf(err).String(), "error", err)
}
