package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// fleet simulates many cores in steps of TickInterval. An exchange is answered
// within the step unless the direction is dropped.
type fleet struct {
	now        time.Time
	cores      map[string]*Core
	names      []string
	ownDigests map[string]*lilacv1.Digest
	// dropped reports whether messages in the direction are lost.
	dropped func(from, to string) bool
	// The last digests, server states and live peers reported to each instance.
	delivered map[string]map[string]*lilacv1.Digest
	leaving   map[string]map[string]bool
	live      map[string][]Peer
	bytes     map[string]int
}

var dataCenters = []string{"dakar-a", "thies-a", "saint-louis-a", "d", "e"}

// ownEvery is the number of ticks between two own digests of an instance.
const ownEvery = 5

func newFleet(n, centers int) *fleet {
	f := &fleet{
		now: time.Unix(1_764_700_000, 0), cores: make(map[string]*Core), ownDigests: make(map[string]*lilacv1.Digest),
		dropped:   func(string, string) bool { return false },
		delivered: make(map[string]map[string]*lilacv1.Digest), leaving: make(map[string]map[string]bool),
		live: make(map[string][]Peer), bytes: make(map[string]int),
	}
	var peers []Peer
	for i := range n {
		peers = append(peers, Peer{Name: fmt.Sprintf("entry-%04d", i), Address: "a", DataCenter: dataCenters[i%centers]})
	}
	for _, peer := range peers {
		f.names = append(f.names, peer.Name)
		f.cores[peer.Name] = NewCore(peer, peers)
		f.ownDigests[peer.Name] = &lilacv1.Digest{Instance: peer.Name, DataCenter: peer.DataCenter, Incarnation: "1"}
		f.delivered[peer.Name] = make(map[string]*lilacv1.Digest)
		f.leaving[peer.Name] = make(map[string]bool)
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	for i := range d / TickInterval {
		f.now = f.now.Add(TickInterval)
		for _, name := range f.names {
			if f.cores[name] == nil {
				continue
			}
			if i%ownEvery != 0 {
				f.step(name, Tick{})
				continue
			}
			f.ownDigests[name].Sequence++
			f.step(name, Tick{Own: proto.CloneOf(f.ownDigests[name])})
		}
	}
}

func (f *fleet) step(name string, event Event) {
	for _, action := range f.cores[name].Step(f.now, event) {
		switch a := action.(type) {
		case Exchange:
			f.exchange(name, a)
		case PolicyDigest:
			f.delivered[name][a.Digest.GetInstance()] = a.Digest
		case DigestExpired:
			delete(f.delivered[name], a.Instance)
		case ServerState:
			f.leaving[name][a.Name] = a.Leaving
		case LivePeers:
			f.live[name] = a.Peers
		}
	}
}

func (f *fleet) exchange(from string, a Exchange) {
	to := a.Peer.Name
	size := proto.Size(a.Digest)
	f.bytes[from] += size
	if f.cores[to] == nil || f.dropped(from, to) {
		f.step(from, ExchangeFailed{to})
		return
	}
	f.bytes[to] += size
	f.step(to, DigestReceived{from, proto.CloneOf(a.Digest)})
	reply := f.cores[to].Reply(f.now, from)
	f.bytes[to] += proto.Size(reply)
	if f.dropped(to, from) {
		f.step(from, ExchangeFailed{to})
		return
	}
	f.bytes[from] += proto.Size(reply)
	f.step(from, ReplyReceived{to, proto.CloneOf(reply)})
}

func (f *fleet) cutoff(name string, held, admitted uint32) {
	f.ownDigests[name].Cutoffs = []*lilacv1.PoolCutoff{{Pool: "redaction", HeldBackTier: held, AdmittedTier: admitted}}
}

// combinedCutoff returns what the instance knows of the cutoffs of all others.
func (f *fleet) combinedCutoff(name string) *lilacv1.PoolCutoff {
	var all []*lilacv1.Digest
	for _, d := range f.delivered[name] {
		all = append(all, d)
	}
	for _, cutoff := range Combine(Others, "", all...).GetCutoffs() {
		return cutoff
	}
	return nil
}

var sizes = []struct{ entries, centers int }{{7, 3}, {10, 3}, {11, 3}, {64, 5}, {256, 5}}

// One instance holds tier 0 back and another still admits tier 3. All others must
// learn of both at any fleet size, and the cutoffs must end with their cause
// instead of being kept alive by an echo.
func TestCutoffsPropagateAndExpire(t *testing.T) {
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.entries), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(size.entries, size.centers)
			for i, name := range f.names {
				f.cutoff(name, 3, 1)
				if i == 1 {
					f.cutoff(name, 1, 1)
				}
				if i == size.entries-1 {
					f.cutoff(name, 3, 4)
				}
			}
			f.run(16 * time.Second)
			for i, name := range f.names {
				if i != 1 {
					is.Equal(f.combinedCutoff(name).GetHeldBackTier(), uint32(1))
				}
				if i != size.entries-1 {
					is.Equal(f.combinedCutoff(name).GetAdmittedTier(), uint32(4))
				}
			}
			for _, name := range f.names {
				f.cutoff(name, 0, 2)
			}
			f.run(30 * time.Second)
			for _, name := range f.names {
				is.Equal(f.combinedCutoff(name).GetHeldBackTier(), uint32(0))
				is.Equal(f.combinedCutoff(name).GetAdmittedTier(), uint32(2))
			}
		})
	}
}

