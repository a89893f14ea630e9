package state

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/spreadlink"
	"github.com/lilacbridge/lilacbridge/process/ledger"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

const (
	benchDataCenters = 5
	// nearDelay and farDelay are the one-way delays within and between data centres.
	nearDelay = time.Millisecond
	farDelay  = 30 * time.Millisecond
)

// trafficMeter counts the bytes of messages within and between data centres, and of those sent
// by the state process.
type trafficMeter struct{ near, far, fromState atomic.Int64 }

type meteredCaller struct {
	link.Caller
	meter      *trafficMeter
	far, state bool
}

// meteredStream counts the received messages and delays each of them like the network.
type meteredStream struct {
	link.Stream
	caller *meteredCaller
}

func (c *meteredCaller) Open(ctx context.Context, method string, req proto.Message) (link.Stream, error) {
	s, err := c.Caller.Open(ctx, method, req)
	return &meteredStream{s, c}, err
}

func (s *meteredStream) Recv(m proto.Message) error {
	err := s.Stream.Recv(m)
	size := int64(proto.Size(m))
	if s.caller.state {
		s.caller.meter.fromState.Add(size)
	}
	if s.caller.far {
		s.caller.meter.far.Add(size)
		time.Sleep(farDelay)
		return err
	}
	s.caller.meter.near.Add(size)
	time.Sleep(nearDelay)
	return err
}

// startEntries starts n watchers in five data centres and one state process. With flat, they
// know of no other entry, so that each follows the state process.
func startEntries(b *testing.B, service *Service, w *trafficMeter, n int, flat bool) []*spreadlink.Watcher {
	muxes := make(map[string]*link.Mux)
	centers := map[string]string{"state": "dc-0"}
	muxes["state"] = link.NewMux()
	service.Register(muxes["state"])
	var peers []settings.Peer
	for i := range n {
		name, center := fmt.Sprint("entry-", i), fmt.Sprint("dc-", i%benchDataCenters)
		peers = append(peers, settings.Peer{Name: name, Address: settings.Address{Value: name}, DataCenter: center})
		muxes[name], centers[name] = link.NewMux(), center
	}
	state := []settings.Peer{{Name: "state", Address: settings.Address{Value: "state"}, DataCenter: "dc-0"}}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	b.Cleanup(func() {
		stop()
		running.Wait()
	})
	var all []*spreadlink.Watcher
	for _, peer := range peers {
		o := spreadlink.Options{Instance: peer.Name, DataCenter: peer.DataCenter, StatePeers: state}
		if !flat {
			o.Entries = peers
		}
		o.Dial = func(address string) link.Caller {
			return &meteredCaller{&link.Local{Mux: muxes[address]}, w, centers[address] != peer.DataCenter, address == "state"}
		}
		watcher := spreadlink.NewWatcher(o)
		spreadlink.NewServer(watcher, hclog.NewNullLogger()).Register(muxes[peer.Name], "entry")
		running.Go(func() { watcher.Run(ctx) })
		all = append(all, watcher)
	}
	return all
}

// BenchmarkSpread compares distribution by a tree with a flat fan-out from the state process.
// It measures, per revision, the bytes sent between and within data centres and by the state
// process (replies only, including signs of life sent meanwhile), and the time until the
// revision is in force at the last entry.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{8, 64, 256, 1100} {
		for name, flat := range map[string]bool{"tree": false, "flat": true} {
			b.Run(fmt.Sprintf("%s/entries=%d", name, n), func(b *testing.B) {
				machine := NewMachine(0, ledger.Limits{})
				shared := &sharedLog{machines: []*Machine{machine}, leader: "state"}
				service := NewService(machine, &memberLog{group: shared, address: "state"}, hclog.NewNullLogger())
				w := &trafficMeter{}
				watchers := startEntries(b, service, w, n, flat)
				propose := func(i int) {
					command, _ := proto.Marshal(&lilacv1.Command{Op: &lilacv1.Command_Propose{Propose: proposal(fmt.Sprint(i), "alerts", uint32(i%4))}})
					shared.apply(command)
				}
				arrive := func(revision uint64) {
					for _, watcher := range watchers {
						waitForRevision(watcher, revision)
					}
				}
				propose(0)
				arrive(1)
				const changes = 20
				w.near.Store(0)
				w.far.Store(0)
				w.fromState.Store(0)
				began := time.Now()
				var worst, sum time.Duration
				for i := range changes {
					start := time.Now()
					propose(i + 1)
					arrive(uint64(i + 2))
					took := time.Since(start)
					worst, sum = max(worst, took), sum+took
				}
				b.ReportMetric(float64(w.far.Load())/changes, "far-B/rev")
				b.ReportMetric(float64(w.near.Load())/changes, "near-B/rev")
				b.ReportMetric(float64(w.fromState.Load())/changes, "state-B/rev")
				b.ReportMetric(float64(sum.Milliseconds())/changes, "mean-ms")
				b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
				b.ReportMetric(time.Since(began).Seconds(), "run-s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
