package orders

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/lease"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const testDataCenters = 3

// leader is a fake of the state processes that counts lease requests.
type leader struct {
	mu      sync.Mutex
	table   *lease.Table
	renewed time.Time
	calls   int
	// unreachable entries receive no answer.
	unreachable map[string]bool
}

func (l *leader) lease(ctx context.Context, name string, r *lilacv1.LeaseRequest) (*lilacv1.LeaseReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.unreachable[name] {
		return nil, context.DeadlineExceeded
	}
	r.Holder, r.Incarnation = name, name
	if time.Since(l.renewed) > 10500*time.Millisecond {
		r.ExpiredRenewal = l.table.Get(LeaseName).GetRenewal()
	}
	reply, err := l.table.Apply(r)
	if reply.GetGranted() {
		l.renewed = time.Now()
	}
	return reply, err
}

func (l *leader) holder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Get(LeaseName).GetHolder()
}

// fleet is a set of controllers spread over three data centres.
type fleet struct {
	*leader
	controllers map[string]*Controller
	names       [testDataCenters][]string
	stop        map[string]context.CancelFunc
	work        sync.WaitGroup
}

func startFleet(ctx context.Context, n int, ranked bool) *fleet {
	x := &fleet{leader: &leader{table: lease.NewTable(), unreachable: make(map[string]bool)}, controllers: make(map[string]*Controller), stop: make(map[string]context.CancelFunc)}
	for i := range n {
		name := fmt.Sprint("entry-", i)
		x.names[i%testDataCenters] = append(x.names[i%testDataCenters], name)
		x.controllers[name] = New(Options{
			View: func() *model.View { return nil },
			RequestLease: func(ctx context.Context, r *lilacv1.LeaseRequest) (*lilacv1.LeaseReply, error) {
				return x.lease(ctx, name, r)
			},
		})
	}
	if ranked {
		x.rank()
	}
	for name, controller := range x.controllers {
		entry, stop := context.WithCancel(ctx)
		x.stop[name] = stop
		x.work.Go(func() { controller.keepLease(entry) })
	}
	return x
}

// rank sets the position of each controller, as the membership does.
func (x *fleet) rank() {
	for _, names := range x.names {
		for _, name := range names {
			x.controllers[name].SetPosition(member.Position(name, names))
		}
	}
}

// The leader of a fleet of 1,100 entries had to refuse the lease requests of all of them.
// Only a few entries may request the lease often, so that the request rate grows much more
// slowly than the fleet.
func TestLeaseRequestRateIsBounded(t *testing.T) {
	is := is.New(t)
	rate := func(n int, ranked bool) (perSecond float64) {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			x := startFleet(ctx, n, ranked)
			time.Sleep(time.Minute)
			x.mu.Lock()
			before := x.calls
			x.mu.Unlock()
			time.Sleep(10 * time.Minute)
			x.mu.Lock()
			perSecond = float64(x.calls-before) / 600
			x.mu.Unlock()
			stop()
			x.work.Wait()
		})
		t.Logf("%d entries, ranked %v: %.1f calls per second", n, ranked, perSecond)
		return perSecond
	}
	is.True(rate(7, true) <= rate(7, false)+0.2)
	is.True(rate(1100, true) < rate(1100, false)/15)
}

// The holder and the best-ranked entries of each data centre fail. Either the membership
// reports that to the others, whose next requests are minutes away, or the failed entries
// are still considered alive but can't reach the leader. In both cases another entry must
// take over the lease.
func TestDeadCandidatesAreReplaced(t *testing.T) {
	for _, seen := range []bool{true, false} {
		t.Run(fmt.Sprint("seen ", seen), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(t.Context())
				x := startFleet(ctx, 300, true)
				time.Sleep(time.Minute)
				dead := make(map[string]bool)
				x.mu.Lock()
				for _, names := range x.names {
					for _, name := range names {
						if member.Position(name, names) < 3 {
							x.unreachable[name], dead[name] = true, true
						}
					}
				}
				dead[x.table.Get(LeaseName).GetHolder()] = true
				x.unreachable[x.table.Get(LeaseName).GetHolder()] = true
				x.mu.Unlock()
				if seen {
					for i, names := range x.names {
						var live []string
						for _, name := range names {
							if !dead[name] {
								live = append(live, name)
							}
						}
						x.names[i] = live
					}
					x.rank()
				}
				time.Sleep(40 * time.Second)
				is.True(!dead[x.holder()])
				stop()
				x.work.Wait()
			})
		})
	}
}
