package state

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/duties"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/platform"
	"github.com/lilacbridge/lilacbridge/platform/standin"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/ledger"
	"github.com/lilacbridge/lilacbridge/process/usage"
	"github.com/lilacbridge/lilacbridge/version/routing"
	"github.com/lilacbridge/lilacbridge/version/scaling"
)

const usageWindow = 5 * time.Second

// newDutyGroup returns the services of a group of two, each with a running holder.
func newDutyGroup(ctx context.Context, shared *sharedLog, p *standin.Duties) []*Service {
	var services []*Service
	for _, name := range []string{"a", "b"} {
		machine := NewMachine(0, ledger.Limits{})
		shared.machines = append(shared.machines, machine)
		service := NewService(machine, &memberLog{group: shared, address: name}, hclog.NewNullLogger())
		service.duties = duties.New(duties.Options{
			Name: name, Log: dutyLog{service}, Calls: &platform.DutyCalls{Address: "10.0.0.1:80", Client: &http.Client{Transport: p}},
			Usage: true, Scaling: true, Timing: usage.Timing{Window: usageWindow, Delay: 2 * usageWindow}, Fenced: true,
			ScalingOptions: scaling.Options{TargetUse: 0.5, ShrinkAfter: 20 * time.Second}, CallsPerSecond: 10, Lease: 3 * time.Second,
			Services: func() []routing.Service {
				return []routing.Service{{Name: "llm", Scaling: &routing.Scaling{Minimum: 1, Maximum: 4, BootTime: time.Second, ReclaimablePrice: 0.2}}}
			},
			Servers: func() ([]routing.Server, bool) { return []routing.Server{{Service: "llm", DataCenter: "dc"}}, true },
			Logger:  hclog.NewNullLogger(),
		})
		services = append(services, service)
		go service.duties.Run(ctx)
	}
	shared.leader = "a"
	return services
}

// The leader ends after it has reported a window. Guards against windows that are reported
// twice or never when leadership moves, and against a process that answers reports without
// leading.
func TestDutiesMoveWithTheLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		shared := &sharedLog{}
		p := standin.NewDuties(time.Now, 3*time.Second)
		services := newDutyGroup(ctx, shared, p)
		counter := usage.NewCounter(usageWindow, time.Now)
		serve := func(leader *Service, d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
				counter.Add("team")
				windows, until := counter.Open()
				reply, err := leader.report(ctx, link.Peer{}, &lilacv1.InstanceReport{Instance: "entry", Incarnation: "entry", ClockUnixUs: time.Now().UnixMicro(), Windows: windows, CountedUntilUnixUs: until})
				is.NoErr(err)
				if reply.GetNowUnixUs() > 0 {
					counter.SetTime(time.Now(), reply.GetNowUnixUs())
				}
				counter.Close(reply.GetClosedWindow())
			}
		}
		serve(services[0], 30*time.Second)
		before := len(p.Usage())
		is.True(before >= 5)
		_, err := services[1].report(ctx, link.Peer{}, &lilacv1.InstanceReport{})
		is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER))
		duty := services[0].dutyRows().GetRows()[0].GetValues()
		is.Equal(duty[0], "true")
		is.Equal(duty[2], "1") // the fencing number
		replicas := services[0].replicaRows().GetRows()
		is.Equal(len(replicas), 2) // both kinds in one data centre
		is.Equal(replicas[1].GetValues()[:4], []string{"llm", "dc", "reclaimable", "1"})
		is.Equal(len(services[1].replicaRows().GetRows()), 0)

		shared.mu.Lock()
		shared.leader = "b"
		shared.mu.Unlock()
		serve(services[1], 30*time.Second)
		is.True(len(p.Usage()) >= before+5)
		is.Equal(len(p.Problems()), 0)
		is.Equal(services[0].dutyRows().GetRows()[0].GetValues()[0], "false")
		is.Equal(services[1].dutyRows().GetRows()[0].GetValues()[2], "2")
		cancel()
		synctest.Wait()
	})
}

// The state of usage reports must survive a restart from a snapshot.
func TestSnapshotHoldsUsage(t *testing.T) {
	is := is.New(t)
	m := NewMachine(0, ledger.Limits{})
	m.apply(&lilacv1.Command{Op: &lilacv1.Command_Usage{Usage: &lilacv1.UsageCommand{Op: &lilacv1.UsageCommand_Close{Close: &lilacv1.WindowUsage{Window: 7}}}}})
	data, err := m.Snapshot()
	is.NoErr(err)
	restored := NewMachine(0, ledger.Limits{})
	is.NoErr(restored.Restore(data))
	is.Equal(restored.Usage().Closed, int64(7))
	is.Equal(len(restored.Usage().Unacknowledged), 1)
}
