package state

import (
	"context"

	"github.com/hashicorp/go-hclog"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/duties"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/serverlist"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/process/usage"
	"github.com/lilacbridge/lilacbridge/version/packed"
	"github.com/lilacbridge/lilacbridge/version/routing"
	"github.com/lilacbridge/lilacbridge/version/scaling"
)

// dutyLog implements duties.Log on the replicated log.
type dutyLog struct{ *Service }

var _ duties.Log = dutyLog{}

// Leading implements duties.Log.
func (l dutyLog) Leading() (term uint64, ok bool) {
	status := l.log.Status()
	return status.Status.GetTerm(), status.IsLeader
}

// Barrier implements duties.Log.
func (l dutyLog) Barrier(ctx context.Context) error { return l.log.Barrier(ctx) }

// TakeLease implements duties.Log. For a takeover it names the last renewal as expired,
// which fails if another process has taken the lease since.
func (l dutyLog) TakeLease(ctx context.Context, r *lilacv1.LeaseRequest, takeover bool) (*lilacv1.LeaseReply, error) {
	if !takeover {
		return l.lease(ctx, link.Peer{}, r)
	}
	r.ExpiredRenewal = l.machine.Lease(r.GetName()).GetRenewal()
	result, err := l.replicate(ctx, &lilacv1.Command{Op: &lilacv1.Command_Lease{Lease: r}})
	if err != nil {
		return nil, err
	}
	return result.GetLease(), nil
}

// LeaseHolder implements duties.Log.
func (l dutyLog) LeaseHolder(name string) string { return l.machine.Lease(name).GetHolder() }

// ApplyUsage implements duties.Log.
func (l dutyLog) ApplyUsage(ctx context.Context, c *lilacv1.UsageCommand) error {
	_, err := l.replicate(ctx, &lilacv1.Command{Op: &lilacv1.Command_Usage{Usage: c}})
	return err
}

// Usage implements duties.Log.
func (l dutyLog) Usage() usage.State { return l.machine.Usage() }

// newDuties returns the holder of the duties and registers the method by which entries
// report to it; nil if the settings list no duties.
func newDuties(s *settings.State, service *Service, servers *serverlist.Store, control Control, logger hclog.Logger, mux *link.Mux) *duties.Holder {
	d := &s.Duties
	if len(d.Perform) == 0 {
		return nil
	}
	documents := &documentCache{machine: service.machine, decode: control.Decode, logger: logger}
	holder := duties.New(duties.Options{
		Name: d.Holder, Log: dutyLog{service}, Calls: control.Duties(d.Platform.Value, serverlist.NewClient()),
		Usage: d.Performs(settings.UsageReporting), Scaling: d.Performs(settings.Autoscaling),
		Timing:         usage.Timing{Window: d.UsageWindow.Duration, Delay: d.UsageDelay.Duration},
		ScalingOptions: scaling.Options{TargetUse: d.TargetUse, ShrinkAfter: d.ShrinkAfter.Duration, OrdinaryUse: d.OrdinaryUse},
		CallsPerSecond: d.CallsPerSecond, Lease: d.Lease.Duration, Fenced: d.Fenced,
		Services: documents.services, Servers: servers.Current, Logger: logger,
	})
	service.duties = holder
	mux.Handle("state.report", link.Unary(service.report))
	return holder
}

// report merges an entry's report of its usage and load. Only the leader does so.
func (s *Service) report(_ context.Context, _ link.Peer, r *lilacv1.InstanceReport) (*lilacv1.InstanceReportReply, error) {
	reply, leads := s.duties.Report(r)
	if !leads {
		return nil, s.notLeader()
	}
	return reply, nil
}

// notLeader returns the error of a method that only the leader answers.
func (s *Service) notLeader() error {
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER, "this state process is not the leader; ask the leader",
		fault.WithLeader(s.log.Status().Status.GetLeader()), fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))
}

// documentCache decodes the gateway's document once for each version. It is used by one
// goroutine.
type documentCache struct {
	machine *Machine
	decode  func([]byte) (*routing.Document, error)
	logger  hclog.Logger
	version uint64
	decoded []routing.Service
}

// services returns the services of the document in force; nil before the first one.
func (c *documentCache) services() []routing.Service {
	document := c.machine.Document()
	if document == nil || document.GetVersion() == c.version {
		return c.decoded
	}
	c.version = document.GetVersion()
	text, err := packed.Text(document)
	if err != nil {
		c.logger.Error("failed to unpack document; run the same version on all instances", "version", c.version, "error", err)
		return c.decoded
	}
	decoded, err := c.decode(text)
	if err != nil {
		c.logger.Error("failed to decode document; run the same version on all instances", "version", c.version, "error", err)
		return c.decoded
	}
	c.decoded = decoded.Services
	return c.decoded
}
