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

// fleet is a set of links that call each other without a network.
type fleet struct {
	mu    sync.Mutex
	links map[string]*Link
	peers map[string]member.Peer
	// received is the last report passed to OnLoads by instance; unreachable holds the
	// instances that do not reply.
	received    map[string]loadboard.Report
	unreachable map[string]bool
}

// caller is a link.Caller that calls the link of instance to as instance from.
type caller struct {
	fleet    *fleet
	from, to string
}

func (c caller) Call(ctx context.Context, _ string, request, reply proto.Message) error {
	c.fleet.mu.Lock()
	unreachable := c.fleet.unreachable[c.to]
	target := c.fleet.links[c.to]
	from := c.fleet.peers[c.from]
	c.fleet.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return errors.New("no reply")
	}
	response, err := target.receive(ctx, link.Peer{Process: from.Name, DataCenter: from.DataCenter}, request.(*lilacv1.LoadWord))
	if err == nil {
		proto.Merge(reply, response)
	}
	return err
}

func (caller) Open(context.Context, string, proto.Message) (link.Stream, error) {
	return nil, errors.New("streams are not supported")
}

func newFleet(n int) *fleet {
	f := &fleet{links: make(map[string]*Link), peers: make(map[string]member.Peer), received: make(map[string]loadboard.Report), unreachable: make(map[string]bool)}
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
			OnLoads: func(report loadboard.Report) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.received[name] = report
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

// inFlight returns the requests of all others that the instance knows of.
func (f *fleet) inFlight(name string) uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received[name].Loads[7].InFlight
}

// Guards against outdated loads. Twelve instances run one request each; after a second each
// must know of the other eleven. After one instance fails, the others must still exchange
// their loads and drop its load. After all but one fail, OnLoads must report the loads of the
// others as unavailable.
func TestInstancesLearnTheLoadOfAllOthers(t *testing.T) {
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
		fail := func(name string) {
			f.mu.Lock()
			f.unreachable[name] = true
			f.mu.Unlock()
			stops[name]()
		}
		fail("entry-3")
		time.Sleep(4 * time.Second)
		for name := range f.links {
			is.True(name == "entry-3" || f.inFlight(name) == 10)
		}
		for name := range f.links {
			if name != "entry-0" && name != "entry-3" {
				fail(name)
			}
		}
		time.Sleep(6 * time.Second)
		is.Equal(f.inFlight("entry-0"), uint32(0))
		stop()
		running.Wait()
	})
}
