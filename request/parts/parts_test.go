package parts

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

var epoch = time.Unix(1_800_000_000, 0)

const second = time.Second

// answers records answers with the parts, one a millisecond from the given time.
func answers(t *Table, from time.Time, count int, parts ...uint64) {
	for i := range count {
		at := from.Add(time.Duration(i) * time.Millisecond)
		t.Passed(at, at, parts)
	}
}

// usedTable returns a table of an instance that has answered 1,000 requests with parts 1 and 2.
func usedTable() *Table {
	t := NewTable()
	answers(t, epoch.Add(-2*second), 1000, 1, 2)
	return t
}

// Guards against blaming all parts of the requests that are lost with a server.
func TestOnlyThePartThatIsNotAnsweredIsBlocked(t *testing.T) {
	is := is.New(t)
	table := usedTable()
	for i := range 3 {
		at := epoch.Add(time.Duration(i) * second)
		is.True(table.Lost(at, fmt.Sprint("r", i), []uint64{1, 2, 9}, 0))
		answers(table, at.Add(time.Millisecond), 20, 1, 2)
	}
	blocks := table.Decide(epoch.Add(3*second), 8)
	is.Equal(len(blocks), 1)
	is.Equal(blocks[0].Part, uint64(9))
	is.Equal(blocks[0].Evidence.Servers, []string{"r0", "r1", "r2"})
	is.Equal(len(table.Decide(epoch.Add(4*second), 8)), 0) // once
}

// Guards against a block by evidence that a sound part has by chance.
func TestEvidenceOfSoundParts(t *testing.T) {
	cases := map[string]struct {
		crashes, requests, before, with, since int
		blocked                                bool
	}{
		"in half of all answers, and four without it":     {8, 51, 1165, 577, 4, false},
		"in half of all answers, and 40 without it":       {8, 51, 1165, 577, 40, true},
		"in all answers, and none since":                  {30, 300, 100000, 100000, 0, false},
		"nothing is known":                                {9, 9, 0, 0, 0, false},
		"never seen, on three of three":                   {3, 4, 2000, 0, 60, true},
		"never seen, on three of 60 requests":             {3, 60, 2000, 0, 0, false},
		"in one of 100 answers, on three servers of many": {3, 200, 1000, 10, 20, false},
		"in one of 100 answers, on five of five":          {5, 6, 1000, 10, 100, true},
		"seen more often than there were answers":         {3, 10, 5, 9, 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := Evidence{Servers: make([]string, c.crashes), Requests: c.requests, Before: c.before, BeforeWith: c.with, Since: c.since}
			if expected := e.falseBlocks(); (expected <= maxFalseBlocks) != c.blocked {
				t.Errorf("%g sound parts expected", expected)
			}
		})
	}
}

// Guards against counting one crash of a server several times.
func TestOneServerCountsOnce(t *testing.T) {
	is := is.New(t)
	table := usedTable()
	for range 5 {
		table.Lost(epoch, "r0", []uint64{9}, 0)
	}
	is.Equal(len(table.Decide(epoch, 1)), 0)
}

// Guards against a part that keeps the credit of answers from before it began to crash servers.
func TestAnswerClearsOnlyEarlierCrashes(t *testing.T) {
	is := is.New(t)
	table := usedTable()
	table.Lost(epoch, "r0", []uint64{9}, 0)
	table.Passed(epoch.Add(2*second), epoch.Add(second), []uint64{9})
	is.Equal(len(table.crashesOf(9)), 0)
	table.Lost(epoch.Add(3*second), "r1", []uint64{9}, 0)
	// An answer of an attempt that was started before the crash.
	table.Passed(epoch.Add(4*second), epoch.Add(2*second), []uint64{9})
	is.Equal(len(table.crashesOf(9)), 1)
}

// exchange tells each table what all others know.
func exchange(tables []*Table, now time.Time) {
	for i, from := range tables {
		for j, to := range tables {
			if i != j {
				to.Merge(now, fmt.Sprint("e", i), from.Export(now, 1), 0)
			}
		}
	}
}

// Guards against evidence that doesn't add up over instances, or adds up twice.
func TestEvidenceAddsUpOverInstances(t *testing.T) {
	is := is.New(t)
	tables := []*Table{usedTable(), usedTable(), usedTable()}
	for i, table := range tables {
		table.Lost(epoch.Add(time.Duration(i)*second), fmt.Sprint("r", i), []uint64{1, 9}, 0)
	}
	now := epoch.Add(3 * second)
	exchange(tables, now)
	answers(tables[2], now, 5, 1)
	for range 3 {
		exchange(tables, now.Add(10*time.Millisecond))
	}
	for _, table := range tables {
		is.Equal(len(table.crashesOf(9)), 3)
		is.Equal(len(table.crashesOf(1)), 0) // answered at the third instance
		blocks := table.Decide(now.Add(second), 3)
		is.Equal(len(blocks), 1)
		is.Equal(blocks[0].Evidence.Requests, 3)
		is.Equal(blocks[0].Evidence.Since, 5)
	}
}

