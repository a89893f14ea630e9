package entry

import (
	"context"
	"crypto/rand"
	"maps"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/process/usage"
)

const (
	// reportInterval bounds how much of an instance's usage is lost with it.
	reportInterval = 500 * time.Millisecond
	// reportTimeout bounds one report. The next one holds the same counts.
	reportTimeout = 2 * time.Second
)

// usageReporter reports this instance's usage and load to the leader of the state
// processes, and takes the fleet's time from the replies.
type usageReporter struct {
	daemon *Daemon
	// counter is nil if usage is not reported.
	counter     *usage.Counter
	load        bool
	incarnation string
	roundTrip   time.Duration
}

// newUsageReporter returns nil if the settings list no duties.
func newUsageReporter(d *Daemon) *usageReporter {
	duties := &d.settings.Duties
	if len(duties.Perform) == 0 {
		return nil
	}
	r := &usageReporter{daemon: d, load: duties.Performs(settings.Autoscaling), incarnation: d.settings.Name + "/" + rand.Text()}
	if duties.Performs(settings.UsageReporting) {
		r.counter = usage.NewCounter(duties.UsageWindow.Duration, time.Now)
	}
	return r
}

// run sends reports until ctx ends.
func (r *usageReporter) run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.send(ctx, false)
		}
	}
}

// send sends one report. Errors are ignored, since the next report holds the same counts.
func (r *usageReporter) send(ctx context.Context, last bool) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report := &lilacv1.InstanceReport{Incarnation: r.incarnation, RoundTripUs: uint32(r.roundTrip.Microseconds()), Last: last}
	if r.load {
		report.Work = r.ownWork()
	}
	sent := time.Now()
	report.ClockUnixUs = sent.UnixMicro()
	if r.counter != nil {
		report.Windows, report.CountedUntilUnixUs = r.counter.Open()
	}
	reply, err := r.daemon.state.Report(ctx, report)
	if err != nil {
		r.daemon.logger.Debug("usage not reported; the next report repeats it", "error", err)
		return
	}
	received := time.Now()
	r.roundTrip = received.Sub(sent)
	if r.counter == nil {
		return
	}
	if reply.GetNowUnixUs() > 0 {
		r.counter.SetTime(received, reply.GetNowUnixUs()+(r.roundTrip/2).Microseconds())
	}
	r.counter.Close(reply.GetClosedWindow())
}

// ownWork returns the instance's load by pool.
func (r *usageReporter) ownWork() []*lilacv1.PoolWork {
	report, ok := r.daemon.ownLoads()
	if !ok {
		return nil
	}
	var all []*lilacv1.PoolWork
	for _, pool := range slices.Sorted(maps.Keys(report.Work)) {
		work := report.Work[pool]
		message := work.Encode(pool)
		message.Plan = nil
		all = append(all, message)
	}
	return all
}

// started counts a request of the team that a backend server began to run.
func (r *usageReporter) started(team string) {
	if r != nil && r.counter != nil {
		r.counter.Add(team)
	}
}
