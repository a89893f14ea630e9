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
	is.True(a.Crashed("d", "t", "r1", epoch))
	is.True(!a.Crashed("d", "t", "r1", epoch)) // the same crash twice
	b.Crashed("d", "t", "r2", epoch)
	is.True(!a.Get("d").Convicted())
	is.True(a.Merge(b.Share(epoch), epoch))
	is.True(a.Get("d").Convicted())
	is.True(!a.Merge(b.Share(epoch), epoch)) // no news
}

// An innocent request ran through its trial, but the others still tell of the
// crash that it was in. The old word must not make it a suspect again, or a
// second chance neighbour's crash would convict it.
func TestClearedStaysCleared(t *testing.T) {
	is := is.New(t)
	a, b := NewTable(), NewTable()
	a.Crashed("d", "t", "r1", epoch)
	b.Merge(a.Share(epoch), epoch)
	a.Cleared("d", epoch)
	a.Merge(b.Share(epoch), epoch)
	is.True(a.Get("d") == nil)
	b.Merge(a.Share(epoch), epoch)
	is.True(b.Get("d") == nil)
	is.True(a.Crashed("d", "t", "r2", epoch)) // a new crash counts
	is.True(!a.Get("d").Convicted())
}

func TestPlacesOfTwoCrashes(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		first, second int
		want          Places
	}{
		{0, 0, PlacesAgree}, {2, 2, PlacesAgree}, {2, 3, PlacesUnknown},
		{40, 40, PlacesUnknown}, {40, 41, PlacesUnknown}, {40, 47, PlacesDiffer},
	} {
		a := NewTable()
		for server, tokens := range map[string]int{"r1": c.first, "r2": c.second} {
			a.Crashed("d", "t", server, epoch)
			a.CrashedAfter("d", server, tokens)
		}
		is.Equal(a.Get("d").Places(), c.want)
		a.Crashed("d", "t", "r3", epoch) // a peer's, of unknown place
		is.Equal(a.Get("d").Places(), PlacesUnknown)
	}
}

func TestTrialsElsewhereAndExpiry(t *testing.T) {
	is := is.New(t)
	a := NewTable()
	a.Merge([]*lilacv1.Suspect{{Digest: "d", Servers: []string{"r1"}, Trial: "r2"}}, epoch)
	is.Equal(a.Get("d").Elsewhere, epoch)
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
		a.Crashed("d", "t", server, epoch)
		b.Crashed("d", "t", server, epoch)
	}
	a.Pardon("d", epoch)
	a.Merge(b.Share(epoch), epoch)
	is.True(!a.Get("d").Convicted())
	is.True(a.Get("d") != nil) // still a suspect
	b.Pardon("d", epoch)
	b.Merge(a.Share(epoch), epoch)
	is.True(!b.Get("d").Convicted())
	is.True(a.Get("d").Blamed("r2"))
	a.Crashed("d", "t", "r3", epoch)
	is.True(a.Get("d").Convicted())
}
