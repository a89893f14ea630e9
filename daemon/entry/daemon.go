package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/hashicorp/go-hclog"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/connguard"
	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/gossip"
	"github.com/lilacbridge/lilacbridge/connection/httpserver"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/loadlink"
	"github.com/lilacbridge/lilacbridge/connection/operator"
	"github.com/lilacbridge/lilacbridge/connection/orders"
	"github.com/lilacbridge/lilacbridge/connection/originlink"
	"github.com/lilacbridge/lilacbridge/connection/retrylink"
	"github.com/lilacbridge/lilacbridge/connection/serverpath"
	"github.com/lilacbridge/lilacbridge/connection/spreadlink"
	"github.com/lilacbridge/lilacbridge/connection/stateclient"
	"github.com/lilacbridge/lilacbridge/process/build"
	"github.com/lilacbridge/lilacbridge/process/metrics"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/model"
	"github.com/lilacbridge/lilacbridge/version/spread"
)

// Daemon is an entry instance with its listeners and its links to other processes.
type Daemon struct {
	settings *settings.Entry
	logger   hclog.Logger
	entry    *Entry
	dialer   *dialer
	state    *stateclient.Client
	watcher  *spreadlink.Watcher
	spread   *spreadlink.Server
	gossip   *gossip.Gossip
	loads    *loadlink.Link
	retries  *retrylink.Link
	orders   *orders.Controller
	links    *link.Server
	paths    *serverpath.Dialer
	// origins is nil without a gateway.
	origins *originlink.Link
	// usage is nil if the settings list no duties.
	usage *usageReporter
	// gateway is nil if the settings configure none.
	gateway   *gatewayRouter
	operators *secret.Reloadable[*secret.Operators]
	callerKey *secret.Reloadable[[]byte]
	linkKeys  *secret.Reloadable[secret.Keys]
	traffic   *link.Traffic
	listeners listeners
	started   time.Time

	mu sync.Mutex
	// live are the other entries considered alive. Guarded by mu.
	live []settings.Peer
}

// listeners holds the open listeners. Those without an address in the settings are nil.
type listeners struct{ callers, operators, admin, link, gatewayCallers, readiness net.Listener }

// NewDaemon reads the keys and opens the listeners; Run serves. The platform is
// ignored if the settings configure no gateway, and may then be nil.
func NewDaemon(s *settings.Entry, logger hclog.Logger, platform gateway.Platform) (*Daemon, error) {
	linkKeys, err := secret.OpenKeys(s.LinkKeyFile, s.LinkKey)
	if err != nil {
		return nil, err
	}
	callerKey, err := openOptional(s.CallerKeyFile == "", s.CallerKeyFile, secret.ReadKey)
	if err != nil {
		return nil, err
	}
	operators, err := openOptional(s.OperatorTokensFile == "", s.OperatorTokensFile, secret.ReadOperators)
	if err != nil {
		return nil, err
	}
	id := link.Identity{Peer: link.Peer{Process: s.Name, DataCenter: s.DataCenter}, Keys: linkKeys.Get, Traffic: &link.Traffic{}}
	d := &Daemon{
		settings: s, logger: logger, dialer: newDialer(id), live: s.Entries, started: time.Now(),
		operators: operators, callerKey: callerKey, linkKeys: linkKeys, traffic: id.Traffic,
	}
	d.state = stateclient.New(stateclient.Options{Instance: s.Name, DataCenter: s.DataCenter, Peers: s.State, Dial: d.dialer.dial, Recoveries: d.recoveries})
	if s.Gateway == nil {
		platform = nil
	}
	d.usage = newUsageReporter(d)
	options := Options{
		Gateway: protocolOf(platform), Settings: s, CallerKey: callerKey, State: d.state, Logger: logger,
		OnAnnounce: func() { d.gossip.Announce() }, OnRun: d.usage.started, OnBorrow: d.askForRetries,
	}
	if platform != nil {
		d.origins = d.newOrigins()
		options.Origins = d.origins
	}
	d.entry = New(options)
	d.paths = d.newPaths()
	d.watcher = spreadlink.NewWatcher(spreadlink.Options{
		Instance: s.Name, DataCenter: s.DataCenter, StatePeers: s.State, Entries: s.Entries,
		Dial: d.dialer.dial, Timing: d.timing(), OnView: d.onView, Logger: logger,
	})
	if platform != nil {
		d.gateway = newGatewayRouter(d, platform)
	}
	mux := link.NewMux()
	mux.Handle("entry.query", link.Unary(func(ctx context.Context, _ link.Peer, req *lilacv1.QueryRequest) (*lilacv1.QueryReply, error) {
		return d.query(ctx, req)
	}))
	d.spread = spreadlink.NewServer(d.watcher, logger)
	d.spread.Register(mux, "entry")
	d.loads = d.newLoads()
	d.gossip = d.newGossip()
	d.gossip.Register(mux)
	d.loads.Register(mux)
	d.retries = d.newRetries()
	d.retries.Register(mux)
	d.paths.Register(mux, d.entry.directClient().DialDirect)
	if d.origins != nil {
		d.origins.Register(mux)
		metrics.RegisterOrigins(d.entry.registry, d.origins.Len, d.origins.Copies, d.origins.Failures)
		metrics.RegisterVersions(d.entry.registry, d.countVersions)
		metrics.RegisterRecordAge(d.entry.registry, d.watcher.Staleness)
	}
	d.orders = orders.New(orders.Options{View: d.watcher.Current, RequestLease: d.state.Lease, Client: d.entry.clients, Logger: logger})
	d.orders.SetPosition(d.position(s.Entries))
	d.links = link.NewServer(id, mux)
	d.links.Handshakes = d.entry.newGuard("links", connguard.HandshakeLimits(d.entry.machine()))
	d.registerMembership()
	return d, d.listen()
}

