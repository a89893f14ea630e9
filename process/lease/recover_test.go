package lease

import (
	"testing"

	"github.com/matryer/is"
)

// The lost majority granted the lease under a fencing token that the survivor never
// saw, and its holder may still issue orders. After the recovery, another instance
// must get the lease neither immediately nor under a token that engines may have
// seen.
func TestRecoveredLeaseExpiresBeforeNewGrant(t *testing.T) {
	for name, before := range map[string]int{"known before": 1, "never seen": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable()
			for range before {
				_, err := table.Apply(leaseRequest("a", 1000, 0))
				is.NoErr(err)
			}
			table.Recover()
			restored := NewTable()
			restored.Restore(table.Snapshot())
			for _, holder := range []string{"c", "a"} {
				reply, err := restored.Apply(leaseRequest(holder, 1000, 0))
				is.NoErr(err)
				is.True(!reply.GetGranted())
				is.Equal(reply.GetDurationMs(), uint32(maxDurationMs))
			}
			held := restored.Get("orders")
			reply, err := restored.Apply(leaseRequest("c", 1000, held.GetRenewal()))
			is.NoErr(err)
			is.True(reply.GetGranted())
			is.Equal(reply.GetFencing(), uint64(before+recoveryFencingGap+1))
		})
	}
}
