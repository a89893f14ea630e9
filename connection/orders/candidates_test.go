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

const testCentres = 3

// leader is a fake of the state processes that counts requests.
type leader struct {
	mu      sync.Mutex
	table   *lease.Table
	renewed time.Time
	calls   int
	// cut entries get no answer.
	cut map[string]bool
}

func (l *leader) lease(ctx context.Context, name string, r *lilacv1.LeaseRequest) (*lilacv1.LeaseReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.cut[name] {
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

// entries runs n controllers in three data centres.
type entries struct {
	*leader
	controllers map[string]*Controller
	names       [testCentres][]string
	stop        map[string]context.CancelFunc
	work        sync.WaitGroup
}

func runEntries(ctx context.Context, n int, ranked bool) *entries {
	x := &entries{leader: &leader{table: lease.NewTable(), cut: make(map[string]bool)}, controllers: make(map[string]*Controller), stop: make(map[string]context.CancelFunc)}
	for i := range n {
		name := fmt.Sprint("entry-", i)
		x.names[i%testCentres] = append(x.names[i%testCentres], name)
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
	for name, g := range x.controllers {
		entry, stop := context.WithCancel(ctx)
		x.stop[name] = stop
		x.work.Go(func() { g.keepLease(entry) })
	}
	return x
}

// rank tells all who lives, as the membership does.
func (x *entries) rank() {
	for _, names := range x.names {
		for _, name := range names {
			x.controllers[name].SetPosition(member.Position(name, names))
		}
	}
}

// The leader of a fleet of 1,100 entries answered all of them in vain. Only a
// few may ask often; the calls must grow much less than the fleet.
func TestFewAskForTheLease(t *testing.T) {
	is := is.New(t)
	rate := func(n int, ranked bool) (perSecond float64) {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			x := runEntries(ctx, n, ranked)
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
		t.Logf("%d entries, ranked %v: %.1f calls a second", n, ranked, perSecond)
		return perSecond
	}
	is.True(rate(7, true) <= rate(7, false)+0.2)
	is.True(rate(1100, true) < rate(1100, false)/15)
}

// The holder and the best-ranked of each data centre die, and the membership
// tells the others, whose turns lie minutes away. Or they are taken for alive
// and can't reach the leader. Another must take the lease over either way.
func TestDeadCandidatesAreReplaced(t *testing.T) {
	for _, seen := range []bool{true, false} {
		t.Run(fmt.Sprint("seen ", seen), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(t.Context())
				x := runEntries(ctx, 300, true)
				time.Sleep(time.Minute)
				dead := make(map[string]bool)
				x.mu.Lock()
				for _, names := range x.names {
					for _, name := range names {
						if member.Position(name, names) < 3 {
							x.cut[name], dead[name] = true, true
						}
					}
				}
				dead[x.table.Get(LeaseName).GetHolder()] = true
				x.cut[x.table.Get(LeaseName).GetHolder()] = true
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
