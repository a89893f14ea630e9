package state

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/lilacbridge/lilacbridge/connection/connguard"
	"github.com/lilacbridge/lilacbridge/connection/duties"
	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/holding"
	"github.com/lilacbridge/lilacbridge/connection/httpserver"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/originlink"
	"github.com/lilacbridge/lilacbridge/connection/serverlist"
	"github.com/lilacbridge/lilacbridge/process/build"
	"github.com/lilacbridge/lilacbridge/process/ledger"
	"github.com/lilacbridge/lilacbridge/process/logs"
	"github.com/lilacbridge/lilacbridge/process/metrics"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/admission"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

// stopTimeout bounds a graceful stop.
const stopTimeout = 10 * time.Second

// RunningLog is a Log together with its life cycle.
type RunningLog interface {
	Log
	// SetPeers replaces the processes that are contacted to find a group.
	SetPeers(peers []settings.Peer)
	// Run returns nil when ctx ends, or an error if the log fails, for example because
	// of a disk error.
	Run(ctx context.Context) error
	// Close transfers leadership to another process, if this one leads, and closes
	// the files.
	Close() error
}

// OpenLog opens the replicated log of a state process. It registers its methods on
// mux and calls the other processes as id.
type OpenLog func(s *settings.State, machine *Machine, mux *link.Mux, id link.Identity, logger hclog.Logger, registry prometheus.Registerer) (RunningLog, error)

// Daemon is a state process.
type Daemon struct {
	settings *settings.State
	logger   hclog.Logger
	log      RunningLog
	service  *Service
	registry *prometheus.Registry
	listener net.Listener
	links    *link.Server
	keys     *secret.Reloadable[secret.Keys]
	// follower keeps the list of backend servers up to date; nil if the settings
	// configure no server list.
	follower *serverlist.Updater
	// versions keeps the record of software versions; nil if the settings configure no server
	// list.
	versions *versionKeeper
	// origins keeps origins of streams for entries.
	origins *originlink.Link
	// duties performs the fleet's duties towards the platform while this process leads; nil
	// if the settings list none.
	duties *duties.Holder
	// guards are the accounts of connections by server.
	guards map[string]*connguard.Guard
	admin  *khttp.Server
	// control serves the operators' interface for the gateway's document; nil without
	// a gateway.
	control  *khttp.Server
	stopping atomic.Bool
}

// ControlHandler returns the HTTP handler through which operators read and write the
// gateway's document.
type ControlHandler func(documents gateway.DocumentStore, bodies gateway.DocumentBodies) http.Handler

// Control holds the platform's implementation of the gateway interfaces. Its zero
// value is for a state process without a gateway.
type Control struct {
	// Decode decodes a document. Its errors are shown to the operator.
	Decode func(content []byte) (*routing.Document, error)
	// Handler returns the handler of the operators' interface.
	Handler ControlHandler
	// List returns the client for the platform's list of backend servers.
	List func(address string, client *http.Client) gateway.ServerList
	// Duties returns the client for the platform's calls that one process at a time makes.
	Duties func(address string, client *http.Client) gateway.DutyCalls
}

// NewDaemon opens the log and the listeners; Run serves.
func NewDaemon(s *settings.State, logger hclog.Logger, open OpenLog, control Control) (*Daemon, error) {
	keys, err := secret.OpenKeys(s.LinkKeyFile, s.LinkKey)
	if err != nil {
		return nil, err
	}
	machine := NewMachine(s.AuditRetention, ledger.Limits{Retention: s.ClaimRetention.Duration})
	id := link.Identity{Peer: link.Peer{Process: s.Name, DataCenter: s.DataCenter}, Keys: keys.Get, Traffic: &link.Traffic{}}
	mux := link.NewMux()
	registry := metrics.NewRegistry()
	log, err := open(s, machine, mux, id, logger, registry)
	if err != nil {
		return nil, err
	}
	service := NewService(machine, log, logger)
	service.Register(mux)
	servers := serverlist.NewStore()
	servers.Register(mux)
	origins := originlink.NewKeeper()
	origins.Register(mux)
	holder := newDuties(s, service, servers, control, logger, mux)
	registerMetrics(registry, service)
	metrics.RegisterVersions(registry, service.countVersions)
	warnWithoutList(s, logger)
	metrics.RegisterTraffic(registry, metrics.LinkBytes, metrics.LinkBytesHelp, id.Traffic.Bytes)
	metrics.RegisterTraffic(registry, metrics.LinkPackets, metrics.LinkPacketsHelp, id.Traffic.Packets)
	listener, err := net.Listen("tcp", s.Link.Value)
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	d := &Daemon{
		settings: s, logger: logger, log: log, service: service, registry: registry,
		listener: listener, links: link.NewServer(id, mux), keys: keys,
		duties: holder, origins: origins, guards: make(map[string]*connguard.Guard),
	}
	registry.MustRegister(connguard.Collector(d.guards))
	if s.ServerList.Value != "" {
		d.follower = d.newFollower(servers, id, control)
		d.versions = &versionKeeper{service: service, servers: servers, name: s.Name, logger: logger, core: admission.NewCore(), proposed: metrics.RegisterVersionProposals(registry)}
	}
	d.links.Handshakes = d.newGuard("links", connguard.HandshakeLimits)
	if err := d.openServers(control); err != nil {
		return nil, errors.Join(err, listener.Close(), log.Close())
	}
	return d, nil
}

