package duties

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/platform"
	"github.com/lilacbridge/lilacbridge/platform/standin"
	"github.com/lilacbridge/lilacbridge/process/lease"
	"github.com/lilacbridge/lilacbridge/process/usage"
	"github.com/lilacbridge/lilacbridge/version/routing"
	"github.com/lilacbridge/lilacbridge/version/scaling"
)

const testLease = 3 * time.Second

var (
	errNotLeader = errors.New("not the leader")
	testTiming   = usage.Timing{Window: 5 * time.Second, Delay: 10 * time.Second}
)

// fleet is a set of state processes with one log, on a clock of its own.
type fleet struct {
	t        *testing.T
	now      time.Time
	platform *standin.Duties
	usage    *usage.Table
	leases   *lease.Table
	// leader is the process that a majority follows, in the given term; -1 for none.
	leader int
	term   uint64
	nodes  []*node
	// counted is how many requests began by window.
	counted map[int64]uint64
	ready   map[routing.ReplicaGroup]int
}

// node is a state process and its view of the log.
type node struct {
	fleet  *fleet
	index  int
	holder *Holder
	// believes is the term in which the process believes to lead; 0 for none.
	believes uint64
	frozen   bool
}

func newFleet(t *testing.T, fenced bool) *fleet {
	f := &fleet{
		t: t, now: time.UnixMicro(1000 * testTiming.Window.Microseconds()), usage: usage.NewTable(), leases: lease.NewTable(), leader: -1,
		counted: make(map[int64]uint64), ready: make(map[routing.ReplicaGroup]int),
	}
	clock := func() time.Time { return f.now }
	f.platform = standin.NewDuties(clock, testLease)
	for _, dataCenter := range []string{"a", "b"} {
		f.ready[routing.ReplicaGroup{Service: "llm", DataCenter: dataCenter}] = 4
	}
	for i := range 3 {
		n := &node{fleet: f, index: i}
		n.holder = New(Options{
			Name: fmt.Sprintf("state-%d", i), Log: n, Usage: true, Scaling: true, Timing: testTiming, Fenced: fenced,
			Calls:          &platform.DutyCalls{Address: "10.0.0.1:80", Client: &http.Client{Transport: f.platform}},
			ScalingOptions: scaling.Options{TargetUse: 0.5, ShrinkAfter: 20 * time.Second},
			CallsPerSecond: 50, Lease: testLease, Services: f.services, Servers: f.servers, Logger: hclog.NewNullLogger(), Now: clock,
		})
		f.nodes = append(f.nodes, n)
	}
	return f
}

func (f *fleet) services() []routing.Service {
	return []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 8}, Scaling: &routing.Scaling{Minimum: 1, Maximum: 9, BootTime: 4 * time.Second, ReclaimablePrice: 0.2}}}
}

func (f *fleet) servers() ([]routing.Server, bool) {
	var list []routing.Server
	for key, count := range f.ready {
		for range count {
			list = append(list, routing.Server{Service: key.Service, DataCenter: key.DataCenter, Reclaimable: key.Reclaimable})
		}
	}
	return list, true
}

// elect makes the process the leader of a new term; its predecessor does not know yet.
func (f *fleet) elect(index int) {
	f.term++
	f.leader = index
	f.nodes[index].believes = f.term
}

// step advances the clock and runs all processes that are not frozen.
func (f *fleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	f.platform.Advance()
	for key := range f.ready {
		f.ready[key] = f.platformReady(key)
	}
	for _, dataCenter := range []string{"a", "b"} {
		key := routing.ReplicaGroup{Service: "llm", DataCenter: dataCenter, Reclaimable: true}
		f.ready[key] = f.platformReady(key)
	}
	for _, n := range f.nodes {
		if !n.frozen {
			n.holder.tick(f.t.Context())
		}
	}
}

func (f *fleet) platformReady(key routing.ReplicaGroup) int {
	ordered := f.platform.Ordered(standin.ReplicaGroup{Service: key.Service, DataCenter: key.DataCenter, Reclaimable: key.Reclaimable})
	if ordered == 0 && !key.Reclaimable && f.platform.Ordered(standin.ReplicaGroup{Service: key.Service, DataCenter: key.DataCenter, Reclaimable: true}) == 0 {
		return 4
	}
	return ordered
}

// report sends an instance's counts to all processes that believe to lead.
func (f *fleet) report(name string, counter *usage.Counter) {
	windows, until := counter.Open()
	for _, n := range f.nodes {
		if n.frozen {
			continue
		}
		reply, leads := n.holder.Report(&lilacv1.InstanceReport{Instance: name, Incarnation: name, ClockUnixUs: f.now.UnixMicro(), Windows: windows, CountedUntilUnixUs: until})
		if !leads || n.index != f.leader {
			continue
		}
		if reply.GetNowUnixUs() > 0 {
			counter.SetTime(f.now, reply.GetNowUnixUs())
		}
		counter.Close(reply.GetClosedWindow())
	}
}

func (n *node) leads() bool {
	return n.fleet.leader == n.index && n.believes == n.fleet.term
}

// Leading implements Log.
func (n *node) Leading() (uint64, bool) { return n.believes, n.believes != 0 }

// Barrier implements Log.
func (n *node) Barrier(context.Context) error {
	if !n.leads() {
		return errNotLeader
	}
	return nil
}

// TakeLease implements Log.
func (n *node) TakeLease(_ context.Context, r *lilacv1.LeaseRequest, takeover bool) (*lilacv1.LeaseReply, error) {
	if !n.leads() {
		return nil, errNotLeader
	}
	if takeover {
		r.ExpiredRenewal = n.fleet.leases.Get(r.GetName()).GetRenewal()
	}
	return n.fleet.leases.Apply(r)
}

