// Package duties performs the duties that one process at a time has towards the platform:
// the reports of usage and the orders of replicas.
//
// The leader of the replicated log holds them. It takes a new fencing number from the log
// whenever it begins to lead, and after every call whose effect is not certain, so that a
// call that the platform carries out late is refused once a newer one has been made. Right
// before its calls it confirms with a majority that it still leads; a process that was
// suspended or is cut off therefore sends nothing.
package duties

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/process/lease"
	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/process/usage"
	"github.com/lilacbridge/lilacbridge/version/routing"
	"github.com/lilacbridge/lilacbridge/version/scaling"
)

const (
	// LeaseName is the name of the lease whose fencing number the calls carry.
	LeaseName = "duties"
	// tickInterval is how often due calls are looked for.
	tickInterval = 250 * time.Millisecond
	// callTimeout bounds one call. The platform may carry it out later.
	callTimeout = time.Second
	// logTimeout bounds one command of the replicated log.
	logTimeout = 2 * time.Second
	// usageRetryInterval is the pause after a report that failed.
	usageRetryInterval = 500 * time.Millisecond
	// usagePerTick bounds the windows that are reported in one tick.
	usagePerTick = 8
)

// Log is the replicated log as this package uses it. Its methods fail on a process that
// doesn't lead.
type Log interface {
	// Leading returns the term in which this process believes to lead.
	Leading() (term uint64, ok bool)
	// Barrier returns nil if a majority confirms that this process leads.
	Barrier(ctx context.Context) error
	// TakeLease requests the lease for this process. If takeover is true, the current
	// holder's lease need not have expired.
	TakeLease(ctx context.Context, request *lilacv1.LeaseRequest, takeover bool) (*lilacv1.LeaseReply, error)
	// LeaseHolder returns the holder of the named lease; empty if there is none.
	LeaseHolder(name string) string
	// ApplyUsage appends a command on usage.
	ApplyUsage(ctx context.Context, command *lilacv1.UsageCommand) error
	// Usage returns the replicated state of usage.
	Usage() usage.State
}

// Options configure a Holder.
type Options struct {
	// Name is the holder's name in calls.
	Name  string
	Log   Log
	Calls gateway.DutyCalls
	// Usage and Scaling state which duties there are.
	Usage, Scaling bool
	Timing         usage.Timing
	ScalingOptions scaling.Options
	// CallsPerSecond bounds the calls to the platform.
	CallsPerSecond float64
	// Lease is how long the platform takes a holder for current after its last call.
	Lease time.Duration
	// Fenced is true if the platform refuses calls with an old fencing number.
	Fenced bool
	// Services returns the configured services; nil before there are any.
	Services func() []routing.Service
	// Servers returns the list of backend servers, or false if it is outdated.
	Servers func() ([]routing.Server, bool)
	Logger  hclog.Logger
	Now     func() time.Time
}

// Holder performs the duties while this process leads. It is safe for concurrent use.
type Holder struct {
	options Options

	// mu guards all fields below. It is not held during calls.
	mu sync.Mutex
	// term is the term in which this process leads; 0 while it doesn't.
	term      uint64
	since     time.Time
	collector *usage.Collector
	scaling   *scaling.Core
	loads     loadTable
	grant     lease.Grant
	// grants counts the fencing numbers taken, lastCall is when a call was last made.
	grants       int
	lastCall     time.Time
	usageRetryAt time.Time
	calls        map[CallKind]uint64
}

// New returns a Holder that does nothing until Run.
func New(options Options) *Holder {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Holder{options: options, calls: make(map[CallKind]uint64)}
}

// Run performs the duties until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.tick(ctx)
		}
	}
}

// Report merges an instance's report. It returns false if this process doesn't lead.
func (h *Holder) Report(r *lilacv1.InstanceReport) (*lilacv1.InstanceReportReply, bool) {
	term, leading := h.options.Log.Leading()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.follow(term, leading) {
		return nil, false
	}
	now := h.options.Now()
	h.collector.Report(now, r)
	h.loads.report(now, r)
	return &lilacv1.InstanceReportReply{NowUnixUs: h.collector.Now(now), ClosedWindow: h.options.Log.Usage().Closed}, true
}

// follow starts anew in each term and reports whether this process leads. The caller holds
// mu.
func (h *Holder) follow(term uint64, leading bool) bool {
	if !leading {
		if h.term != 0 {
			h.options.Logger.Info("duties lost", "term", h.term)
		}
		h.term, h.grant = 0, lease.Grant{}
		return false
	}
	if h.term == term {
		return true
	}
	now := h.options.Now()
	h.term, h.since, h.grant = term, now, lease.Grant{}
	h.collector = usage.NewCollector(now, h.options.Timing)
	h.scaling = scaling.New(h.options.ScalingOptions)
	h.loads = newLoadTable()
	return true
}

