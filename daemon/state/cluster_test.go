package state

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/internal/loopback"
	"github.com/lilacbridge/lilacbridge/internal/memdisk"
	"github.com/lilacbridge/lilacbridge/process/ledger"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/process/wal"
)

// cluster is a set of state processes with real logs on disks of their own. Tests can stop, empty,
// recover and restart them on the same addresses.
type cluster struct {
	t  testing.TB
	is *is.I
	// disks are by the process's name; a test takes one away or replaces it.
	disks   map[string]wal.Folder
	peers   []settings.Peer
	running map[string]*stateProcess
	// random generates the identities of recoveries; deterministic.
	random atomic.Uint64
}

// stateProcess is a state process with the real log.
type stateProcess struct {
	process
	running  RunningLog
	listener net.Listener
	// done receives the error of the log's Run.
	done chan error
}

func newCluster(t testing.TB, n int) *cluster {
	c := &cluster{t: t, is: is.New(t), disks: map[string]wal.Folder{}, running: map[string]*stateProcess{}}
	var listeners []net.Listener
	for i := range n {
		listener, err := loopback.Listen()
		c.is.NoErr(err)
		listeners = append(listeners, listener)
		name := string(rune('a' + i))
		c.peers = append(c.peers, settings.Peer{Name: name, Address: settings.Address{Value: listener.Addr().String()}, DataCenter: "dc-" + name})
		c.disks[name] = memdisk.NewFolder(t)
	}
	for i, listener := range listeners {
		c.is.NoErr(c.serve(c.peers[i].Name, listener))
	}
	t.Cleanup(func() {
		for name := range c.running {
			c.stop(name)
		}
	})
	return c
}

func (c *cluster) peerIndex(name string) int {
	return slices.IndexFunc(c.peers, func(p settings.Peer) bool { return p.Name == name })
}

// start starts the process on its current disk and returns the error of opening the log.
func (c *cluster) start(name string) error {
	listener, err := net.Listen("tcp", c.peers[c.peerIndex(name)].Address.Value)
	c.is.NoErr(err)
	return c.serve(name, listener)
}

func (c *cluster) serve(name string, listener net.Listener) error {
	i := c.peerIndex(name)
	peer := c.peers[i]
	s := &settings.State{
		Common: settings.Common{Name: peer.Name, DataCenter: peer.DataCenter, Link: peer.Address},
		Peers:  slices.Delete(slices.Clone(c.peers), i, i+1), Bootstrap: true,
		Heartbeat: settings.Duration{Duration: 20 * time.Millisecond}, Election: settings.Duration{Duration: 200 * time.Millisecond},
	}
	machine := NewMachine(0, ledger.Limits{})
	mux := link.NewMux()
	id := link.Identity{Peer: link.Peer{Process: peer.Name, DataCenter: peer.DataCenter}, Keys: secret.StaticKeys(testKey)}
	log, err := openReplica(c.disks[name], s, machine, mux, id, hclog.NewNullLogger(), prometheus.NewRegistry())
	if err != nil {
		listener.Close()
		return err
	}
	service := NewService(machine, log, hclog.NewNullLogger())
	service.Register(mux)
	mux.Handle("test.nothing", link.Unary(func(context.Context, link.Peer, *lilacv1.StateStatusRequest) (*lilacv1.StateStatus, error) {
		return &lilacv1.StateStatus{}, nil
	}))
	server := link.NewServer(id, mux)
	go server.Serve(listener)
	m := &stateProcess{process: process{peer: peer, service: service, server: server}, running: log, listener: listener, done: make(chan error, 1)}
	ctx, stop := context.WithCancel(context.Background())
	c.t.Cleanup(stop)
	go func() { m.done <- log.Run(ctx) }()
	c.running[name] = m
	return nil
}

func (c *cluster) stop(name string) {
	m := c.running[name]
	delete(c.running, name)
	m.service.Close()
	m.running.Close()
	m.listener.Close()
	m.server.Close()
}

func (c *cluster) processes() []*process {
	var all []*process
	for _, peer := range c.peers {
		all = append(all, &process{peer: peer})
	}
	return all
}

// waitUntil polls until the condition holds; the timeout of the test run ends a hang.
func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(5 * time.Millisecond)
	}
}
