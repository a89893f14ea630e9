package limits

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1_800_000_000, 0)

// A team sends to two instances at once. If each instance enforced the limit alone, the
// team would get twice its rate; each must count what the other spent.
func TestLimitHoldsAcrossInstances(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 1000}
	tables := []*Table{NewTable(), NewTable()}
	tables[0].ObserveSpent("1", "a", limit, 0, epoch)
	tables[1].ObserveSpent("0", "a", limit, 0, epoch)
	spent := 0.0
	const seconds = 60
	for step := range seconds * 100 {
		now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
		for _, table := range tables {
			if _, ok := table.Allow("a", limit, now); ok {
				table.Spend("a", limit, 100, now)
				spent += 100
			}
		}
		if step%50 == 0 {
			tables[0].ObserveSpent("1", "a", limit, tables[1].Spent("a"), now)
			tables[1].ObserveSpent("0", "a", limit, tables[0].Spent("a"), now)
		}
	}
	is.True(spent/seconds < 1150)
	is.True(spent/seconds > 900)
}

func TestPartitionedInstancesUseOnlyTheirShare(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 800}
	table := NewTable()
	table.SetShare(2, 8)
	spent := 0.0
	for step := range 6000 {
		now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
		if _, ok := table.Allow("a", limit, now); ok {
			table.Spend("a", limit, 50, now)
			spent += 50
		}
	}
	is.True(spent/60 < 215)
	is.True(spent/60 > 190)
}

func TestAllowReturnsTheWaitUntilTokensAreAvailable(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 100, Burst: 100}
	table := NewTable()
	table.Spend("a", limit, 600, epoch)
	wait, ok := table.Allow("a", limit, epoch)
	is.True(!ok)
	is.True(wait > 5*time.Second && wait < 5100*time.Millisecond)
	_, ok = table.Allow("a", limit, epoch.Add(wait+10*time.Millisecond))
	is.True(ok)
}

// Guards against a team that may send again at once, since the time until it may was too long to
// be represented.
func TestWaitTooLongToBeRepresentedIsLong(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 100, Burst: 100}
	table := NewTable()
	table.ObserveSpent("1", "a", limit, 0, epoch)
	table.ObserveSpent("1", "a", limit, math.MaxUint64, epoch)
	wait, ok := table.Allow("a", limit, epoch)
	is.True(!ok)
	is.True(wait > 24*time.Hour)
}
