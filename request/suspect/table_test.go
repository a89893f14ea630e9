package suspect

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

var epoch = time.Unix(1_800_000_000, 0)

func TestTwoCrashesConvictOverInstances(t *testing.T) {
	is := is.New(t)
	a, b := NewTable(), NewTable()
	is.True(a.RecordCrash("d", "t", "r1", epoch))
	is.True(!a.RecordCrash("d", "t", "r1", epoch)) // the same crash twice
	b.RecordCrash("d", "t", "r2", epoch)
	is.True(!a.Get("d").Convicted())
	is.True(a.Merge(b.Export(epoch), epoch))
	is.True(a.Get("d").Convicted())
	is.True(!a.Merge(b.Export(epoch), epoch)) // no news
}

// An innocent request ran through its trial, but the others still tell of the
// crash that it was in. The old word must not make it a suspect again, or a
// second chance neighbour's crash would convict it.
func TestClearedStaysCleared(t *testing.T) {
	is := is.New(t)
	a, b := NewTable(), NewTable()
	a.RecordCrash("d", "t", "r1", epoch)
	b.Merge(a.Export(epoch), epoch)
	a.Clear("d", epoch)
	a.Merge(b.Export(epoch), epoch)
	is.True(a.Get("d") == nil)
	b.Merge(a.Export(epoch), epoch)
	is.True(b.Get("d") == nil)
	is.True(a.RecordCrash("d", "t", "r2", epoch)) // a new crash counts
	is.True(!a.Get("d").Convicted())
}

func TestPlacesOfTwoCrashes(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		first, second int
		want          PositionComparison
	}{
		{0, 0, PositionsMatch}, {2, 2, PositionsMatch}, {2, 3, PositionsUnknown},
		{40, 40, PositionsUnknown}, {40, 41, PositionsUnknown}, {40, 47, PositionsDiffer},
	} {
		a := NewTable()
		for server, tokens := range map[string]int{"r1": c.first, "r2": c.second} {
			a.RecordCrash("d", "t", server, epoch)
			a.RecordCrashPosition("d", server, tokens)
		}
		is.Equal(a.Get("d").ComparePositions(), c.want)
		a.RecordCrash("d", "t", "r3", epoch) // a peer's, of unknown place
		is.Equal(a.Get("d").ComparePositions(), PositionsUnknown)
	}
}

func TestTrialsElsewhereAndExpiry(t *testing.T) {
	is := is.New(t)
	a := NewTable()
	a.Merge([]*lilacv1.Suspect{{Digest: "d", Servers: []string{"r1"}, Trial: "r2"}}, epoch)
	is.Equal(a.Get("d").PeerTrialAt, epoch)
	a.Expire(epoch.Add(keep + time.Second))
	is.Equal(a.Len(), 0)
}

// Half of the engines died and a suspect's two servers were among them. Each
// instance pardons it by itself, and what they tell each other afterwards must
// not add up to two crashes again.
func TestPardonHoldsOverInstances(t *testing.T) {
	is := is.New(t)
	a, b := NewTable(), NewTable()
	for _, server := range []string{"r1", "r2"} {
		a.RecordCrash("d", "t", server, epoch)
		b.RecordCrash("d", "t", server, epoch)
	}
	a.AttributeToOutage("d", epoch)
	a.Merge(b.Export(epoch), epoch)
	is.True(!a.Get("d").Convicted())
	is.True(a.Get("d") != nil) // still a suspect
	b.AttributeToOutage("d", epoch)
	b.Merge(a.Export(epoch), epoch)
	is.True(!b.Get("d").Convicted())
	is.True(a.Get("d").CrashRecorded("r2"))
	a.RecordCrash("d", "t", "r3", epoch)
	is.True(a.Get("d").Convicted())
}
