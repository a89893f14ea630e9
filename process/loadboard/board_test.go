package loadboard

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/lilacbridge/lilacbridge/process/member"
)

// step is how often the simulated instances are asked for what is due.
const step = 50 * time.Millisecond

// fleet runs the boards of several data centres. Words arrive at once; who is in
// dead answers nothing.
type fleet struct {
	now         time.Time
	boards      map[string]*Board
	peers       map[string]member.Peer
	unreachable map[string]bool
	reports     int
	// answered are the bytes of all answers.
	replyBytes int
}

func newFleet(dataCenters, each int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), boards: make(map[string]*Board), peers: make(map[string]member.Peer), unreachable: make(map[string]bool)}
	for d := range dataCenters {
		for i := range each {
			name := fmt.Sprintf("entry-%d-%d", d, i)
			f.peers[name] = member.Peer{Name: name, DataCenter: fmt.Sprint("dc-", d)}
		}
	}
	for name, self := range f.peers {
		board := New(self)
		var others []member.Peer
		for other, peer := range f.peers {
			if other != name {
				others = append(others, peer)
			}
		}
		board.SetPeers(others)
		f.boards[name] = board
	}
	return f
}

func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		for name, board := range f.boards {
			if !f.unreachable[name] {
				f.send(name, board)
			}
		}
	}
}

func (f *fleet) send(name string, board *Board) {
	board.Expire(f.now)
	for _, ask := range board.Due(f.now) {
		f.reports++
		if f.unreachable[ask.Peer.Name] {
			board.MarkFailed(f.now, ask.Peer)
			continue
		}
		answer := f.boards[ask.Peer.Name].Receive(f.now, name, f.peers[name].DataCenter, DecodeReport(f.now, ask.Report.Encode(f.now, "")))
		told := answer.Encode(f.now, "")
		f.replyBytes += proto.Size(told)
		board.HandleReply(f.now, ask.Peer, DecodeReport(f.now, told))
	}
}

// burst has each instance run n requests on the one engine.
func (f *fleet) setLoad(n uint32) {
	for _, board := range f.boards {
		board.SetOwn(f.now, Report{Loads: Loads{7: {InFlight: n, Backlog: [Levels]uint32{4: 10 * n}}}})
	}
}

// allKnow tells whether each living instance knows what so many others run.
func (f *fleet) allReport(others uint32, n uint32) bool {
	for name, board := range f.boards {
		if f.unreachable[name] {
			continue
		}
		word, _ := board.Others(f.now)
		load := word.Loads[7]
		if load.InFlight != others*n || load.Backlog[4] != others*n*10 {
			return false
		}
	}
	return true
}

// A burst comes to all instances of a large fleet at once. Each sees one part in
// 78 of it; until the others' part is known here an engine with seconds of prompts
// to read seems idle. Three steps of an interval each bring it to all.
func TestBurstPropagatesWithinThreeIntervals(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 13)
	f.run(time.Second)
	f.setLoad(2)
	f.run(3*Interval + step)
	is.True(f.allReport(77, 2))
}

// A prompt is read on one engine. Until the others hear of it each has it read again
// somewhere; told once, it must reach all, be told on by nobody for ever, and not
// come back to its sender.
func TestCachedPrefixesPropagate(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 13)
	f.run(time.Second)
	read := CachedPrefix{Server: 7, Hash: 1 << 40, Tokens: 13300}
	f.boards["entry-2-3"].SetOwn(f.now, Report{CachedPrefixes: []CachedPrefix{read}})
	heard := make(map[string]int)
	for range 16 {
		f.run(Interval)
		for name, board := range f.boards {
			others, known := board.Others(f.now)
			is.True(known)
			for _, r := range others.CachedPrefixes {
				is.Equal(r, read)
				heard[name]++
			}
		}
	}
	is.Equal(len(heard), 77)
	is.Equal(heard["entry-2-3"], 0)
	for _, times := range heard {
		is.True(times <= 4)
	}
}

