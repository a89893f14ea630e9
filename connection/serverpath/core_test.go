package serverpath

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1_800_000_000, 0)

const server = "10.2.0.9:80"

func testCore() *Core {
	c := NewCore(Peer{Name: "e1", DataCenter: "a"})
	c.SetPeers([]Peer{
		{"e2", "10.1.0.2:1", "a"}, {"e3", "10.2.0.3:1", "b"}, {"e4", "10.2.0.4:1", "b"}, {"e5", "10.3.0.5:1", "c"}, {"e6", "10.3.0.6:1", "c"},
	})
	return c
}

// Guards against an instance that takes a crashed server for a lost path and asks others for
// each connection to it.
func TestServerThatNobodyReachesIsNoLostPath(t *testing.T) {
	is := is.New(t)
	c := testCore()
	is.Equal(c.Dialled(epoch, server, false, false), Unchanged)
	is.Equal(c.LostPaths(), 0)
	is.True(c.Plan(epoch, server).Direct)
}

// Guards against requests that wait for a direct dial again and again while the path is lost,
// and against a path that is never tried again.
func TestLostPathIsRetriedAtIntervals(t *testing.T) {
	is := is.New(t)
	c := testCore()
	is.Equal(c.Dialled(epoch, server, false, true), Lost)
	is.True(!c.Plan(epoch.Add(minRetryDelay/2), server).Direct)
	is.True(c.Plan(epoch.Add(minRetryDelay), server).Direct)
	is.True(!c.Plan(epoch.Add(minRetryDelay), server).Direct) // one dial each interval
	is.Equal(c.Dialled(epoch.Add(minRetryDelay), server, true, true), Restored)
	is.Equal(c.LostPaths(), 0)
	is.True(c.Plan(epoch.Add(minRetryDelay), server).Direct)
}

// Guards against a path that comes and goes each second and is used directly whenever it is
// there.
func TestUnstablePathIsRetriedLessOften(t *testing.T) {
	is := is.New(t)
	c := testCore()
	now, lost := epoch, 0
	for range 60 {
		if c.Plan(now, server).Direct && c.Dialled(now, server, now.Unix()%2 == 0, true) == Lost {
			lost++
		}
		now = now.Add(time.Second)
	}
	is.True(lost < 60/4)
}

// Guards against connections that cross the network between data centres twice, and against
// one instance that forwards the connections of all others.
func TestForwardersAreNearTheServerAndSpread(t *testing.T) {
	is := is.New(t)
	first := make(map[string]int)
	for i := range 40 {
		c := testCore()
		c.self.Name = fmt.Sprint("x", i)
		peers := c.Forwarders(epoch, server, "b")
		is.Equal(len(peers), maxForwarders)
		is.Equal(peers[0].DataCenter, "b")
		is.Equal(peers[1].DataCenter, "b")
		is.Equal(peers[2].DataCenter, "a") // this instance's own
		first[peers[0].Name]++
	}
	is.True(first["e3"] > 10)
	is.True(first["e4"] > 10)
}

// Guards against a data centre whose instances have all lost the path to a server and that ask
// only each other.
func TestForwardersIncludeAnotherDataCentre(t *testing.T) {
	is := is.New(t)
	c := NewCore(Peer{Name: "a0", DataCenter: "a"})
	var peers []Peer
	for i := range 25 {
		peers = append(peers, Peer{Name: fmt.Sprint("a", i), DataCenter: "a"}, Peer{Name: fmt.Sprint("b", i), DataCenter: "b"})
	}
	c.SetPeers(peers)
	asked := c.Forwarders(epoch, server, "a")
	is.Equal(len(asked), maxForwarders)
	is.Equal(asked[0].DataCenter, "a")
	is.Equal(asked[maxForwarders-1].DataCenter, "b")
	c.SetPeers(peers[:1])
	is.Equal(len(c.Forwarders(epoch, server, "a")), 0) // itself only
}

// Guards against connections that wait for an instance which has lost its paths as well.
func TestInstanceThatCannotForwardIsAvoided(t *testing.T) {
	is := is.New(t)
	c := testCore()
	c.ForwarderFailed(epoch, "e3")
	for _, peer := range c.Forwarders(epoch, server, "b") {
		is.True(peer.Name != "e3")
	}
	is.Equal(len(c.Forwarders(epoch.Add(avoidPeriod), server, "b")), maxForwarders)
	for _, name := range []string{"e2", "e3", "e4", "e5", "e6"} {
		c.ForwarderFailed(epoch, name)
	}
	c.Dialled(epoch, server, false, true)
	is.True(c.Plan(epoch, server).Direct) // nobody is left to ask
	c.SetPeers([]Peer{{"e2", "10.1.0.2:1", "a"}})
	is.Equal(len(c.avoidedUntil), 1)
}

// Guards against state of servers that are gone.
func TestPathsOfRemovedServersAreForgotten(t *testing.T) {
	is := is.New(t)
	c := testCore()
	c.Dialled(epoch, server, false, true)
	c.Retain(func(string) bool { return false })
	is.Equal(c.LostPaths(), 0)
	is.Equal(len(c.paths), 0)
}
