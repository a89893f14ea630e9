package tiers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/model"
)

var epoch = time.Unix(1_800_000_000, 0)

func quota(t *Table, capacity float64, own Demand, shares Shares) float64 {
	_, all := t.Split(capacity, own, shares)
	return all
}

func TestQuotaServesUrgentTiersFirst(t *testing.T) {
	is := is.New(t)
	a := NewTable("m", epoch)
	a.Observe("b", &lilacv1.PoolCutoff{AdmittedTier: 4, Demand: []uint32{60, 40, 0, 0}}, epoch)
	const tier1, tier3 = 1, 3
	is.Equal(quota(a, 100, Demand{0: 20, tier1: 40}, Shares{}), 20.0+20*0.5) // tier 1 gets half of what tier 0 leaves
	is.Equal(quota(a, 100, Demand{tier3: 30}, Shares{}), 1.0)                // at least 1
	is.Equal(quota(a, 100, Demand{tier3: 30}, Shares{tier3: 0.1}), 10.0)     // its guaranteed share comes first
	is.Equal(quota(a, 200, Demand{0: 20}, Shares{}), 20.0+40)                // the rest is divided evenly
}

// One instance runs long notes while another refuses queries of the same tier. By tiers
// alone, each would get half of the slots, and the notes would keep starting.
func TestQuotaServesUrgentRanksFirst(t *testing.T) {
	is := is.New(t)
	const queries, notes = 1, 2*model.Tiers + 1
	busy, pressed := NewTable("m", epoch), NewTable("m", epoch)
	pressed.Observe("busy", busy.Cutoff(Demand{notes: 80}, -1), epoch)
	busy.Observe("pressed", pressed.Cutoff(Demand{queries: 80}, -1), epoch)
	is.Equal(quota(pressed, 100, Demand{queries: 80}, Shares{}), 80.0)
	is.Equal(quota(busy, 100, Demand{notes: 80}, Shares{}), 20.0)
}

// Queries will soon need most of the slots. Notes that started in the slots not yet
// occupied by queries would hold them for many seconds.
func TestSplitLeavesLessUrgentPositionsOnlyWhatIsNotRequested(t *testing.T) {
	is := is.New(t)
	const queries, notes = 1, 2*model.Tiers + 1
	a := NewTable("m", epoch)
	split, quota := a.Split(100, Demand{queries: 70, notes: 80}, Shares{})
	is.Equal(split[queries], 70.0)
	is.Equal(split[notes], 30.0)
	is.Equal(quota, 100.0)
	split, _ = a.Split(100, Demand{queries: 20, notes: 30}, Shares{})
	is.Equal(split[notes], 30.0+50) // unrequested slots are open to every position
}

// Notes of an urgent tier must not take the slots that short queries of the next tier need.
func TestBulkWorkOfAnUrgentTierComesAfterShortWorkOfOtherTiers(t *testing.T) {
	is := is.New(t)
	const queries, urgentNotes = 1, 2 * model.Tiers
	a := NewTable("m", epoch)
	split, _ := a.Split(100, Demand{queries: 40, urgentNotes: 200}, Shares{})
	is.Equal(split[queries], 40.0)
	is.Equal(split[urgentNotes], 60.0)
}

// Guards against an instance refusing an urgent request while another still admits nightly
// work. Instances cut off and admit tiers at random; digests are lost, delayed and reordered,
// so that each instance acts on outdated announcements.
func TestNoInstanceShedsOnAnExpiredPromise(t *testing.T) {
	is := is.New(t)
	allowed := 0
	for seed := range uint64(10) {
		allowed += randomRun(t, seed)
	}
	is.True(allowed > 1000) // the runs did allow shedding above the lowest tier
}

type message struct {
	from   int
	at     time.Time
	cutoff *lilacv1.PoolCutoff
}

const (
	instances = 5
	// maxTransit stays within the transit time that the package comment requires.
	maxTransit = DefaultPromise - DefaultValidity - 20*time.Millisecond
)

func randomRun(t *testing.T, seed uint64) (allowed int) {
	random := rand.New(rand.NewPCG(seed, 1))
	tables := make([]*Table, instances)
	inbox := make([][]message, instances)
	silentUntil := make(map[[2]int]time.Time)
	for i := range tables {
		tables[i] = NewTable("m", epoch.Add(-time.Hour))
	}
	for step := range 6000 {
		now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
		for i, table := range tables {
			inbox[i] = deliver(table, inbox[i], now)
			if random.IntN(400) == 0 {
				table.HoldBack(random.IntN(3), now)
			}
			table.Update(now)
			if step%50 == i*7 || random.IntN(200) == 0 {
				send(table, i, inbox, silentUntil, random, now)
			}
			allowed += checkShed(t, seed, tables, i, now)
		}
	}
	return allowed
}

func deliver(table *Table, inbox []message, now time.Time) []message {
	pending := inbox[:0]
	for _, m := range inbox {
		if m.at.After(now) {
			pending = append(pending, m)
			continue
		}
		table.Observe(fmt.Sprint(m.from), m.cutoff, now)
	}
	return pending
}

func send(table *Table, from int, inbox [][]message, silentUntil map[[2]int]time.Time, random *rand.Rand, now time.Time) {
	for to := range inbox {
		if to == from || random.Float64() < 0.3 {
			continue
		}
		// Occasionally one direction of one link loses everything for a while.
		link := [2]int{from, to}
		if random.IntN(40) == 0 {
			silentUntil[link] = now.Add(6 * time.Second)
		}
		if now.Before(silentUntil[link]) {
			continue
		}
		// A real receiver drops an overtaken digest by its sequence; here each link
		// keeps its order by using the later of the two times.
		at := now.Add(time.Duration(random.Int64N(int64(maxTransit))))
		for _, m := range inbox[to] {
			if m.from == from && m.at.After(at) {
				at = m.at
			}
		}
		inbox[to] = append(inbox[to], message{from: from, at: at, cutoff: table.Cutoff(Demand{}, -1)})
	}
}

func checkShed(t *testing.T, seed uint64, tables []*Table, i int, now time.Time) (allowed int) {
	for tier := range lowestTier {
		if !tables[i].MayShed(tier, now) {
			continue
		}
		allowed++
		for j, other := range tables {
			if _, reachable := tables[i].peers[fmt.Sprint(j)]; reachable && other.admitted > tier {
				t.Fatalf("seed %d: %d may shed tier %d at %v while %d admits tier %d", seed, i, tier, now.Sub(epoch), j, other.admitted)
			}
		}
	}
	return allowed
}

func TestNewInstanceShedsOnlyTheLowestTierUntilItHasHeardFromOthers(t *testing.T) {
	is := is.New(t)
	a := NewTable("m", epoch)
	is.True(a.MayShed(3, epoch))
	for at := epoch; at.Before(epoch.Add(startupDelay)); at = at.Add(100 * time.Millisecond) {
		a.HoldBack(0, at)
		a.Update(at)
		is.True(!a.MayShed(2, at))
	}
}