// A backend server begins to leave, and either the platform's list at one instance
// or one instance's own digest reports it. All instances must stop sending it new
// requests within 3 s of the first report, and use it again once neither reports
// it.
func TestLeavingServerPropagatesWithin3s(t *testing.T) {
	for _, size := range sizes {
		for source, leave := range map[string]func(f *fleet, leaving bool){
			"own": func(f *fleet, leaving bool) {
				f.ownDigests[f.names[2]].LeavingServers = nil
				if leaving {
					f.ownDigests[f.names[2]].LeavingServers = []string{"r7"}
				}
			},
			"list at one entry": func(f *fleet, leaving bool) {
				var peers []Peer
				for _, core := range f.cores {
					peers = append(peers, core.self)
				}
				f.step(f.names[3], PlatformList{Entries: peers, Servers: []ListedServer{{"r7", leaving}}})
			},
		} {
			t.Run(fmt.Sprint(source, size.entries), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(size.entries, size.centers)
				f.run(10 * time.Second)
				leave(f, true)
				f.run(3 * time.Second)
				for i, name := range f.names {
					is.True(f.leaving[name]["r7"] || source == "own" && i == 2)
					// The policy repeats what it was told; that must not keep the
					// server marked as leaving.
					f.ownDigests[name].LeavingServers = append(f.ownDigests[name].GetLeavingServers(), "r7")
				}
				f.run(5 * time.Second)
				for _, name := range f.names {
					f.ownDigests[name].LeavingServers = nil
				}
				leave(f, false)
				f.run(30 * time.Second)
				for _, name := range f.names {
					is.True(!f.leaving[name]["r7"])
				}
			})
		}
	}
}

// Guards against an instance that lost its path to a server and thereby makes all others
// treat the server as leaving: only the platform's list and instances that learned of it
// elsewhere say that a server leaves.
func TestCrashReportIsNotALeavingServer(t *testing.T) {
	for _, size := range sizes {
		is := is.New(t)
		f := newFleet(size.entries, size.centers)
		f.run(3 * time.Second)
		f.ownDigests[f.names[2]].Ejected = []string{"r7"}
		f.run(3 * time.Second)
		for _, name := range f.names {
			is.True(!f.leaving[name]["r7"])
		}
	}
}

