package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/process/loadboard"
)

// names is an answer of the server that names a limit.
func namedLimit(server string, perSecond float64) LimitReport {
	return LimitReport{Server: server, Named: true, PerSecond: perSecond}
}

// An instance that never had an answer of the server in need must know of it, or it would be
// one more that sends its share.
func TestInstancesTellEachOtherOfLimits(t *testing.T) {
	is := is.New(t)
	here, there := coreWithEngines("e1", 3, "a"), coreWithEngines("e2", 3, "a")
	changed := only[LimitChanged](t, here.Step(epoch, namedLimit("a-1", 1.8)))
	is.Equal(changed.Source, LimitFromResponse)
	there.Step(epoch.Add(100*ms), PeerDigest{Digest: here.Digest(epoch.Add(50 * ms)), At: epoch})
	is.Equal(there.servers["a-1"].limited.PerSecond, 1.8)
	is.Equal(len(there.Digest(epoch.Add(200*ms)).GetLimits()), 0) // who heard of it doesn't tell it on
	here.Step(epoch.Add(time.Second), LimitReport{Server: "a-1"})
	there.Step(epoch.Add(1100*ms), PeerDigest{Digest: here.Digest(epoch.Add(time.Second)), At: epoch})
	is.True(!there.servers["a-1"].limited.Advertised)
	is.Equal(there.Stats().Limited, map[string]float64{})
}

// The same in a large fleet, whose digests say nothing of servers.
func TestBoardsTellOfLimits(t *testing.T) {
	is := is.New(t)
	here, there := coreWithEngines("e1", 3, "a"), coreWithEngines("e2", 3, "a")
	here.Step(epoch, namedLimit("a-1", 1.8))
	word := here.Loads(epoch.Add(100*ms)).Encode(epoch.Add(100*ms), "a")
	there.Step(epoch.Add(200*ms), PeerLoads{Word: loadboard.DecodeReport(epoch.Add(200*ms), word)})
	is.Equal(there.Stats().Limited, map[string]float64{"a-1": 1.8})
}

// News of a limit come on several ways. An older word that comes later must not bring a
// limit back that the server has given up.
func TestTheNewestWordOfALimitCounts(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 3, "a")
	c.Step(epoch, namedLimit("a-1", 2))
	c.Step(epoch.Add(time.Second), LimitReport{Server: "a-1"})
	old := loadboard.Limits{loadboard.Key("a-1"): {PerSecond: 2, Advertised: true, At: epoch.Add(500 * ms)}}
	c.Step(epoch.Add(1100*ms), PeerLoads{Word: loadboard.Report{Loads: loadboard.Loads{}, Limits: old}})
	is.True(!c.servers["a-1"].limited.Advertised)
}

// A server with a limit to which nobody sends anything says nothing more of it.
func TestALimitIsForgottenWithoutAnyWord(t *testing.T) {
	is := is.New(t)
	c := coreWithEngines("e1", 3, "a")
	c.Step(epoch, namedLimit("a-1", 2))
	c.Step(epoch.Add(limitTTL), Tick{})
	is.True(c.servers["a-1"].limited.Advertised)
	changed := only[LimitChanged](t, c.Step(epoch.Add(limitTTL+time.Second), Tick{}))
	is.Equal(changed.Source, LimitExpired)
	is.True(!c.servers["a-1"].limited.Advertised)
}