// LeaseHolder implements Log.
func (n *node) LeaseHolder(name string) string { return n.fleet.leases.Get(name).GetHolder() }

// ApplyUsage implements Log.
func (n *node) ApplyUsage(_ context.Context, c *lilacv1.UsageCommand) error {
	if !n.leads() {
		return errNotLeader
	}
	n.fleet.usage.Apply(c)
	return nil
}

// Usage implements Log.
func (n *node) Usage() usage.State { return n.fleet.usage.State() }

// Leaders change, freeze and wake, calls are lost or carried out seconds later. Guards
// against two holders under one number, holders that alternate, and two reports of one
// window that differ.
func TestRandomFaultsBreakNoDuty(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 1))
			f := newFleet(t, true)
			faulty := true
			f.platform.Fate = func(path string, body []byte) standin.Fate {
				h := fnv.New32a()
				fmt.Fprint(h, seed, f.now.UnixNano(), path, string(body))
				if draw := h.Sum32() % 10; faulty && draw < 3 {
					return standin.Fate(1 + draw)
				}
				return standin.Answered
			}
			counter := usage.NewCounter(testTiming.Window, func() time.Time { return f.now })
			counter.SetTime(f.now, f.now.UnixMicro())
			f.elect(0)
			stable := f.now
			for range 240 {
				// A process leads again only after a time in which it has lost its followers.
				if random.IntN(20) == 0 && f.now.Sub(stable) > time.Second {
					f.elect(random.IntN(3))
					stable = f.now
				}
				n := f.nodes[random.IntN(3)]
				n.frozen = random.IntN(4) == 0
				if !n.leads() && random.IntN(2) == 0 {
					n.believes = 0
				}
				counter.Add("team")
				f.report("entry", counter)
				f.step(250 * time.Millisecond)
			}
			faulty = false
			for _, n := range f.nodes {
				n.frozen = false
				if !n.leads() {
					n.believes = 0
				}
			}
			for range 120 {
				f.report("entry", counter)
				f.step(250 * time.Millisecond)
			}
			is.Equal(strings.Join(f.platform.Problems(), "\n"), "")
			total := uint64(0)
			for window, report := range f.platform.Usage() {
				var requests uint64
				fmt.Sscanf(report[strings.Index(report, "counts"):], `counts":{"team":%d`, &requests)
				total += requests
				is.True(window >= 1000)
			}
			is.Equal(total, uint64(240)) // every request, each once
			is.Equal(len(f.usage.State().Unacknowledged), 0)
		})
	}
}

// closeWindow closes a window, so that its report is due.
func (f *fleet) closeWindow(window int64) {
	f.usage.Apply(&lilacv1.UsageCommand{Op: &lilacv1.UsageCommand_Close{Close: &lilacv1.WindowUsage{Window: window}}})
}

// The leader wakes up after another process was elected that has not made a call yet. Guards
// against calls of a holder that no majority follows.
func TestHolderThatWakesUpSendsNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, true)
	f.elect(0)
	f.step(time.Second)
	f.step(time.Second)
	is.True(f.platform.Accepted() > 0)
	f.nodes[0].frozen, f.nodes[1].frozen = true, true
	f.elect(1)
	f.closeWindow(1007)
	f.step(time.Second)
	f.nodes[0].frozen = false
	f.step(10 * time.Second)
	is.Equal(len(f.platform.Usage()), 0)
	f.nodes[1].frozen = false
	f.step(time.Second)
	is.Equal(len(f.platform.Usage()), 1)
}

// Leadership goes to another process and comes back at once. Guards against holders that act
// in the order A, B, A while the platform remembers the first call.
func TestHolderReturnsOnlyAfterTheLease(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, true)
	for i, index := range []int{0, 1, 0} {
		for _, n := range f.nodes {
			n.believes = 0
		}
		f.elect(index)
		f.closeWindow(int64(1007 + i))
		f.step(500 * time.Millisecond)
	}
	is.Equal(len(f.platform.Usage()), 2)
	f.step(testLease)
	is.Equal(len(f.platform.Usage()), 3)
	is.Equal(len(f.platform.Problems()), 0)
}

// The platform does not check numbers. Guards against a new holder that acts while calls of
// the last one may still be under way.
func TestUnfencedHolderWaitsForTheLease(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, false)
	f.elect(0)
	f.step(time.Second)
	f.step(time.Second)
	before := f.platform.Accepted()
	is.True(before > 0)
	f.nodes[0].believes = 0
	f.elect(1)
	f.ready[routing.ReplicaGroup{Service: "llm", DataCenter: "a"}] = 1
	f.step(time.Second)
	is.Equal(f.platform.Accepted(), before)
}

// A call gets no answer and is carried out after a newer one. Guards against a number of
// replicas that an old call sets back.
func TestLateOrderIsRefusedAfterANewerOne(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, true)
	first := true
	f.platform.Fate = func(string, []byte) standin.Fate {
		if first {
			return standin.Late
		}
		return standin.Answered
	}
	f.elect(0)
	f.step(time.Second)
	first = false
	f.step(2 * time.Second)
	ordered := f.platform.Ordered(standin.ReplicaGroup{Service: "llm", DataCenter: "a", Reclaimable: true})
	accepted := f.platform.Accepted()
	is.True(ordered > 0)
	f.now = f.now.Add(6 * time.Second)
	f.platform.Advance()
	is.Equal(f.platform.Accepted(), accepted)
	is.Equal(f.platform.Ordered(standin.ReplicaGroup{Service: "llm", DataCenter: "a", Reclaimable: true}), ordered)
}
