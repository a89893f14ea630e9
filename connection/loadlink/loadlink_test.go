package loadlink

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/process/member"
)

// fleet is a number of links that call each other without a network.
type fleet struct {
	mu    sync.Mutex
	links map[string]*Link
	peers map[string]member.Peer
	// heard is what each was last told, cut names those who answer nothing.
	heard map[string]loadboard.Report
	cut   map[string]bool
}

// caller calls one link as a peer.
type caller struct {
	fleet    *fleet
	from, to string
}

func (c caller) Call(ctx context.Context, _ string, request, reply proto.Message) error {
	c.fleet.mu.Lock()
	cut := c.fleet.cut[c.to]
	target := c.fleet.links[c.to]
	from := c.fleet.peers[c.from]
	c.fleet.mu.Unlock()
	if cut {
		<-ctx.Done()
		return errors.New("no answer")
	}
	word, err := target.receive(ctx, link.Peer{Process: from.Name, DataCenter: from.DataCenter}, request.(*lilacv1.LoadWord))
	if err == nil {
		proto.Merge(reply, word)
	}
	return err
}

func (caller) Open(context.Context, string, proto.Message) (link.Stream, error) {
	return nil, errors.New("loads need no streams")
}

func newFleet(n int) *fleet {
	f := &fleet{links: make(map[string]*Link), peers: make(map[string]member.Peer), heard: make(map[string]loadboard.Report), cut: make(map[string]bool)}
	var peers []member.Peer
	for i := range n {
		name := fmt.Sprint("entry-", i)
		f.peers[name] = member.Peer{Name: name, Address: name, DataCenter: fmt.Sprint("dc-", i%2)}
		peers = append(peers, f.peers[name])
	}
	for name, self := range f.peers {
		l := New(Options{
			Self: self,
			Dial: func(address string) link.Caller { return caller{f, name, address} },
			Own: func() (loadboard.Report, bool) {
				return loadboard.Report{Loads: loadboard.Loads{7: {InFlight: 1}}}, true
			},
			OnLoads: func(word loadboard.Report) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.heard[name] = word
			},
		})
		var others []member.Peer
		for _, peer := range peers {
			if peer.Name != name {
				others = append(others, peer)
			}
		}
		l.SetPeers(others)
		f.links[name] = l
	}
	return f
}

func (f *fleet) inFlight(name string) uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heard[name].Loads[7].InFlight
}

// Twelve instances run one request each. A second later each knows of the other
// eleven. Then one stops answering: who called it goes on telling and hearing, and
// what the silent one ran is forgotten. At last all others fall silent, and the one
// that is left is told that nothing is known, rather than old loads for ever.
func TestInstancesKnowWhatAllOthersRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(12)
		ctx, stop := context.WithCancel(t.Context())
		stops := make(map[string]context.CancelFunc)
		var running sync.WaitGroup
		for name, l := range f.links {
			own, end := context.WithCancel(ctx)
			stops[name] = end
			running.Go(func() { l.Run(own) })
		}
		time.Sleep(time.Second)
		for name := range f.links {
			is.Equal(f.inFlight(name), uint32(11))
		}
		silence := func(name string) {
			f.mu.Lock()
			f.cut[name] = true
			f.mu.Unlock()
			stops[name]()
		}
		silence("entry-3")
		time.Sleep(4 * time.Second)
		for name := range f.links {
			is.True(name == "entry-3" || f.inFlight(name) == 10)
		}
		for name := range f.links {
			if name != "entry-0" && name != "entry-3" {
				silence(name)
			}
		}
		time.Sleep(6 * time.Second)
		is.Equal(f.inFlight("entry-0"), uint32(0))
		stop()
		running.Wait()
	})
}
