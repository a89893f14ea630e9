package state

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

func leaseOf(ms uint32) *lilacv1.LeaseRequest {
	return &lilacv1.LeaseRequest{Name: "orders", DurationMs: ms}
}

// The holder of a lease is unreachable. Another instance may take over only after the leader
// has measured the full duration and the allowance for clock drift. A new leader must measure
// the full duration itself, because it can't know when the lease was last renewed.
func TestLeaseIsTakenOverOnlyAfterItExpired(t *testing.T) {
	for _, c := range []struct {
		name      string
		newLeader bool
	}{{"same leader", false}, {"leader from a snapshot", true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, all := group(t, 1)
			service := all[0].service
			now := time.Now()
			clock := func() time.Time { return now }
			service.leaseTimer.now = clock
			a, b := newClient(t, all, "entry-a"), newClient(t, all, "entry-b")
			held, err := a.Lease(t.Context(), leaseOf(1000))
			is.NoErr(err)
			is.True(held.GetGranted())
			applied := service.machine.Counts().Applied
			now = now.Add(time.Second)
			refused, err := b.Lease(t.Context(), leaseOf(1000))
			is.NoErr(err)
			is.True(!refused.GetGranted())
			is.Equal(refused.GetHolder(), "entry-a")
			is.Equal(service.machine.Counts().Applied, applied)
			now = now.Add(100 * time.Millisecond)
			if c.newLeader {
				service.leaseTimer = newLeaseTimer(clock)
				refused, err = b.Lease(t.Context(), leaseOf(1000))
				is.NoErr(err)
				is.True(!refused.GetGranted())
				now = now.Add(1100 * time.Millisecond)
			}
			taken, err := b.Lease(t.Context(), leaseOf(1000))
			is.NoErr(err)
			is.True(taken.GetGranted())
			is.Equal(taken.GetFencing(), held.GetFencing()+1)
			late, err := a.Lease(t.Context(), leaseOf(1000))
			is.NoErr(err)
			is.True(!late.GetGranted())
		})
	}
}

func TestLeasesAreShown(t *testing.T) {
	is := is.New(t)
	_, all := group(t, 1)
	_, err := newClient(t, all, "entry-a").Lease(t.Context(), leaseOf(1000))
	is.NoErr(err)
	caller := dialer(t)(all[0].peer.Address.Value)
	reply := &lilacv1.QueryReply{}
	is.NoErr(caller.Call(t.Context(), "state.query", &lilacv1.QueryRequest{Subject: "leases"}, reply))
	is.Equal(len(reply.GetRows()), 1)
	is.Equal(reply.GetRows()[0].GetValues()[:3], []string{"orders", "entry-a", "1"})
	err = caller.Call(t.Context(), "state.query", &lilacv1.QueryRequest{Subject: "teams"}, reply)
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST))
}
