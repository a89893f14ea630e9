package entry

import (
	"context"
	"sync/atomic"

	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/serverpath"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/process/logs"
	"github.com/lilacbridge/lilacbridge/process/metrics"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// serverIndex finds the data centres of a revision's servers by address.
type serverIndex struct {
	view        *model.View
	dataCenters map[string]string
}

// newPaths returns the dialer to backend servers, through which all connections of the
// entry are opened.
func (d *Daemon) newPaths() *serverpath.Dialer {
	var index atomic.Pointer[serverIndex]
	var paths *serverpath.Dialer
	paths = serverpath.New(serverpath.Options{
		Self:      serverpath.Peer{Name: d.settings.Name, DataCenter: d.settings.DataCenter},
		Connector: func(address string) link.Connector { return d.dialer.client(address) },
		DataCenter: func(address string) (string, bool) {
			view := d.entry.relay.View()
			current := index.Load()
			if current == nil || current.view != view {
				current = newServerIndex(view)
				index.Store(current)
				paths.Retain(func(address string) bool { _, known := current.dataCenters[address]; return known })
			}
			dataCenter, ok := current.dataCenters[address]
			return dataCenter, ok
		},
		OnLost: d.entry.closeIdle,
		Logger: d.logger,
	})
	d.entry.clients.SetPath(paths)
	if d.entry.gatewayUpstream != nil {
		d.entry.gatewayUpstream.SetPath(paths)
	}
	metrics.RegisterPaths(d.entry.registry, paths.LostPaths, paths.Counts)
	return paths
}

func newServerIndex(view *model.View) *serverIndex {
	index := &serverIndex{view: view, dataCenters: make(map[string]string)}
	if view != nil {
		for _, server := range view.Servers {
			index.dataCenters[server.GetAddress()] = server.GetDataCenter()
		}
	}
	return index
}

// directClient returns the client whose direct connections carry requests.
func (e *Entry) directClient() *upstream.Client {
	if e.gatewayUpstream != nil {
		return e.gatewayUpstream
	}
	return e.clients
}

// closeIdle closes the idle connections to a server whose path is lost.
func (e *Entry) closeIdle(address string) {
	e.clients.CloseIdle(address)
	if e.gatewayUpstream != nil {
		e.gatewayUpstream.CloseIdle(address)
	}
}

// logSurplus logs and counts that the server at address sent bytes after the end of an answer.
func (e *Entry) logSurplus(address string) {
	e.counters.AnswerWithSurplus()
	e.log.Line(logs.StateChange, "bytes after the end of an answer", "server", e.serverAt(address), "address", address)
}

// serverAt returns the name of the server at address; empty if none is known.
func (e *Entry) serverAt(address string) string {
	if view := e.relay.View(); view != nil {
		for name, server := range view.Servers {
			if server.GetAddress() == address {
				return name
			}
		}
	}
	return ""
}

// setPathPeers passes the live instances to the dialer.
func (d *Daemon) setPathPeers(live []settings.Peer) {
	peers := make([]serverpath.Peer, 0, len(live))
	for _, p := range live {
		peers = append(peers, serverpath.Peer{Name: p.Name, Address: p.Address.Value, DataCenter: p.DataCenter})
	}
	d.paths.SetPeers(peers)
}

// drainPaths refuses to forward further connections. The returned channel is closed once
// those of other instances have ended, or when this instance's own requests must have.
func (d *Daemon) drainPaths() <-chan struct{} {
	drained := make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainLag.Duration+d.settings.Drain.Duration)
	go func() {
		defer close(drained)
		defer cancel()
		d.paths.Drain(ctx)
	}()
	return drained
}
