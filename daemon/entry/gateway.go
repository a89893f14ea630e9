package entry

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/hashicorp/go-hclog"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/connguard"
	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/httpserver"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/serverlist"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/logs"
	"github.com/lilacbridge/lilacbridge/process/metrics"
	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/model"
	"github.com/lilacbridge/lilacbridge/version/packed"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

const (
	// maxListSources is how many state processes are asked for the server list before
	// falling back to the platform.
	maxListSources = 2
	// membersInterval is the pause between two requests for the members of the group of
	// state processes, and the timeout of one request.
	membersInterval = 2 * time.Second
	// keysFreshShare is the share of the revocation bound during which API keys may go
	// unconfirmed. The remainder allows for clock drift and for the time that a request
	// takes to reach the backend server.
	keysFreshShare = 0.8
	// denialFreshShare is the share of the bound on applying documents during which an
	// unconfirmed document may still be used to deny requests. The remainder allows for
	// the request's own latency.
	denialFreshShare = 0.8
)

// gatewayRouter routes an entry's gateway requests by the document in force and the
// list of backend servers.
type gatewayRouter struct {
	daemon   *Daemon
	logger   hclog.Logger
	platform gateway.Platform
	handler  *gateway.Handler
	list     gateway.ServerList
	table    atomic.Pointer[routing.Table]
	// revocation bounds how long a revoked key may be accepted, applied how long an
	// accepted document may take to come into force. Nanoseconds; 0 for no bound.
	revocation atomic.Int64
	applied    atomic.Int64
	// seeds are the state processes to contact while no known one answers.
	seeds atomic.Pointer[[]settings.Peer]

	// mu guards the fields below, from which the policy's view is built.
	mu      sync.Mutex
	view    *model.View
	servers []routing.Server
	// newestTable is the routing table of the document in view. It may precede table,
	// which is set only once the policy has been configured.
	newestTable *routing.Table
	// hasList is true once a server list has been received.
	hasList bool
}

var _ gateway.Router = (*gatewayRouter)(nil)

func newGatewayRouter(d *Daemon, platform gateway.Platform) *gatewayRouter {
	g := &gatewayRouter{daemon: d, logger: d.logger, platform: platform}
	g.list = platform.ServerList(d.settings.Gateway.ServerList.Value, serverlist.NewClient())
	g.handler = gateway.NewHandler(platform, g, d.entry.counters, requestLog{d.entry.log})
	g.handler.SetHoldings(d.entry.holdings, d.settings.Limits.UnreadTimeout.Duration)
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
// An instance that is cut off from the state processes must not keep accepting a
// revoked key. The age is measured since the last contact with a quorum, by a clock
// that also advances while the machine is suspended.
func (g *gatewayRouter) KeysFresh() bool {
	return g.confirmedWithin(&g.revocation, keysFreshShare)
}

// DocumentFresh implements gateway.Router.
//
// An instance that has not received the newest document can't distinguish a newly
// added route or key from an unknown one.
func (g *gatewayRouter) DocumentFresh() bool { return g.confirmedWithin(&g.applied, denialFreshShare) }

// confirmedWithin reports whether the revision in force was confirmed as the newest
// within the given share of the bound; always true without a bound.
func (g *gatewayRouter) confirmedWithin(bound *atomic.Int64, share float64) bool {
	limit := bound.Load()
	return limit == 0 || g.daemon.watcher.Staleness() < number.Duration(share*float64(limit))
}

// Forward implements gateway.Router.
func (g *gatewayRouter) Forward(ctx context.Context, q *gateway.Request, answer *gateway.ResponseWriter) error {
	return g.daemon.entry.relay.Forward(ctx, q, answer)
}

// onView applies a revision of the replicated log.
func (g *gatewayRouter) onView(view *model.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	newest := view.Document
	if newest != nil && (g.view == nil || g.view.Document.GetVersion() != newest.GetVersion()) {
		start := time.Now()
		decoded, err := g.decode(newest)
		if err != nil {
			// The state processes decoded the same text before they accepted it, so this
			// instance runs another version.
			g.logger.Error("failed to decode document; run the same version on all instances", "version", newest.GetVersion(), "error", err)
			view = withDocumentOf(g.view, view)
		} else {
			g.newestTable = routing.NewTable(decoded, view.Revision)
			g.logger.Info("document in force", "version", newest.GetVersion(), "revision", view.Revision, "routes", len(decoded.Routes),
				"packed_bytes", len(newest.GetContent()), "decoded_ms", time.Since(start).Milliseconds())
		}
	}
	g.view = view
	g.configure()
	if g.daemon.origins != nil {
		g.daemon.origins.SendCopies()
	}
}

// withDocumentOf returns the view with the document of an earlier one; nil stands for none.
func withDocumentOf(earlier, view *model.View) *model.View {
	kept := *view
	kept.Document = nil
	if earlier != nil {
		kept.Document = earlier.Document
	}
	return &kept
}

func (g *gatewayRouter) decode(d *lilacv1.Document) (*routing.Document, error) {
	text, err := packed.Text(d)
	if err != nil {
		return nil, err
	}
	return g.platform.ParseDocument(text)
}

// configure passes the document and the servers to the policy, and only then publishes
// the routing table: the policy refuses requests of a class that it does not know.
// Without both a document and a server list it does nothing. The caller holds mu.
func (g *gatewayRouter) configure() {
	if g.newestTable == nil || !g.hasList {
		return
	}
	g.daemon.entry.Configure(routing.View(g.newestTable, g.servers, g.view))
	g.table.Store(g.newestTable)
}

// run follows the list of backend servers and the members of the group of state
// processes until ctx ends.
func (g *gatewayRouter) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { g.followList(ctx) })
	group.Go(func() { g.followMembers(ctx) })
	group.Wait()
}

