package state

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/httpserver"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/serverlist"
	"github.com/lilacbridge/lilacbridge/process/build"
	"github.com/lilacbridge/lilacbridge/process/ledger"
	"github.com/lilacbridge/lilacbridge/process/metrics"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

// stopTimeout bounds a graceful stop.
const stopTimeout = 10 * time.Second

// RunningLog is a Log with its life cycle.
type RunningLog interface {
	Log
	// SetPeers replaces the processes that are asked for a group.
	SetPeers(peers []settings.Peer)
	// Run drives the log until ctx ends or it fails, as on a broken disk.
	Run(ctx context.Context) error
	// Close hands leadership to another process, if this one leads, and closes
	// the files.
	Close() error
}

// OpenLog opens the replicated log of a state process. It adds its own methods
// to mux and calls the others through id.
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
	// follower keeps the list of backend servers; nil where the settings name none.
	follower *serverlist.Updater
	// control serves the gateway's document; nil without a gateway.
	control  *khttp.Server
	stopping atomic.Bool
}

// ControlHandler answers the operators of the gateway's document.
type ControlHandler func(documents gateway.DocumentStore) http.Handler

// Control is the interface for the gateway's document; the zero value is none.
type Control struct {
	// Decode reads a document; its errors tell the operator what is wrong.
	Decode func(content []byte) (*routing.Document, error)
	// Handler makes the HTTP handler.
	Handler ControlHandler
	// List makes the reader of the platform's list of backend servers.
	List func(address string, client *http.Client) gateway.ServerList
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
	registerMetrics(registry, service)
	metrics.RegisterTraffic(registry, metrics.LinkBytes, metrics.LinkBytesHelp, id.Traffic.Bytes)
	metrics.RegisterTraffic(registry, metrics.LinkPackets, metrics.LinkPacketsHelp, id.Traffic.Packets)
	listener, err := net.Listen("tcp", s.Link.Value)
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	d := &Daemon{
		settings: s, logger: logger, log: log, service: service, registry: registry,
		listener: listener, links: link.NewServer(id, mux), keys: keys,
	}
	if s.ServerList.Value != "" {
		d.follower = d.newFollower(servers, id, control)
	}
	if s.Control.Value != "" {
		if err := d.openControl(control); err != nil {
			return nil, errors.Join(err, listener.Close(), log.Close())
		}
	}
	return d, nil
}

// newFollower reads the platform's list on the leader, and asks the leader elsewhere.
func (d *Daemon) newFollower(holder *serverlist.Store, id link.Identity, control Control) *serverlist.Updater {
	var leader link.Caller
	address := ""
	upstream := func() []link.Caller {
		status := d.log.Status()
		at := status.Status.GetLeader()
		if status.IsLeader || at == "" || status.Staleness > maxLeaderStaleness {
			return nil
		}
		if at != address {
			address, leader = at, link.NewClient(at, id)
		}
		return []link.Caller{leader}
	}
	return serverlist.NewUpdater(holder, serverlist.Options{
		Upstream: upstream, List: control.List(d.settings.ServerList.Value, serverlist.NewClient()),
		Every: d.settings.ListInterval.Duration, Logger: d.logger,
	})
}

// maxLeaderStaleness is how old the contact with the leader may be for it to be asked.
const maxLeaderStaleness = 2 * time.Second

// openControl opens the listener for the operators of the gateway's document.
func (d *Daemon) openControl(control Control) error {
	address, err := netip.ParseAddrPort(d.settings.Control.Value)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", d.settings.Control.Value)
	if err != nil {
		return err
	}
	d.control = httpserver.New(listener, control.Handler(&documents{
		service: d.service, decode: control.Decode, logger: d.logger, name: d.settings.Name, control: address,
	}))
	return nil
}

// servers are the HTTP servers of the process.
func (d *Daemon) servers() []transport.Server {
	servers := []transport.Server{newAdmin(d.settings.Admin.Value, d.service, d.registry, d.stopping.Load)}
	if d.control != nil {
		servers = append(servers, d.control)
	}
	return servers
}

// Run serves until SIGTERM, SIGINT or the end of ctx. It then hands leadership
// over, so that statements and claims wait for no election, and stops.
func (d *Daemon) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.Background())
	defer stop()
	var group errgroup.Group
	app := kratos.New(
		kratos.Name("lilacbridge-state"),
		kratos.ID(d.settings.Name),
		kratos.Version(build.Version),
		kratos.Context(ctx),
		kratos.Server(d.servers()...),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(stopTimeout),
		kratos.BeforeStop(func(context.Context) error { return d.stepDown() }),
	)
	// A log that fails, as on a broken disk, ends the whole process.
	stopApp := func(err error) error {
		if err != nil {
			d.logger.Error("stopping", "error", err)
			return errors.Join(err, app.Stop())
		}
		return nil
	}
	group.Go(func() error { return stopApp(d.log.Run(running)) })
	group.Go(func() error { return stopApp(d.links.Serve(d.listener)) })
	group.Go(func() error { return d.service.Run(running) })
	if d.follower != nil {
		group.Go(func() error {
			d.follower.Run(running)
			return nil
		})
	}
	group.Go(func() error {
		secret.ReloadOnHangUp(running, d.logger, d.links.CloseRevokedConns, d.keys)
		return nil
	})
	d.logger.Info("started", "link", d.listener.Addr().String(), "version", build.Version)
	err := app.Run()
	stop()
	d.listener.Close()
	d.links.Close()
	err = errors.Join(err, group.Wait())
	d.logger.Info("stopped")
	return err
}

// Reload takes changed settings in: the seeds, which a process asks that belongs
// to no group or was taken out. Other fields take effect at the next start.
func (d *Daemon) Reload(s *settings.State) error {
	if err := s.ValidateReload(&d.settings.Common); err != nil {
		return err
	}
	d.log.SetPeers(s.Peers)
	return nil
}

// stepDown lets the others take over while this process still answers.
func (d *Daemon) stepDown() error {
	d.stopping.Store(true)
	err := d.log.Close()
	d.service.Close()
	return err
}
