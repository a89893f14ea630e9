package member

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// A digest with a validity of 4 s arrives 3 s after the stamp it echoes, or echoes
// a stamp of an earlier incarnation. If it were taken as new, urgent requests would
// be shed while the sender already admits them again.
func TestDigestExpiresByEchoedAge(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	a, b := Peer{Name: "a"}, Peer{Name: "b"}
	core := NewCore(a, []Peer{a, b})
	core.Step(now, Tick{Own: &lilacv1.Digest{Incarnation: "second start"}})
	stamp := core.Reply(now, "b").GetStamp()
	earlierStart := NewCore(a, []Peer{a, b})
	earlierStart.Step(now, Tick{Own: &lilacv1.Digest{Incarnation: "first start"}})

	partial := false
	deliver := func(sequence, echo uint64) *lilacv1.Digest {
		digest := &lilacv1.Digest{Instance: "b", Incarnation: "1", Sequence: sequence, Echo: echo, BindsMs: 4000, Partial: partial, Incomplete: partial}
		for _, action := range core.Step(now.Add(3*time.Second), DigestReceived{From: "b", Digest: digest}) {
			if delivered, ok := action.(PolicyDigest); ok {
				return delivered.Digest
			}
		}
		return nil
	}
	is.Equal(deliver(1, stamp).GetBindsMs(), uint32(1000))
	is.True(!deliver(2, stamp).GetIncomplete())
	is.True(deliver(3, earlierStart.Reply(now.Add(2*time.Second), "b").GetStamp()).GetIncomplete())
	is.True(deliver(4, 0).GetIncomplete())

	// A partial digest does not extend the validity of the pools that it omits.
	is.Equal(deliver(5, stamp).GetBindsMs(), uint32(1000))
	partial = true
	is.Equal(deliver(6, core.Reply(now.Add(2*time.Second), "b").GetStamp()).GetBindsMs(), uint32(1000))
	is.True(deliver(7, 0).GetIncomplete())
}

// The policy drops digests that are not newer than the last one. Combined digests
// without a sequence number were all dropped after the first, so fleets of more
// than ten instances shed only the lowest tier.
func TestSummarySequenceIncreases(t *testing.T) {
	is := is.New(t)
	f := newFleet(11, 3)
	f.run(5 * time.Second)
	before := f.delivered[f.names[4]][Others].GetSequence()
	f.run(5 * time.Second)
	is.True(before > 0 && f.delivered[f.names[4]][Others].GetSequence() > before)
}

// The validity period must cover the path through the tree of the largest fleet.
func TestValidityPeriodGrowsWithTreeDepth(t *testing.T) {
	is := is.New(t)
	for entries, promise := range map[int]time.Duration{10: meshValidity, 55: 16500 * time.Millisecond, 1100: 25500 * time.Millisecond} {
		f := newFleet(entries, 5)
		is.Equal(f.cores[f.names[0]].validityPeriod(), promise)
	}
}
