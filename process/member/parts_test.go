package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// blockKnownWithin is the time within which all instances must refuse a blocked part.
const blockKnownWithin = 4 * time.Second

// partsKnown returns what the instance knows of the parts of pool 1 from all others.
func (f *fleet) partsKnown(name string) *lilacv1.PoolParts {
	var all []*lilacv1.Digest
	for _, d := range f.delivered[name] {
		all = append(all, d)
	}
	for _, pool := range Combine(Others, "", all...).GetParts() {
		return pool
	}
	return &lilacv1.PoolParts{}
}

// Guards against a blocked part, or the evidence on it, that some instances hear of too late or
// not at all.
func TestBlockedPartsAndTheirEvidencePropagate(t *testing.T) {
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.entries), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(size.entries, size.centers)
			f.run(10 * time.Second)
			for i, name := range f.names[:3] {
				f.ownDigests[name].Parts = []*lilacv1.PoolParts{{
					Pool:     1,
					Crashes:  []*lilacv1.PartCrash{{Server: "r1", AgeMs: 100, Requests: 2, Parts: []uint64{uint64(i), 9}}},
					Suspects: []*lilacv1.SuspectPart{{Part: 9, Before: 100, BeforeWith: 1, Since: 10}},
					Answered: []*lilacv1.AnsweredPart{{Part: 5, AgeMs: uint32(1000 * (i + 1))}},
				}}
			}
			f.ownDigests[f.names[2]].Parts[0].Blocked = []*lilacv1.BlockedPart{{Part: 9, AgeMs: 300, BlockedMs: 100}}
			f.run(blockKnownWithin)
			for _, name := range f.names[3:] {
				known := f.partsKnown(name)
				is.Equal(len(known.GetBlocked()), 1)
				is.Equal(len(known.GetCrashes()), 1)
				is.Equal(known.GetCrashes()[0].GetRequests(), uint32(6))
				is.Equal(known.GetSuspects()[0].GetBefore(), uint32(300))
				is.Equal(known.GetSuspects()[0].GetBeforeWith(), uint32(3))
				is.Equal(known.GetSuspects()[0].GetSince(), uint32(30))
				is.Equal(known.GetCrashes()[0].GetParts(), []uint64{0, 1, 2, 9})
				is.Equal(len(known.GetAnswered()), 1)
			}
		})
	}
}

// Guards against evidence that seems newer than it is after several steps through a tree.
func TestPartsAgeWhileTheyPropagate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	told := &lilacv1.Digest{Parts: []*lilacv1.PoolParts{{
		Pool: 1, Crashes: []*lilacv1.PartCrash{{Server: "r1", AgeMs: 100}}, Answered: []*lilacv1.AnsweredPart{{Part: 1, AgeMs: 200}},
		Blocked: []*lilacv1.BlockedPart{{Part: 2, AgeMs: 300, BlockedMs: 50}},
	}}}
	aged := receivedDigest{digest: told, receivedAt: now.Add(-time.Second)}.asPart(now).GetParts()[0]
	is.Equal(aged.GetCrashes()[0].GetAgeMs(), uint32(1100))
	is.Equal(aged.GetAnswered()[0].GetAgeMs(), uint32(1200))
	is.Equal(aged.GetBlocked()[0].GetAgeMs(), uint32(1300))
	is.Equal(aged.GetBlocked()[0].GetBlockedMs(), uint32(1050))
}

// Guards against digests that grow with the number of parts that instances tell of.
func TestCombinedPartsAreBounded(t *testing.T) {
	is := is.New(t)
	var all []*lilacv1.Digest
	for i := range uint64(200) {
		pool := &lilacv1.PoolParts{Pool: uint32(i % 20)}
		for k := range uint64(40) {
			pool.Crashes = append(pool.Crashes, &lilacv1.PartCrash{Server: fmt.Sprint("r", i*40+k), Parts: []uint64{9, i*1000 + k, i*1000 + k + 100}})
			pool.Crashes = append(pool.Crashes, &lilacv1.PartCrash{Server: "r", Parts: []uint64{9, i*1000 + k}})
			pool.Suspects = append(pool.Suspects, &lilacv1.SuspectPart{Part: i*1000 + k})
			pool.Answered = append(pool.Answered, &lilacv1.AnsweredPart{Part: i*40 + k})
			pool.Blocked = append(pool.Blocked, &lilacv1.BlockedPart{Part: i*40 + k})
		}
		all = append(all, &lilacv1.Digest{Parts: []*lilacv1.PoolParts{pool}})
	}
	pools := Combine(Others, "", all...).GetParts()
	is.Equal(len(pools), maxPartPools)
	for _, pool := range pools {
		is.True(len(pool.GetCrashes()) <= maxPartCrashes)
		is.True(len(pool.GetSuspects()) <= maxSuspectParts)
		is.True(len(pool.GetAnswered()) <= maxAnsweredParts)
		is.True(len(pool.GetBlocked()) <= maxBlockedParts)
		for _, c := range pool.GetCrashes() {
			is.True(len(c.GetParts()) <= maxCrashParts)
			is.True(slices.Contains(c.GetParts(), 9)) // the part that all crashes have in common
		}
	}
}

// BenchmarkEvidence measures the bytes of digests in 10 s after a crash of which three instances
// tell, and of whose ten suspect parts all tell the use, beyond those of 10 s before.
func BenchmarkEvidence(b *testing.B) {
	for _, size := range []struct{ entries, centers int }{{8, 3}, {64, 5}, {256, 5}, {1100, 5}} {
		b.Run(fmt.Sprint(size.entries), func(b *testing.B) {
			for range b.N {
				f := newFleet(size.entries, size.centers)
				f.run(10 * time.Second)
				f.takeBytes()
				f.run(10 * time.Second)
				before := f.takeBytes()
				for i, name := range f.names {
					told := &lilacv1.PoolParts{Pool: 1}
					for part := range uint64(10) {
						told.Suspects = append(told.Suspects, &lilacv1.SuspectPart{Part: 1<<60 + part, Before: 1000, BeforeWith: 10, Since: 100, AgeMs: 1000})
						if i < 3 && part == 0 {
							told.Crashes = []*lilacv1.PartCrash{{Server: "i-0123456789/ml2djuom", AgeMs: 1000, Requests: 3, Parts: []uint64{1 << 60, 2 << 60, 3 << 60, 4 << 60}}}
						}
					}
					f.ownDigests[name].Parts = []*lilacv1.PoolParts{told}
				}
				f.run(10 * time.Second)
				after := f.takeBytes()
				mean, busiest := 0, 0
				for _, name := range f.names {
					mean += (after[name] - before[name]) / len(f.names)
					busiest = max(busiest, after[name]-before[name])
				}
				b.ReportMetric(float64(mean)/10, "mean-B/s")
				b.ReportMetric(float64(busiest)/10, "busiest-B/s")
			}
		})
	}
}

// takeBytes returns the bytes that each instance sent and received since the last call.
func (f *fleet) takeBytes() map[string]int {
	taken := f.bytes
	f.bytes = make(map[string]int)
	return taken
}
