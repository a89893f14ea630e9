package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

func leaseRequest(holder string, ms uint32, expired uint64) *lilacv1.LeaseRequest {
	return &lilacv1.LeaseRequest{Name: "orders", Holder: holder, Incarnation: holder + "/1", DurationMs: ms, ExpiredRenewal: expired}
}

func TestOneHolderWithIncreasingFencingTokens(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for _, c := range []struct {
		name    string
		request *lilacv1.LeaseRequest
		granted bool
		holder  string
		fencing uint64
	}{
		{"first", leaseRequest("a", 1000, 0), true, "a", 1},
		{"renewal keeps the number", leaseRequest("a", 1000, 0), true, "a", 1},
		{"held by another", leaseRequest("b", 1000, 0), false, "a", 1},
		{"the renewal before has run out", leaseRequest("b", 1000, 1), false, "a", 1},
		{"the last renewal has run out", leaseRequest("b", 1000, 2), true, "b", 2},
		{"the old holder renews", leaseRequest("a", 1000, 0), false, "b", 2},
		{"the old holder gives back", leaseRequest("a", 0, 0), false, "b", 2},
		{"given back", leaseRequest("b", 0, 0), false, "", 2},
		{"free", leaseRequest("a", 1000, 0), true, "a", 3},
	} {
		reply, err := table.Apply(c.request)
		t.Log(c.name)
		is.NoErr(err)
		is.Equal(reply.GetGranted(), c.granted)
		is.Equal(reply.GetHolder(), c.holder)
		is.Equal(reply.GetFencing(), c.fencing)
	}
}

// A restarted holder is a different holder: orders of its previous incarnation may
// still be in flight, so the fencing token must increase.
func TestRestartedHolderIsDifferentHolder(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	_, err := table.Apply(leaseRequest("a", 1000, 0))
	is.NoErr(err)
	again := leaseRequest("a", 1000, 0)
	again.Incarnation = "a/2"
	reply, err := table.Apply(again)
	is.NoErr(err)
	is.True(!reply.GetGranted())
	again.ExpiredRenewal = 1
	reply, err = table.Apply(again)
	is.NoErr(err)
	is.True(reply.GetGranted())
	is.Equal(reply.GetFencing(), uint64(2))
	restored := NewTable()
	restored.Restore(table.Snapshot())
	is.True(proto.Equal(restored.Snapshot(), table.Snapshot()))
	_, err = table.Apply(leaseRequest("a", maxDurationMs+1, 0))
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST))
}

// A holder is suspended while it renews, or the reply is delayed. If its lease
// counted from the reply, it could still act when another instance holds the lease.
func TestGrantStartsWhenRequestWasSent(t *testing.T) {
	is := is.New(t)
	sent := time.Unix(1_764_700_000, 0)
	h := &Grant{}
	is.True(!h.Valid(sent))
	h.Update(sent, &lilacv1.LeaseReply{Granted: true, Fencing: 4, DurationMs: 1000})
	is.True(h.Valid(sent.Add(899 * time.Millisecond)))
	is.True(!h.Valid(sent.Add(900 * time.Millisecond)))
	h.Update(sent.Add(-time.Second), &lilacv1.LeaseReply{Granted: true, Fencing: 4, DurationMs: 1000})
	is.True(h.Valid(sent.Add(899 * time.Millisecond)))
	h.Update(sent.Add(time.Second), &lilacv1.LeaseReply{Holder: "b", Fencing: 5})
	is.True(!h.Valid(sent))
}
