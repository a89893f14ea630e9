package spread

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// tickInterval is how often the simulated instances receive updates and tick.
	tickInterval = 250 * time.Millisecond
	// maxLag is the longest that a change may take to reach an instance without faults
	// while others fail.
	maxLag = 13 * time.Second
)

// follower is a simulated entry instance.
type follower struct {
	core     *Core
	target   Target
	revision int
	// currentAsOf is the last time at which revision is known to have been the newest.
	currentAsOf time.Time
	// Each fault lasts until the given time. A dead instance does not answer and restarts
	// empty. A hung one keeps its streams open but sends nothing. A partitioned one can't
	// reach the state processes.
	dead, hung, partitioned time.Time
	// faultFreeSince is the end of the last fault of this instance.
	faultFreeSince time.Time
}

// simulation is a data centre whose state process accepts a change each second.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	names   []string
	entries map[string]*follower
	newest  int
}

func newSimulation(seed uint64, n int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 2)), now: start, names: rankedNames(n), entries: make(map[string]*follower)}
	for _, name := range s.names {
		s.entries[name] = &follower{faultFreeSince: start}
		s.restart(name)
	}
	return s
}

func (s *simulation) restart(name string) {
	f := s.entries[name]
	f.core, f.revision, f.currentAsOf = NewCore(name), 0, time.Time{}
	s.apply(f, f.core.Step(s.now, Entries{s.names}))
}

func (s *simulation) apply(f *follower, actions []Follow) {
	for _, a := range actions {
		f.target = a.Target
	}
}

// receive delivers what the stream of f brings in one interval.
func (s *simulation) receive(f *follower) {
	if f.target.IsState() {
		if s.now.Before(f.partitioned) {
			s.apply(f, f.core.Step(s.now, StreamFailed{f.target}))
			return
		}
		f.revision, f.currentAsOf = s.newest, s.now
		s.apply(f, f.core.Step(s.now, UpdateReceived{Target: f.target, Age: 0}))
		return
	}
	parent := s.entries[f.target.Entry]
	switch {
	case s.now.Before(parent.dead), parent.revision == 0:
		s.apply(f, f.core.Step(s.now, StreamFailed{f.target}))
	case !s.now.Before(parent.hung):
		if parent.revision > f.revision {
			f.revision = parent.revision
		}
		if parent.currentAsOf.After(f.currentAsOf) {
			f.currentAsOf = parent.currentAsOf
		}
		s.apply(f, f.core.Step(s.now, UpdateReceived{Target: f.target, Age: s.now.Sub(parent.currentAsOf)}))
	}
}

// injectFault adds a fault to a random instance, preferring those of high rank.
func (s *simulation) injectFault() {
	name := s.names[min(s.random.IntN(len(s.names)), s.random.IntN(len(s.names)), s.random.IntN(len(s.names)))]
	f := s.entries[name]
	until := s.now.Add(time.Duration(2+s.random.IntN(28)) * time.Second)
	switch s.random.IntN(3) {
	case 0:
		f.dead = until
	case 1:
		f.hung = until
	case 2:
		f.partitioned = until
	}
	if until.After(f.faultFreeSince) {
		f.faultFreeSince = until
	}
}

func (s *simulation) advance() {
	s.now = s.now.Add(tickInterval)
	if s.now.Sub(start)%time.Second == 0 {
		s.newest++
	}
	for _, name := range s.names {
		f := s.entries[name]
		if s.now.Before(f.dead) {
			continue
		}
		if !f.dead.IsZero() {
			f.dead = time.Time{}
			s.restart(name)
		}
		if s.now.Before(f.hung) {
			continue
		}
		s.receive(f)
		s.apply(f, f.core.Step(s.now, Tick{}))
	}
}

// Instances of a data centre crash, hang and are partitioned from the state processes,
// often the relay and its successors, several at once and repeatedly. Each instance
// without faults must receive every change within 13 s.
func TestChangesArriveWhileEntriesFail(t *testing.T) {
	worst, direct, steps := time.Duration(0), 0, 0
	for seed := range uint64(30) {
		s := newSimulation(seed, 60)
		for range int(3 * time.Minute / tickInterval) {
			if s.random.IntN(6) == 0 {
				s.injectFault()
			}
			s.advance()
			steps++
			for _, name := range s.names {
				f := s.entries[name]
				if f.target.IsState() {
					direct++
				}
				lag := time.Duration(s.newest-f.revision) * time.Second
				if s.now.Sub(f.faultFreeSince) < maxLag || s.now.Sub(start) < maxLag {
					continue
				}
				worst = max(worst, lag)
				if lag > maxLag {
					t.Fatalf("seed %d: %s lags by %s at %s, follows %v", seed, name, lag, s.now.Sub(start), f.target)
				}
			}
		}
	}
	t.Logf("worst lag %s, on average %.1f of 60 entries follow a state process", worst, float64(direct)/float64(steps))
}

func TestRankIsIndependentOfOrder(t *testing.T) {
	all := rankedNames(20)
	shuffled := slices.Clone(all)
	slices.Reverse(shuffled)
	a, b := NewCore("x"), NewCore("x")
	is.New(t).Equal(a.Step(start, Entries{all}), b.Step(start, Entries{shuffled}))
}