// Reload applies changed settings of a gateway: its seeds and time bounds. All other
// fields take effect at the next start.
func (d *Daemon) Reload(s *settings.Entry) error {
	if err := s.ValidateReload(&d.settings.Common); err != nil {
		return err
	}
	if d.gateway != nil && s.Gateway == nil {
		return &settings.Problem{Line: 1, Field: "gateway", Message: "removed; restart the process to serve without one"}
	}
	if d.gateway != nil {
		d.gateway.setBounds(s.Gateway)
		d.gateway.seeds.Store(&s.State)
	}
	return nil
}

// ReloadKeys reads the files of keys and tokens again.
func (d *Daemon) ReloadKeys() {
	secret.ReloadAll(d.logger, d.links.CloseRevokedConns, d.linkKeys, d.callerKey, d.operators)
}

// recoveries returns the number of recoveries of the state processes known to this
// entry.
func (d *Daemon) recoveries() uint32 {
	if view := d.watcher.Current(); view != nil {
		return view.Recoveries
	}
	return 0
}

func (d *Daemon) listen() error {
	open := func(address settings.Address) (net.Listener, error) {
		if address.Value == "" {
			return nil, nil
		}
		return net.Listen("tcp", address.Value)
	}
	var errs [6]error
	d.listeners.callers, errs[0] = open(d.settings.Callers)
	d.listeners.operators, errs[1] = open(d.settings.Operators)
	d.listeners.admin, errs[2] = open(d.settings.Admin)
	d.listeners.link, errs[3] = open(d.settings.Link)
	if d.gateway != nil {
		d.listeners.gatewayCallers, errs[4] = open(d.settings.Gateway.Callers)
		d.listeners.readiness, errs[5] = open(d.settings.Gateway.Readiness)
	}
	return errors.Join(errs[:]...)
}