// tick commits usage and makes the calls that are due.
func (h *Holder) tick(ctx context.Context) {
	term, leading := h.options.Log.Leading()
	h.mu.Lock()
	leading = h.follow(term, leading)
	h.mu.Unlock()
	if !leading {
		return
	}
	if h.options.Usage {
		h.commitUsage(ctx)
	}
	reports, orders := h.due()
	if len(reports)+len(orders) == 0 {
		return
	}
	fencing, err := h.takeNumber(ctx)
	if err == nil {
		err = h.options.Log.Barrier(ctx)
	}
	if err != nil {
		h.options.Logger.Debug("duties not performed: leadership is not confirmed", "error", err)
		return
	}
	if confirmed, leading := h.options.Log.Leading(); !leading || confirmed != term {
		return
	}
	h.perform(ctx, gateway.Holder{Name: h.options.Name, Fencing: fencing}, reports, orders)
}

// commitUsage writes to the log what must outlive this process: the counts of instances
// that may be gone, and windows that are complete.
func (h *Holder) commitUsage(ctx context.Context) {
	now := h.options.Now()
	h.mu.Lock()
	h.collector.ObserveClock(now, h.options.Name, now.UnixMicro())
	checkpoints := h.collector.Checkpoints(now)
	h.mu.Unlock()
	for _, checkpoint := range checkpoints {
		if h.apply(ctx, &lilacv1.UsageCommand{Op: &lilacv1.UsageCommand_Checkpoint{Checkpoint: checkpoint}}) != nil {
			return
		}
		h.mu.Lock()
		h.collector.MarkSaved(checkpoint)
		h.mu.Unlock()
	}
	for {
		h.mu.Lock()
		window := h.collector.ToClose(h.options.Now(), h.options.Log.Usage())
		h.mu.Unlock()
		if window == nil || h.apply(ctx, &lilacv1.UsageCommand{Op: &lilacv1.UsageCommand_Close{Close: window}}) != nil {
			return
		}
		h.options.Logger.Info("usage window closed", "window", window.GetWindow(), "teams", len(window.GetTeams()), "requests", usage.Total(window))
	}
}

func (h *Holder) apply(ctx context.Context, command *lilacv1.UsageCommand) error {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	err := h.options.Log.ApplyUsage(ctx, command)
	if err != nil {
		h.options.Logger.Debug("usage not written to the log", "error", err)
	}
	return err
}

// due returns the calls to make now.
func (h *Holder) due() (reports []*lilacv1.WindowUsage, orders []scaling.Order) {
	now := h.options.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.options.Usage && !now.Before(h.usageRetryAt) {
		reports = h.options.Log.Usage().Unacknowledged
		reports = reports[:min(len(reports), usagePerTick)]
	}
	if h.options.Scaling {
		orders = h.scalingOrders(now)
	}
	budget := max(1, number.Int(h.options.CallsPerSecond*tickInterval.Seconds())-len(reports))
	return reports, orders[:min(len(orders), budget)]
}

// scalingOrders feeds the core what has changed. The caller holds mu.
func (h *Holder) scalingOrders(now time.Time) []scaling.Order {
	services := h.options.Services()
	h.scaling.Step(now, scaling.Configured{Services: services})
	if servers, current := h.options.Servers(); current {
		h.scaling.Step(now, scaling.Listed{Servers: servers})
	}
	for i := range services {
		if load, known := h.loads.replicas(now, &services[i]); known {
			h.scaling.Step(now, scaling.Load{Service: services[i].Name, Replicas: load})
		}
	}
	return h.scaling.Step(now, scaling.Tick{})
}

// takeNumber returns the fencing number to use, and takes a new one from the log if there
// is none.
func (h *Holder) takeNumber(ctx context.Context) (uint64, error) {
	now := h.options.Now()
	h.mu.Lock()
	if h.grant.Fencing() != 0 && (h.options.Fenced || h.grant.Valid(now)) {
		defer h.mu.Unlock()
		return h.grant.Fencing(), nil
	}
	h.grants++
	term, lastCall := h.term, h.lastCall
	// A new number needs a new incarnation: the table takes a known one for a renewal.
	incarnation := fmt.Sprintf("%s/%d/%d", h.options.Name, term, h.grants)
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	request := &lilacv1.LeaseRequest{Name: LeaseName, Holder: h.options.Name, Incarnation: incarnation, DurationMs: uint32(h.options.Lease.Milliseconds())}
	// If another process has held the duties since the last call of this one, this one must
	// not act again before the platform has forgotten that call.
	alternates := h.options.Log.LeaseHolder(LeaseName) != h.options.Name && now.Sub(lastCall) <= h.options.Lease
	takeover := h.options.Fenced && !alternates
	reply, err := h.options.Log.TakeLease(ctx, request, takeover)
	if err != nil {
		return 0, err
	}
	if !reply.GetGranted() {
		return 0, errHeldByOther
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.grant.Update(now, reply)
	h.options.Logger.Info("duties held", "term", term, "fencing", reply.GetFencing())
	return reply.GetFencing(), nil
}

// errHeldByOther is returned while the lease of another holder has not expired.
var errHeldByOther = errors.New("another process's lease of the duties has not expired yet")