// An instance dies while the platform's list still shows it as live. The others
// must detect it, and accept it again when it answers.
func TestDeadEntryIsDetectedDespitePlatformList(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 3)
	f.run(5 * time.Second)
	is.Equal(len(f.delivered[f.names[0]]), 6)
	dead := f.names[3]
	core := f.cores[dead]
	delete(f.cores, dead)
	f.run(5 * time.Second)
	is.Equal(len(f.delivered[f.names[0]]), 5)
	is.Equal(len(f.live[f.names[0]]), 5)
	f.cores[dead] = core
	f.run(15 * time.Second)
	is.Equal(len(f.delivered[f.names[0]]), 6)
	is.Equal(len(f.live[f.names[0]]), 6)
}

// A data centre is partitioned in one or both directions. Its instances must keep
// hearing each other, and all must hear all after the partition ends.
func TestPartitionedDataCentreRecovers(t *testing.T) {
	for name, oneWay := range map[string]bool{"one way": true, "both ways": false} {
		for _, size := range sizes {
			t.Run(fmt.Sprint(name, size.entries), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(size.entries, size.centers)
				for _, name := range f.names {
					f.cutoff(name, 0, 1)
				}
				f.cutoff(f.names[0], 2, 1)
				f.run(16 * time.Second)
				inside := func(name string) bool { return f.cores[name].self.DataCenter == "dakar-a" }
				f.dropped = func(from, to string) bool {
					return inside(from) && !inside(to) || !oneWay && inside(to) && !inside(from)
				}
				f.run(20 * time.Second)
				near, far := slices.IndexFunc(f.names[1:], inside)+1, slices.IndexFunc(f.names, func(n string) bool { return !inside(n) })
				is.Equal(f.combinedCutoff(f.names[near]).GetHeldBackTier(), uint32(2))
				if !oneWay {
					is.Equal(f.combinedCutoff(f.names[far]).GetHeldBackTier(), uint32(0))
				}
				f.dropped = func(string, string) bool { return false }
				f.run(30 * time.Second)
				is.Equal(f.combinedCutoff(f.names[far]).GetHeldBackTier(), uint32(2))
			})
		}
	}
}

// BenchmarkTraffic reports the digest bytes per second of the busiest and of the
// mean node, and the core's CPU time per node, in a steady state: every instance
// holds a tier back in every pool of its data centre and reports 16 teams.
func BenchmarkTraffic(b *testing.B) {
	const pools, teams = 8, 16
	for _, n := range []int{8, 64, 256, 1100} {
		b.Run(fmt.Sprint("entries=", n), func(b *testing.B) {
			f := newFleet(n, 5)
			for i, name := range f.names {
				own := f.ownDigests[name]
				own.PromiseMs = uint32(f.cores[name].validityPeriod().Milliseconds())
				for pool := range pools {
					own.Cutoffs = append(own.Cutoffs, &lilacv1.PoolCutoff{Pool: fmt.Sprintf("model-%d/%s", pool, own.GetDataCenter()), HeldBackTier: 2, AdmittedTier: 2, WaitingTier: 3})
				}
				for team := range teams {
					own.Spends = append(own.Spends, &lilacv1.TeamSpend{Team: fmt.Sprint("team-", (i*teams+team)%45000), Tokens: 200000})
				}
			}
			f.run(30 * time.Second)
			clear(f.bytes)
			const seconds = 6
			began := time.Now()
			f.run(seconds * time.Second)
			took := time.Since(began)
			most, sum := 0, 0
			for _, bytes := range f.bytes {
				most, sum = max(most, bytes), sum+bytes
			}
			b.ReportMetric(float64(most)/seconds, "max-B/s")
			b.ReportMetric(float64(sum)/seconds/float64(n), "mean-B/s")
			b.ReportMetric(100*took.Seconds()/seconds/float64(n), "core-%")
			b.ReportMetric(0, "ns/op")
		})
	}
}