// newGuard returns the account of the connections of a server.
func (d *Daemon) newGuard(server string, limits func(connguard.Machine) connguard.Limits) *connguard.Guard {
	machine := connguard.Machine{Memory: d.settings.Limits.MemoryBytes(), Descriptors: d.settings.Limits.Descriptors()}
	guard := connguard.New(limits(machine), logs.New(d.logger))
	d.guards[server] = guard
	return guard
}

// openServers opens the HTTP servers of the process.
func (d *Daemon) openServers(control Control) error {
	listener, err := net.Listen("tcp", d.settings.Admin.Value)
	if err != nil {
		return err
	}
	d.admin = newAdmin(listener, d.newGuard("admin", connguard.InternalLimits), d.service, d.registry, d.stopping.Load)
	if d.settings.Control.Value == "" {
		return nil
	}
	if err := d.openControl(control); err != nil {
		return errors.Join(err, listener.Close())
	}
	return nil
}

// newFollower returns a follower that reads the server list from the platform if this
// process leads or has no recent contact with a leader, otherwise from the leader.
func (d *Daemon) newFollower(holder *serverlist.Store, id link.Identity, control Control) *serverlist.Updater {
	var leader link.Caller
	address := ""
	upstream := func() []link.Caller {
		status := d.log.Status()
		current := status.Status.GetLeader()
		if status.IsLeader || current == "" || status.Staleness > maxLeaderStaleness {
			return nil
		}
		if current != address {
			address, leader = current, link.NewClient(current, id)
		}
		return []link.Caller{leader}
	}
	return serverlist.NewUpdater(holder, serverlist.Options{
		Upstream: upstream, List: control.List(d.settings.ServerList.Value, serverlist.NewClient()),
		Every: d.settings.ListInterval.Duration, CountRefused: metrics.RegisterRefusedEntries(d.registry), Logger: d.logger,
	})
}

// maxLeaderStaleness is the highest staleness at which the leader is still asked for the
// server list.
const maxLeaderStaleness = 2 * time.Second

// openControl opens the listener of the operators' interface for the gateway's document.
func (d *Daemon) openControl(control Control) error {
	address, err := netip.ParseAddrPort(d.settings.Control.Value)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", d.settings.Control.Value)
	if err != nil {
		return err
	}
	holdings := holding.NewStore(holding.Options{Bytes: d.settings.HeldBytes(), Log: logs.New(d.logger)})
	d.registry.MustRegister(holding.Collector(holdings))
	handler := control.Handler(&documents{
		service: d.service, decode: control.Decode, logger: d.logger, name: d.settings.Name, control: address,
	}, gateway.DocumentBodies{Holdings: holdings})
	d.control = httpserver.New(listener, d.newGuard("control", connguard.InternalLimits), httpserver.DefaultPolicy(), handler)
	return nil
}

// servers returns the HTTP servers of the process.
func (d *Daemon) servers() []transport.Server {
	servers := []transport.Server{d.admin}
	if d.control != nil {
		servers = append(servers, d.control)
	}
	return servers
}

// Run serves until SIGTERM, SIGINT or the end of ctx, then transfers leadership, so
// that statements and claims need not wait for an election, and stops. It also stops,
// with an error, if the log or the link server fails.
func (d *Daemon) Run(ctx context.Context) error {
	// Not derived from ctx: background work must continue until leadership is
	// transferred.
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var group errgroup.Group
	// A signal may also end ctx, so that the framework stops twice.
	stepDown := sync.OnceValue(d.stepDown)
	app := kratos.New(
		kratos.Name("lilacbridge-state"),
		kratos.ID(d.settings.Name),
		kratos.Version(build.Version),
		kratos.Server(d.servers()...),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(stopTimeout),
		kratos.BeforeStop(func(context.Context) error { return stepDown() }),
	)
	// The framework runs BeforeStop on a signal but not when its own context ends.
	defer context.AfterFunc(ctx, func() { _ = app.Stop() })()
	// A failure of the log, for example a disk error, stops the whole process.
	stopApp := func(err error) error {
		if err != nil {
			d.logger.Error("stopping", "error", err)
			return errors.Join(err, app.Stop())
		}
		return nil
	}
	group.Go(func() error { return stopApp(d.log.Run(background)) })
	group.Go(func() error { return stopApp(d.links.Serve(d.listener)) })
	group.Go(func() error { return d.service.Run(background) })
	group.Go(func() error {
		d.origins.Run(background)
		return nil
	})
	if d.duties != nil {
		group.Go(func() error {
			d.duties.Run(background)
			return nil
		})
	}
	if d.follower != nil {
		group.Go(func() error {
			d.follower.Run(background)
			return nil
		})
		group.Go(func() error {
			d.versions.run(background)
			return nil
		})
	}
	d.logger.Info("started", "link", d.listener.Addr().String(), "version", build.Version)
	err := app.Run()
	stop()
	d.listener.Close()
	d.links.Close()
	err = errors.Join(err, group.Wait())
	d.logger.Info("stopped")
	return err
}

// Reload applies changed seeds, which this process contacts to find a group if it is a
// member of none. All other fields take effect at the next start.
func (d *Daemon) Reload(s *settings.State) error {
	if err := s.ValidateReload(&d.settings.Common); err != nil {
		return err
	}
	d.log.SetPeers(s.Peers)
	return nil
}

// ReloadKeys reads the file of link keys again.
func (d *Daemon) ReloadKeys() {
	secret.ReloadAll(d.logger, d.links.CloseRevokedConns, d.keys)
}

// stepDown transfers leadership while this process still answers calls.
func (d *Daemon) stepDown() error {
	d.stopping.Store(true)
	err := d.log.Close()
	d.service.Close()
	return err
}