// followList reads the server list from the nearest state processes, or from the
// platform if none of them has it.
func (g *gatewayRouter) followList(ctx context.Context) {
	serverlist.NewUpdater(serverlist.NewStore(), serverlist.Options{
		Upstream: g.upstream, List: g.list, Every: g.daemon.settings.Gateway.ListInterval.Duration,
		OnList: g.onList, CountRefused: metrics.RegisterRefusedEntries(g.daemon.entry.registry), Logger: g.logger,
	}).Run(ctx)
}

func (g *gatewayRouter) upstream() []link.Caller {
	var callers []link.Caller
	for _, peer := range g.daemon.watcher.StatePeers() {
		callers = append(callers, g.daemon.dialer.dial(peer.Address.Value))
	}
	return callers[:min(len(callers), maxListSources)]
}

// onList applies a list of backend servers.
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
		callCtx, cancel := context.WithTimeout(ctx, membersInterval)
		members, entries, err := g.daemon.state.Members(callCtx, self)
		cancel()
		if err != nil {
			// All known members may have been replaced; the seeds may be more recent.
			g.daemon.state.SetPeers(*g.seeds.Load())
			g.daemon.watcher.SetStatePeers(*g.seeds.Load())
			g.logger.Debug("no state process returned the group's members", "error", err)
		} else {
			g.daemon.state.SetPeers(members)
			g.daemon.watcher.SetStatePeers(members)
			g.daemon.setKeepers(members)
			g.daemon.gossip.SetEntries(entries)
		}
		if sleep(ctx, membersInterval) != nil {
			return
		}
	}
}

func (g *gatewayRouter) httpServers(l listeners) []transport.Server {
	return []transport.Server{
		httpserver.New(l.gatewayCallers, g.daemon.entry.callerGuard, connguard.Policy{Limits: g.headLimits, Response: httpserver.PlainResponse}, g.handler),
		httpserver.New(l.readiness, g.daemon.entry.internalGuard("readiness"), httpserver.DefaultPolicy(), http.HandlerFunc(g.serveReady)),
	}
}

// headLimits returns the limits of request headers by the document in force.
func (g *gatewayRouter) headLimits() connguard.HeadLimits {
	limits := httpserver.DefaultLimits()
	table := g.table.Load()
	if table == nil {
		return limits
	}
	document := table.Document.Limits
	limits.Bytes = cmp.Or(document.HeaderBytes, limits.Bytes)
	limits.Time = cmp.Or(document.HeaderTimeout, limits.Time)
	limits.Idle = cmp.Or(document.IdleTimeout, limits.Idle)
	return limits
}

// serveReady answers the load balancer's readiness probe. The instance is not ready
// while it drains, has no document or can't verify keys.
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

// requestLog logs each gateway request that is refused or fails.
type requestLog struct{ log *logs.Log }

// Refused implements gateway.Log.
func (l requestLog) Refused(attemptID, host, path string, err error) {
	l.log.Line(logs.Failure, "request refused", "request", attemptID, "host", host, "path", path, "kind", fault.Name(fault.KindOf(err)), "error", err)
}

// Failed implements gateway.Log.
func (l requestLog) Failed(attemptID string, status int, err error) {
	l.log.Line(logs.Failure, "failed", "request", attemptID, "status", status, "kind", fault.Name(fault.KindOf(err)), "not_run", fault.NotRunOf(err).String(), "error", err)
}
