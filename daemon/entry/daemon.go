package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/hashicorp/go-hclog"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/gossip"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/operator"
	"github.com/lilacbridge/lilacbridge/connection/orders"
	"github.com/lilacbridge/lilacbridge/connection/spreadlink"
	"github.com/lilacbridge/lilacbridge/connection/stateclient"
	"github.com/lilacbridge/lilacbridge/process/build"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

// stopTimeout bounds the closing of listeners after the drain.
const stopTimeout = 10 * time.Second

// Daemon is an entry instance with its listeners and its links to the others.
type Daemon struct {
	settings  *settings.Entry
	logger    hclog.Logger
	entry     *Entry
	dialer    *dialer
	state     *stateclient.Client
	watcher   *spreadlink.Watcher
	spread    *spreadlink.Server
	gossip    *gossip.Gossip
	orders    *orders.Giver
	links     *link.Server
	operators *secret.Reloadable[*secret.Operators]
	callerKey *secret.Reloadable[[]byte]
	linkKeys  *secret.Reloadable[secret.Keys]
	traffic   *link.Traffic
	listeners listeners
	started   time.Time

	mu sync.Mutex
	// live are the other entries that are taken for alive.
	live []settings.Peer
}

type listeners struct{ callers, operators, admin, link net.Listener }

// NewDaemon reads the keys and opens the listeners; Run serves.
func NewDaemon(s *settings.Entry, logger hclog.Logger) (*Daemon, error) {
	linkKeys, err := secret.Open(s.LinkKeyFile, secret.ReadKeys)
	if err != nil {
		return nil, err
	}
	callerKey, err := secret.Open(s.CallerKeyFile, secret.ReadKey)
	if err != nil {
		return nil, err
	}
	operators, err := secret.Open(s.OperatorTokensFile, secret.ReadOperators)
	if err != nil {
		return nil, err
	}
	id := link.Identity{Peer: link.Peer{Process: s.Name, DataCenter: s.DataCenter}, Keys: linkKeys.Get, Traffic: &link.Traffic{}}
	d := &Daemon{
		settings: s, logger: logger, dialer: newDialer(id), live: s.Entries, started: time.Now(),
		operators: operators, callerKey: callerKey, linkKeys: linkKeys, traffic: id.Traffic,
	}
	d.state = stateclient.New(stateclient.Options{Instance: s.Name, DataCenter: s.DataCenter, Peers: s.State, Dial: d.dialer.dial, Recoveries: d.recoveries})
	d.entry = New(Options{Settings: s, CallerKey: callerKey, State: d.state, Logger: logger, OnAnnounce: func() { d.gossip.Announce() }})
	d.watcher = spreadlink.NewWatcher(spreadlink.Options{
		Instance: s.Name, DataCenter: s.DataCenter, State: s.State, Entries: s.Entries,
		Dial: d.dialer.dial, OnView: d.entry.Configure, Logger: logger,
	})
	mux := link.NewMux()
	mux.Handle("entry.query", link.Unary(func(ctx context.Context, _ link.Peer, req *lilacv1.QueryRequest) (*lilacv1.QueryReply, error) {
		return d.query(ctx, req)
	}))
	d.spread = spreadlink.NewServer(d.watcher)
	d.spread.Register(mux, "entry")
	d.gossip = d.newGossip()
	d.gossip.Register(mux)
	d.orders = orders.New(orders.Options{View: d.watcher.Current, Lease: d.state.Lease, Client: d.entry.clients, Logger: logger})
	d.orders.SetPosition(d.position(s.Entries))
	d.links = link.NewServer(id, mux)
	d.registerMembership()
	return d, d.listen()
}

// recoveries tells how many recoveries of the state processes this entry knows of.
func (d *Daemon) recoveries() uint32 {
	if view := d.watcher.Current(); view != nil {
		return view.Recoveries
	}
	return 0
}

func (d *Daemon) listen() error {
	open := func(address settings.Address) (net.Listener, error) { return net.Listen("tcp", address.Value) }
	var errs [4]error
	d.listeners.callers, errs[0] = open(d.settings.Callers)
	d.listeners.operators, errs[1] = open(d.settings.Operators)
	d.listeners.admin, errs[2] = open(d.settings.Admin)
	d.listeners.link, errs[3] = open(d.settings.Link)
	return errors.Join(errs[:]...)
}

// Run serves until SIGTERM, SIGINT or the end of ctx, then drains.
func (d *Daemon) Run(ctx context.Context) error {
	working, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { d.entry.Work(working) })
	group.Go(func() { _ = d.watcher.Run(working) })
	group.Go(func() { _ = d.state.Run(working) })
	group.Go(func() { _ = d.gossip.Run(working) })
	group.Go(func() { _ = d.orders.Run(working) })
	group.Go(func() { _ = d.links.Serve(d.listeners.link) })
	group.Go(func() {
		secret.ReloadOnHangUp(working, d.logger, d.links.DropOldKeys, d.linkKeys, d.callerKey, d.operators)
	})
	app := kratos.New(
		kratos.Name("lilacbridge-entry"),
		kratos.ID(d.settings.Name),
		kratos.Version(build.Version),
		kratos.Server(
			d.entry.callerServer(d.listeners.callers),
			d.operatorServer(d.listeners.operators),
			d.entry.adminServer(d.listeners.admin),
		),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(stopTimeout),
		// The drain comes before the library closes anything.
		kratos.BeforeStop(func(context.Context) error {
			d.gossip.Leave()
			return d.entry.Drain(context.Background())
		}),
	)
	// The library drains on a signal, but not where its own context ends.
	defer context.AfterFunc(ctx, func() { _ = app.Stop() })()
	d.logger.Info("started", "callers", d.listeners.callers.Addr().String(), "version", build.Version)
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

// operatorServer serves operators' statements.
func (d *Daemon) operatorServer(listener net.Listener) *khttp.Server {
	handler := operator.NewHandler(operator.Options{
		Instance: d.settings.Name, DataCenter: d.settings.DataCenter,
		View: d.watcher.Current, Newest: d.watcher.Known, State: d.state, Local: d.query,
		Peers:      func() []operator.Peer { return d.dialer.peers(d.liveEntries()) },
		StatePeers: func() []operator.Peer { return d.dialer.peers(d.settings.State) },
		Operators:  d.operators.Get, Now: time.Now,
		OnRefused: func() { d.entry.counters.Refused("operator_unauthenticated") },
	})
	server := khttp.NewServer(
		khttp.Listener(listener),
		khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler { return handler }),
	)
	server.ReadHeaderTimeout = d.settings.Limits.ReadTimeout.Duration
	server.ErrorLog = d.entry.quiet()
	return server
}

func (d *Daemon) liveEntries() []settings.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.live
}