// A word costs its sender and its collector bytes and time. An instance sends one
// an interval, a collector one more to half of the other data centres.
func TestReportCountGrowsLinearly(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 13)
	f.run(time.Second)
	f.reports = 0
	f.run(time.Second)
	perInterval := float64(f.reports) * Interval.Seconds()
	is.True(perInterval <= 72+15+5) // 72 instances, 15 pairs of collectors, one step of slack
}

// A collector loses power. The others of its data centre pass it over, the next in
// rank takes its place, and what the dead one ran counts no longer.
func TestDeadCollectorIsReplaced(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 5)
	f.setLoad(1)
	f.run(time.Second)
	is.True(f.allReport(14, 1))
	first := f.boards["entry-0-0"].collectors(f.now)["dc-0"].Name
	f.unreachable[first] = true
	f.run(Lifetime + 4*Interval)
	is.True(f.allReport(13, 1))
}

// Two collectors can no longer reach each other. What the other data centre ran
// must be forgotten, not counted for ever.
func TestLoadsOfUnreachableDataCentreExpire(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 5)
	f.setLoad(1)
	f.run(time.Second)
	for name, peer := range f.peers {
		f.unreachable[name] = peer.DataCenter == "dc-2"
	}
	f.run(Lifetime + 4*Interval)
	is.True(f.allReport(9, 1))
}

// Few instances tell each other in their digests, and where thousands of servers would
// drown a collector words are too old to help: neither has a board, and nothing is sent.
func TestBoardIsInactiveOutsideItsFleetSizes(t *testing.T) {
	is := is.New(t)
	small, large := newFleet(3, 3), newFleet(2, 220)
	for _, board := range large.boards {
		board.SetOwn(large.now, Report{Servers: 5900})
	}
	for _, f := range []*fleet{small, large} {
		f.setLoad(1)
		f.run(time.Second)
		is.Equal(f.reports, 0)
		_, known := f.boards["entry-0-0"].Others(f.now)
		is.True(!known)
	}
}

// Data centres of 33 instances and more had no board: each of 194 instances took
// engines with seconds of prompts to read for idle.
func TestBoardIsActiveWithFortyInstancesPerDataCenter(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 40)
	for _, board := range f.boards {
		board.SetOwn(f.now, Report{Servers: 160})
	}
	f.run(time.Second)
	f.setLoad(2)
	f.run(3*f.boards["entry-0-0"].interval() + step)
	is.True(f.allReport(239, 2))
}

// A collector's answers must leave its link to callers, however many ask it.
func TestCollectorRepliesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 120)
	for _, board := range f.boards {
		board.SetOwn(f.now, Report{Servers: 100})
	}
	own := Report{Loads: make(Loads), Work: make(Work)}
	for key := range uint32(100) {
		own.Loads[key<<24] = Load{InFlight: 100, Backlog: [Levels]uint32{1: 400}}
	}
	for _, board := range f.boards {
		board.SetOwn(f.now, own)
	}
	f.run(time.Second)
	f.replyBytes = 0
	f.run(2 * time.Second)
	is.True(f.replyBytes > 0)
	is.True(float64(f.replyBytes)/2/2 <= 1.3*replyBytesPerSecond) // two collectors, two seconds
}

// What all ask slots for, and how many they are, is told with the loads: an instance of
// a large fleet that knew only its own requests took half of all slots for its own.
func TestSlotClaimsPropagate(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 13)
	for _, board := range f.boards {
		var work PoolWork
		work.Claims[9] = 0.75
		board.SetOwn(f.now, Report{Loads: Loads{}, Work: Work{3: work}})
	}
	f.run(2 * time.Second)
	for _, board := range f.boards {
		others, known := board.Others(f.now)
		is.True(known)
		is.Equal(others.Instances, 77)
		is.Equal(others.Work[3].Claims[9], 77*0.75)
	}
}

