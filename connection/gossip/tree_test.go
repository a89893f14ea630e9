package gossip

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/member"
)

var threeDataCenters = []string{"chubut-a", "rionegro-a", "tierradelfuego-a"}

// waitForOthers waits until the combined digest at x contains the digest of every other
// entry exactly once. Sequence numbers and validity periods are ignored.
func (x *node) waitForOthers(t *testing.T, all []*node, buildOwn func(i int) *lilacv1.Digest) {
	var parts []*lilacv1.Digest
	for i, other := range all {
		if other != nil && other != x {
			parts = append(parts, buildOwn(i))
		}
	}
	want := member.Combine(member.Others, "", parts...)
	for !proto.Equal(withoutPromise(x.combined.Load()), want) {
		select {
		case <-x.events:
		case <-t.Context().Done():
			return
		}
	}
}

// 24 entries in three data centres exchange digests over authenticated connections. A
// pool is full at one leaf and idle at another, in different data centres; every entry
// must see both cutoffs, and each spend once. Then the relay of one data centre is
// killed: another entry must replace it, or its data centre would be disconnected, and
// the spend included in its last combined digest must expire. Finally the platform's
// list, which only an entry that is not a relay can read, shows a server as leaving.
func TestTreeRecoversFromRelayLoss(t *testing.T) {
	const pool, team = "asistente-lm", "cooperativa"
	buildOwn := func(i int) *lilacv1.Digest {
		d := &lilacv1.Digest{Spends: []*lilacv1.TeamSpend{{Team: team, Tokens: 1 + uint64(i)}}}
		switch i {
		case 4:
			d.Cutoffs = []*lilacv1.PoolCutoff{{Pool: pool, HeldBackTier: 2}}
		case 11:
			d.Cutoffs = []*lilacv1.PoolCutoff{{Pool: pool, AdmittedTier: 4, WaitingTier: 1}}
		}
		return d
	}
	var leaving atomic.Bool
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		state := "live"
		if leaving.Load() {
			state = "leaving"
		}
		fmt.Fprintf(w, `{"instances":[{"name":"r7","role":"server","state":%q}]}`, state)
	}))
	defer platform.Close()
	// The clock runs at four times real speed to shorten intervals and lifetimes.
	started := time.Now()
	now := func() time.Time { return started.Add(4 * time.Since(started)) }
	all := startNodesIn(t, threeDataCenters, now, 24, platform.URL, buildOwn)
	for _, x := range all {
		x.waitForOthers(t, all, buildOwn)
	}

	relay := relayOf(all, threeDataCenters[1])
	is.New(t).True(relayOf(all, threeDataCenters[0]) != 0)
	all[relay].stop()
	all[relay].server.Close()
	all[relay] = nil
	for _, x := range all {
		if x != nil {
			x.waitForOthers(t, all, buildOwn)
		}
	}

	leaving.Store(true)
	for _, x := range all {
		if x != nil {
			x.waitFor("server r7 true")
		}
	}
}

func withoutPromise(d *lilacv1.Digest) *lilacv1.Digest {
	if d == nil {
		return nil
	}
	d = proto.CloneOf(d)
	d.Sequence, d.BindsMs, d.PromiseMs, d.Incomplete = 0, 0, 0, false
	return d
}

// relayOf returns the index of the entry that ranks first in the data centre.
func relayOf(all []*node, dataCenter string) int {
	best := -1
	for i, x := range all {
		if x.peer.DataCenter == dataCenter && (best < 0 || member.CompareRank(x.peer.Name, all[best].peer.Name) < 0) {
			best = i
		}
	}
	return best
}
