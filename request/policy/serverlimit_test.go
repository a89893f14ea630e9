package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/process/loadboard"
)

// namedLimit is an answer of the server that states a limit.
func namedLimit(server string, perSecond float64) LimitReport {
	return LimitReport{Server: server, Advertised: true, PerSecond: perSecond}
}

// An instance without an answer from the limited server must learn of the limit, or it would
// send its share in addition.
func TestDigestsCarryLimits(t *testing.T) {
	is := is.New(t)
	here, there := coreWithEngines("e1", 3, "a"), coreWithEngines("e2", 3, "a")
	changed := only[LimitChanged](t, here.Step(epoch, namedLimit("a-1", 1.8)))
	is.Equal(changed.Source, LimitFromResponse)
	there.Step(epoch.Add(100*ms), PeerDigest{Digest: here.Digest(epoch.Add(50 * ms)), At: epoch})
	is.Equal(there.servers["a-1"].rateLimit.PerSecond, 1.8)
	is.Equal(len(there.Digest(epoch.Add(200*ms)).GetLimits()), 0) // an instance that learned of it from a peer does not report it
	here.Step(epoch.Add(time.Second), LimitReport{Server: "a-1"})
	there.Step(epoch.Add(1100*ms), PeerDigest{Digest: here.Digest(epoch.Add(time.Second)), At: epoch})
	is.True(!there.servers["a-1"].rateLimit.Advertised)
	is.Equal(there.Stats().Limited, map[string]float64{})
}

// In a large fleet digests carry no server state, so the load board carries the limits.
func TestLoadBoardCarriesLimits(t *testing.T) {
	is := is.New(t)
	here, there := coreWithEngines("e1", 3, "a"), coreWithEngines("e2", 3, "a")
	here.Step(epoch, namedLimit("a-1", 1.8))
	report := here.Loads(epoch.Add(100*ms)).Encode(epoch.Add(100*ms), "a")
	there.Step(epoch.Add(200*ms), PeerLoads{Report: loadboard.DecodeReport(epoch.Add(200*ms), report)})
	is.Equal(there.Stats().Limited, map[string]float64{"a-1": 1.8})
}

// Reports of a limit arrive over several paths. An older one that arrives later must not
// restore a limit that the server has lifted.
func TestNewestReportOfALimitWins(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 3, "a")
	c.Step(epoch, namedLimit("a-1", 2))
	c.Step(epoch.Add(time.Second), LimitReport{Server: "a-1"})
	old := loadboard.Limits{loadboard.Key("a-1"): {PerSecond: 2, Advertised: true, At: epoch.Add(500 * ms)}}
	c.Step(epoch.Add(1100*ms), PeerLoads{Report: loadboard.Report{Loads: loadboard.Loads{}, Limits: old}})
	is.True(!c.servers["a-1"].rateLimit.Advertised)
}

// A limited server that gets no requests sends no answers, so its limit must expire.
func TestLimitExpiresWithoutReports(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 3, "a")
	c.Step(epoch, namedLimit("a-1", 2))
	c.Step(epoch.Add(limitTTL), Tick{})
	is.True(c.servers["a-1"].rateLimit.Advertised)
	changed := only[LimitChanged](t, c.Step(epoch.Add(limitTTL+time.Second), Tick{}))
	is.Equal(changed.Source, LimitExpired)
	is.True(!c.servers["a-1"].rateLimit.Advertised)
}
