// Package entry assembles an entry instance. It accepts callers' HTTP requests,
// schedules them with the policy core and forwards them to backend servers.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/caller"
	"github.com/lilacbridge/lilacbridge/connection/connguard"
	"github.com/lilacbridge/lilacbridge/connection/engine"
	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/holding"
	"github.com/lilacbridge/lilacbridge/connection/service"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/process/logs"
	"github.com/lilacbridge/lilacbridge/process/metrics"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/request/outcome"
	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/request/relay"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// State is the client of the state processes, as used by an entry.
type State interface {
	outcome.Ledger
	// Propose returns once the state processes have accepted or refused the proposal.
	Propose(ctx context.Context, proposal *lilacv1.Proposal) (*lilacv1.ProposeReply, error)
}

// Options configure an Entry. All fields are required unless noted otherwise.
type Options struct {
	Settings  *settings.Entry
	CallerKey *secret.Reloadable[[]byte]
	State     State
	Logger    hclog.Logger
	// OnAnnounce is called when the digest should be sent at once. It must not block;
	// it may be nil.
	OnAnnounce func()
	// OnRun is called for each request of a team that a backend server begins to run. It
	// may be nil.
	OnRun func(team string)
	// OnBorrow is called to ask other instances for retries. It must not block; it may be nil.
	OnBorrow func(policy.BorrowRetries)
	// Gateway is the wire protocol of gateway requests; nil without a gateway.
	Gateway gateway.Protocol
	// Origins keeps resumed streams at their software version; nil without a gateway.
	Origins relay.Origins
	// Core makes the scheduling decisions; nil means the default policy.
	Core policy.Core
}

// Entry is the request path of an entry instance. The caller owns the listeners.
type Entry struct {
	settings *settings.Entry
	logger   hclog.Logger
	state    State
	log      *logs.Log
	registry *prometheus.Registry
	counters *metrics.Entry
	clients  *upstream.Client
	// gatewayUpstream holds the connections of gateway requests; nil without a gateway.
	gatewayUpstream *upstream.Client
	// holdings is nil if what the instance holds isn't bounded.
	holdings *holding.Store
	// guards are the accounts of connections by server, callerGuard that of all callers.
	guards      map[string]*connguard.Guard
	callerGuard *connguard.Guard
	relay       *relay.Relay
	claims      *outcome.Claims
	callers     *caller.Handler
	poller      *engine.Poller
	// convictions holds changes of the convictions to propose.
	convictions chan func(time.Time) *lilacv1.Proposal
	leaving     atomic.Bool
	// onLeave tells the gateway handler that the instance drains; nil without a gateway.
	onLeave func()
	ctx     context.Context
	cancel  context.CancelFunc
}

// New returns an Entry. It serves requests only while Run is running; Close releases
// its connections.
func New(options Options) *Entry {
	e := &Entry{
		settings: options.Settings, logger: options.Logger, state: options.State,
		log: logs.New(options.Logger), registry: metrics.NewRegistry(), clients: upstream.NewClient(), convictions: make(chan func(time.Time) *lilacv1.Proposal, maxPendingConvictions),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.counters = metrics.NewEntry(e.registry)
	e.claims = outcome.NewClaims(e.ctx, options.State)
	core := options.Core
	if core == nil {
		core = newCore(options.Settings)
	}
	e.clients.SetOnSurplus(e.logSurplus)
	e.openHoldings()
	e.guards = make(map[string]*connguard.Guard)
	e.callerGuard = e.newGuard("callers", connguard.CallerLimits(e.machine()))
	e.registry.MustRegister(connguard.Collector(e.guards))
	engines := engine.NewClient(e.clients)
	e.relay = relay.New(relay.Options{
		Core: core, Engines: engines, Services: service.NewClient(e.clients), Claims: e.claims,
		Counter: e.counters, OnConvict: e.queueConviction, OnLift: e.queueLift, OnClaimTrial: e.claimTrial, OnAnnounce: options.OnAnnounce, OnRun: options.OnRun, OnBorrow: options.OnBorrow,
		Log: e.log, Protocol: options.Gateway, Gateway: e.newGatewayClient(options.Gateway),
		Origins: options.Origins, Holdings: e.holdings, UnreadTimeout: options.Settings.Limits.UnreadTimeout.Duration,
	})
	e.registry.MustRegister(newCoreStats(e.relay))
	metrics.RegisterTraffic(e.registry, "lilacbridge_control_upstream_bytes_total",
		"Bytes of control calls to backend servers, without packet headers.", e.clients.ControlBytes)
	metrics.RegisterTraffic(e.registry, "lilacbridge_control_upstream_packets_total",
		"Packets of control calls to backend servers, acknowledgements included.", e.clients.ControlPackets)
	e.callers = caller.NewHandler(options.Settings, options.CallerKey, e.relay, e.counters)
	e.callers.SetHoldings(e.holdings)
	e.poller = engine.NewPoller(engines, reports{e.relay})
	return e
}

// newGatewayClient returns the client for gateway requests; nil without a gateway.
func (e *Entry) newGatewayClient(protocol gateway.Protocol) *gateway.Client {
	if protocol == nil {
		return nil
	}
	e.gatewayUpstream = upstream.NewClientWithIDHeader(protocol.IDHeader())
	e.gatewayUpstream.SetOnSurplus(e.logSurplus)
	e.gatewayUpstream.SetUploadStall(e.settings.Limits.UploadStall.Duration)
	return gateway.NewClient(e.gatewayUpstream, protocol)
}

// blocksDivisor is the part of the memory for what is remembered of prompts.
const blocksDivisor = 10

func newCore(s *settings.Entry) policy.Core {
	var seed [8]byte
	_, _ = rand.Read(seed[:])
	return policy.New(policy.Options{
		Instance: s.Name, DataCenter: s.DataCenter, Incarnation: rand.Text(),
		Seed: binary.LittleEndian.Uint64(seed[:]), Weights: s.Policy, Started: time.Now(),
		MaxBlocks: int(s.Limits.MemoryBytes() / blocksDivisor / policy.BlockBytes),
	})
}

// Configure applies a configuration revision.
func (e *Entry) Configure(view *model.View) {
	e.relay.Configure(view)
	if e.gatewayUpstream == nil {
		// With a gateway, servers report their load in each response.
		e.poller.Watch(pollSet(view, e.settings.Name))
	}
}

// Run runs the entry's goroutines until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	go e.poller.Run(ctx)
	go e.proposeConvictions(ctx)
	e.relay.Run(ctx)
}

// Digest returns the state that this instance sends to the others.
func (e *Entry) Digest(ctx context.Context) (*lilacv1.Digest, error) {
	digest, err := e.relay.Digest(ctx)
	if err != nil {
		return nil, err
	}
	digest.Leaving = digest.GetLeaving() || e.leaving.Load()
	return digest, nil
}

// Ready returns nil if the entry accepts requests, otherwise the reason why not.
func (e *Entry) Ready() error {
	switch {
	case e.leaving.Load():
		return errLeaving
	case e.relay.View() == nil:
		return errNoConfiguration
	}
	return nil
}