// Columns of different lengths and levels that a later build might add don't break the
// words.
func TestLoadsEncodingRoundTrip(t *testing.T) {
	is := is.New(t)
	loads := Loads{1: {InFlight: 3, Backlog: [Levels]uint32{0, 2}}, 9: {Backlog: [Levels]uint32{9: 4}}}
	told := Report{Loads: loads}.Encode(time.Time{}, "")
	is.Equal(DecodeReport(time.Time{}, told).Loads, loads)
	is.Equal(len(told.Backlog), 2)
	told.BacklogAt = append(told.BacklogAt, 1<<levelBits|15, 40<<levelBits, 3)
	told.Backlog = append(told.Backlog, 5, 6)
	told.Servers = append(told.Servers, 11)
	is.Equal(DecodeReport(time.Time{}, told).Loads, loads)
}

// Each instance divided the engines into lanes by what it had seen itself, and an engine
// kept for short pauses by some got long prompts from others. The plan of the instance of
// the best rank must reach all, and that of the next once the first is gone.
func TestLanePlanOfHighestRankPropagates(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 5)
	names := slices.SortedFunc(maps.Keys(f.boards), member.CompareRank)
	for name, board := range f.boards {
		plan := LanePlan{Author: name, InterTokenGapUs: 70000, Sizes: map[uint32]LaneSizes{4: {Tight: 2}}}
		board.SetOwn(f.now, Report{Loads: Loads{}, Work: Work{3: {Plan: plan, Engine: EngineSums{Weight: 2, Speed: 40}}}})
	}
	f.run(2 * time.Second)
	for _, name := range names[1:] {
		others, known := f.boards[name].Others(f.now)
		is.True(known)
		is.Equal(others.Work[3].Plan.Author, names[0])
		is.Equal(others.Work[3].Plan.Sizes[4].Tight, uint32(2))
		is.Equal(others.Work[3].Engine.Speed, 14*40.0)
	}
	f.unreachable[names[0]] = true
	f.run(2*Lifetime + 4*Interval)
	others, _ := f.boards[names[2]].Others(f.now)
	is.Equal(others.Work[3].Plan.Author, names[1])
}

// Sums that are no numbers would make every engine seem infinitely slow for good.
func TestNonFiniteEngineSumsAreIgnored(t *testing.T) {
	is := is.New(t)
	for _, bad := range []float32{float32(math.NaN()), float32(math.Inf(1)), -1} {
		told := (&PoolWork{Engine: EngineSums{Weight: 1, Speed: 20, EmptyStep: 5000, PerRequest: 50}}).Encode(3)
		is.Equal(DecodeWork(told).Engine.EmptyStep, 5000.0)
		told.Engine[1] = bad
		is.Equal(DecodeWork(told).Engine, EngineSums{})
	}
}

// An instance of an earlier build tells no bulk: its requests count as ones that don't give
// way.
func TestReportsWithoutPreemptibleCountsAreAccepted(t *testing.T) {
	is := is.New(t)
	loads := Loads{1: {InFlight: 3, Preemptible: 2}, 9: {InFlight: 1}}
	told := Report{Loads: loads}.Encode(time.Time{}, "")
	is.Equal(DecodeReport(time.Time{}, told).Loads, loads)
	told.Yielding = nil
	is.Equal(DecodeReport(time.Time{}, told).Loads, Loads{1: {InFlight: 3}, 9: {InFlight: 1}})
}

// Engines filled with bulk were told as if nothing on them gave way.
func TestPreemptibleLoadPropagates(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 11)
	for _, board := range f.boards {
		board.SetOwn(f.now, Report{Loads: Loads{7: {InFlight: 3, Preemptible: 2}}})
	}
	f.run(2 * time.Second)
	for _, board := range f.boards {
		others, known := board.Others(f.now)
		is.True(known)
		is.Equal(others.Loads[7], Load{InFlight: 3 * 32, Preemptible: 2 * 32})
	}
}
