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

// waitForOthers waits until all others' digests, each counted once, come to x
// as the one sum of them. Ages and numbers, which differ each time, are left out.
func (x *node) waitForOthers(t *testing.T, all []*node, own func(i int) *lilacv1.Digest) {
	var parts []*lilacv1.Digest
	for i, other := range all {
		if other != nil && other != x {
			parts = append(parts, own(i))
		}
	}
	want := member.Combine(member.Others, "", parts...)
	for !proto.Equal(withoutPromise(x.others.Load()), want) {
		select {
		case <-x.news:
		case <-t.Context().Done():
			return
		}
	}
}

// Fleet madryn: 24 entries in three data centres, over connections that prove
// the shared key. A pool is short of room at one leaf and idle at another, in
// different data centres; every entry must see both, and each spend once. Then
// the relay of one data centre is killed: its data centre would be deaf and dumb
// if no other took its place, and its own spend would count for ever if the sum
// that it sent were kept. At last the platform takes a server away, and only an
// entry that is no relay can read the list.
func TestTreeOverLinksOutlivesItsRelay(t *testing.T) {
	const pool, team = "asistente-lm", "cooperativa"
	own := func(i int) *lilacv1.Digest {
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
	// Clocks that run four times as fast: intervals and lifetimes pass sooner.
	begun := time.Now()
	now := func() time.Time { return begun.Add(4 * time.Since(begun)) }
	all := startIn(t, threeDataCenters, now, 24, platform.URL, own)
	for _, x := range all {
		x.waitForOthers(t, all, own)
	}

	relay := relayOf(all, threeDataCenters[1])
	is.New(t).True(relayOf(all, threeDataCenters[0]) != 0)
	all[relay].stop()
	all[relay].server.Close()
	all[relay] = nil
	for _, x := range all {
		if x != nil {
			x.waitForOthers(t, all, own)
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

// relayOf returns the number of the first in rank of a data centre.
func relayOf(all []*node, dataCenter string) int {
	best := -1
	for i, x := range all {
		if x.peer.DataCenter == dataCenter && (best < 0 || member.CompareRank(x.peer.Name, all[best].peer.Name) < 0) {
			best = i
		}
	}
	return best
}