// Run serves until SIGTERM, SIGINT or the end of ctx, then drains and returns.
func (d *Daemon) Run(ctx context.Context) error {
	// Not derived from ctx: background work must continue during the drain.
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { d.entry.Run(background) })
	group.Go(func() { _ = d.watcher.Run(background) })
	group.Go(func() { _ = d.state.Run(background) })
	group.Go(func() { _ = d.gossip.Run(background) })
	group.Go(func() { d.loads.Run(background) })
	group.Go(func() { d.retries.Run(background) })
	if d.usage != nil {
		group.Go(func() { d.usage.run(background) })
	}
	if d.gateway != nil {
		group.Go(func() { d.gateway.run(background) })
		group.Go(func() { d.origins.Run(background) })
	} else {
		// Model orders are given only without a gateway: with one, the platform manages
		// the engines.
		group.Go(func() { _ = d.orders.Run(background) })
	}
	group.Go(func() { _ = d.links.Serve(d.listeners.link) })
	// A signal may also end ctx, so that the framework stops twice.
	drain := sync.OnceValue(d.drain)
	app := kratos.New(
		kratos.Name("lilacbridge-entry"),
		kratos.ID(d.settings.Name),
		kratos.Version(build.Version),
		kratos.Server(d.servers()...),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(d.settings.CloseTimeout()),
		kratos.BeforeStop(func(context.Context) error { return drain() }),
	)
	// The framework runs BeforeStop on a signal but not when its own context ends, so
	// the end of ctx has to call Stop.
	defer context.AfterFunc(ctx, func() { _ = app.Stop() })()
	d.logger.Info("started", "callers", d.callerAddress(), "version", build.Version)
	err := app.Run()
	d.spread.Close()
	d.listeners.link.Close()
	stop()
	d.links.Close()
	group.Wait()
	d.entry.Close()
	d.dialer.close()
	d.logger.Info("stopped")
	return err
}

// drain ends what this instance does for callers and other instances, before the framework
// closes its servers.
func (d *Daemon) drain() error {
	d.gossip.Leave()
	pathsDrained := d.drainPaths()
	err := d.entry.Drain(context.Background())
	<-pathsDrained
	if d.usage != nil {
		d.usage.send(context.Background(), true)
	}
	return err
}

// openOptional opens a file of secrets, or returns an empty value if absent is true:
// the interface that needs the secrets is not served then.
func openOptional[T any](absent bool, file string, read func(string) (T, error)) (*secret.Reloadable[T], error) {
	if absent {
		var empty T
		return secret.Fixed(empty), nil
	}
	return secret.Open(file, read)
}

func protocolOf(platform gateway.Platform) gateway.Protocol {
	if platform == nil {
		return nil
	}
	return platform
}

// timing returns shorter intervals with a gateway, whose platform bounds how long a
// change may take to come into force.
func (d *Daemon) timing() spread.Timing {
	if d.settings.Gateway != nil {
		return spread.FastTiming
	}
	return spread.DefaultTiming
}

// onView applies a new revision, through the gateway if there is one.
func (d *Daemon) onView(view *model.View) {
	if d.gateway != nil {
		d.gateway.onView(view)
		return
	}
	d.entry.Configure(view)
}

// servers returns the HTTP servers of the interfaces that have a listener.
func (d *Daemon) servers() []transport.Server {
	servers := []transport.Server{d.entry.adminServer(d.listeners.admin)}
	if d.listeners.callers != nil {
		servers = append(servers, d.entry.callerServer(d.listeners.callers))
	}
	if d.listeners.operators != nil {
		servers = append(servers, d.operatorServer(d.listeners.operators))
	}
	if d.gateway != nil {
		servers = append(servers, d.gateway.httpServers(d.listeners)...)
	}
	return servers
}

func (d *Daemon) callerAddress() string {
	if d.listeners.callers != nil {
		return d.listeners.callers.Addr().String()
	}
	return d.listeners.gatewayCallers.Addr().String()
}

// operatorServer returns the HTTP server for operators' statements.
func (d *Daemon) operatorServer(listener net.Listener) *khttp.Server {
	handler := operator.NewHandler(operator.Options{
		Instance: d.settings.Name, DataCenter: d.settings.DataCenter,
		View: d.watcher.Current, Newest: d.watcher.LatestKnown, State: d.state, Local: d.query,
		Peers:      func() []operator.Peer { return d.dialer.peers(d.liveEntries()) },
		StatePeers: func() []operator.Peer { return d.dialer.peers(d.settings.State) },
		Operators:  d.operators.Get, Now: time.Now, Holdings: d.entry.holdings,
		OnRefused: func() { d.entry.counters.Refused("operator_unauthenticated") },
	})
	return httpserver.New(listener, d.entry.internalGuard("operators"), httpserver.DefaultPolicy(), handler)
}

func (d *Daemon) liveEntries() []settings.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.live
}
