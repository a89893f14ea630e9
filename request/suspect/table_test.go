package suspect

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

var epoch = time.Unix(1_800_000_000, 0)

func TestTwoCrashesConvictAcrossInstances(t *testing.T) {
	is := is.New(t)
	a, b := NewTable(), NewTable()
	is.True(a.RecordCrash("d", "t", "r1", epoch))
	is.True(!a.RecordCrash("d", "t", "r1", epoch)) // the same crash twice
	b.RecordCrash("d", "t", "r2", epoch)
	is.True(!a.Get("d").Convicted())
	is.True(a.Merge(b.Export(epoch), epoch))
	is.True(a.Get("d").Convicted())
	is.True(!a.Merge(b.Export(epoch), epoch)) // nothing new
}

// A request passed its trial, but peers still report the crash that it was in. These old
// reports must not make it a suspect again, or one more crash of a server that it happens
// to run on would convict it.
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

func TestComparePositionsOfTwoCrashes(t *testing.T) {
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
		a.RecordCrash("d", "t", "r3", epoch) // reported by a peer, position unknown
		is.Equal(a.Get("d").ComparePositions(), PositionsUnknown)
	}
}

func TestPeerTrialsAndExpiry(t *testing.T) {
	is := is.New(t)
	a := NewTable()
	a.Merge([]*lilacv1.Suspect{{Digest: "d", Servers: []string{"r1"}, Trial: "r2"}}, epoch)
	is.Equal(a.Get("d").PeerTrialAt, epoch)
	a.Expire(epoch.Add(retention + time.Second))
	is.Equal(a.Len(), 0)
}

// Half of the engines crashed, a suspect's two servers among them. Each instance attributes
// the crashes to the outage on its own; their later reports to each other must not add up
// to two crashes again.
func TestOutageAttributionHoldsAcrossInstances(t *testing.T) {
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