// Guards against a wrong block that an answer at one instance refutes and others go on telling of.
func TestAnswerRefutesABlockAtAllInstances(t *testing.T) {
	is := is.New(t)
	a, b := usedTable(), usedTable()
	a.block(&Block{Part: 9, At: epoch, Since: epoch})
	blocked, _ := b.Merge(epoch, "a", a.Export(epoch, 1), 0)
	is.Equal(len(blocked), 1)
	tried := epoch.Add(time.Minute)
	is.Equal(len(a.Passed(tried, tried, []uint64{9})), 1)
	told := a.Export(tried, 1)
	a.Merge(tried, "b", b.Export(tried, 1), 0)
	is.True(a.Blocked([]uint64{9}) == nil)
	_, lifted := b.Merge(tried, "a", told, 0)
	is.Equal(len(lifted), 1)
	is.True(b.Blocked([]uint64{9}) == nil)
	// The log still has the conviction, and it changes.
	is.True(b.BlockUntilLifted(tried.Add(second), 9, time.Minute, 1) == nil)
}

func TestTrialsAreDueAtTheirTimes(t *testing.T) {
	is := is.New(t)
	b := &Block{At: epoch}
	is.Equal(b.TrialDue(epoch.Add(59*second)), 0)
	is.Equal(b.TrialDue(epoch.Add(time.Minute)), 1)
	is.Equal(b.UntilTrial(epoch.Add(20*second)), 40*second)
	b.Trials = 1
	is.Equal(b.TrialDue(epoch.Add(time.Hour)), 2)
	b.Trials = 2
	is.Equal(b.TrialDue(epoch.Add(10*time.Hour)), 0)
	is.Equal(b.UntilTrial(epoch.Add(time.Hour)), 23*time.Hour)
}

func TestBlocksAndCrashesExpire(t *testing.T) {
	is := is.New(t)
	table := usedTable()
	table.Lost(epoch, "r0", []uint64{9}, 0)
	table.BlockUntilLifted(epoch, 9, 0, 0)
	is.Equal(len(table.Expire(epoch.Add(BlockTTL))), 0)
	is.Equal(len(table.crashes), 0)
	is.Equal(len(table.Expire(epoch.Add(BlockTTL+second))), 1)
}

// maxDigestBytes bounds what an instance tells of a pool's parts in one digest.
const maxDigestBytes = 16 << 10

// Guards against callers who choose so many parts that memory or digests grow without bound, or
// hide a crashing part among them.
func TestFloodOfPartsIsBounded(t *testing.T) {
	is := is.New(t)
	table := usedTable()
	next := uint64(1000)
	for i := range 300 {
		at := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		flood := []uint64{9}
		for range 1000 {
			next++
			flood = append(flood, next)
		}
		table.Lost(at, fmt.Sprint("r", i), flood, 0)
		table.Passed(at, at, flood[1:])
		table.Passed(at, at, []uint64{1, 2})
	}
	is.True(len(table.crashes) <= maxCrashes)
	is.True(len(table.usage.current.parts) <= maxUsedParts)
	for _, c := range table.crashes {
		is.True(len(c.parts) <= maxPartsPerCrash)
	}
	is.True(proto.Size(table.Export(epoch.Add(30*second), 1)) <= maxDigestBytes)
	blocks := table.Decide(epoch.Add(30*second), 8)
	is.Equal(len(blocks), 1)
	is.Equal(blocks[0].Part, uint64(9))
}

// Guards against bad numbers in a digest.
func TestMergeBearsAnything(t *testing.T) {
	table := usedTable()
	table.Merge(epoch, "x", nil, 0)
	table.Merge(epoch, "x", &lilacv1.PoolParts{
		Crashes:  []*lilacv1.PartCrash{{}, {Server: "r1", AgeMs: 1 << 31, Requests: 1 << 31, Parts: []uint64{0, 0}}},
		Suspects: []*lilacv1.SuspectPart{{}, {Part: 1, Before: 1 << 31, BeforeWith: 1 << 31, Since: 1 << 31}},
		Answered: []*lilacv1.AnsweredPart{{}, {AgeMs: 1 << 31}},
		Blocked:  []*lilacv1.BlockedPart{{}, {AgeMs: 1 << 31, BlockedMs: 1 << 31}},
	}, 0)
	table.Decide(epoch, 1)
	table.Expire(epoch)
}

func BenchmarkPassed(b *testing.B) {
	table := usedTable()
	parts := []uint64{1, 2, 3, 4}
	for i := 0; b.Loop(); i++ {
		table.Passed(epoch, epoch, parts)
	}
}

// BenchmarkDecide decides on a full table of crashes.
func BenchmarkDecide(b *testing.B) {
	table := usedTable()
	for i := range maxCrashes {
		var parts []uint64
		for p := range uint64(maxPartsPerCrash) {
			parts = append(parts, 10+p+uint64(i)*maxPartsPerCrash/2)
		}
		table.Lost(epoch, fmt.Sprint("r", i), parts, 0)
	}
	for b.Loop() {
		table.changed = true
		table.Decide(epoch, 1100)
	}
	b.ReportMetric(float64(proto.Size(table.Export(epoch, 1))), "digest-B")
}
