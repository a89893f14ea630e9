package versionproof

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"github.com/lilacbridge/lilacbridge/connection/originlink"
)

const (
	// service is the one whose streams are simulated.
	service = "llm"
	// step is how often the simulation acts. Calls and tickers of the links fall between.
	step        = 50 * time.Millisecond
	dataCenters = 3
	// maxLimit is the longest time limit of a caller.
	maxLimit = time.Minute
	// maxLate is how long after its time limit a caller may resume a stream.
	maxLate = time.Second
)

// profile is a kind of run.
type profile struct {
	name string
	// seeds are those of the tests.
	seeds   []uint64
	length  time.Duration
	entries int
	// still is a service whose servers don't change.
	still bool
	// faults are pauses, cuts, kills, lists that are late or incomplete, and changes of the leader.
	faults bool
	// recoveries are losses of a majority of the state processes.
	recoveries bool
	// quick makes versions come and go within seconds, and streams begin at the same moments.
	quick bool
	// removals leaves versions that have gone the time to be removed from the record.
	removals bool
}

var profiles = []profile{
	{name: "one version", seeds: []uint64{1}, length: 100 * time.Second, entries: 6, still: true},
	{name: "calm", seeds: []uint64{1}, length: 300 * time.Second, entries: 6},
	{name: "faults", seeds: []uint64{1}, length: 400 * time.Second, entries: 6, faults: true},
	{name: "quick", seeds: []uint64{1, 4}, length: 300 * time.Second, entries: 6, faults: true, quick: true},
	{name: "removals", seeds: []uint64{3, 11, 25}, length: 900 * time.Second, entries: 4, faults: true, quick: true, removals: true},
	{name: "recoveries", seeds: []uint64{14}, length: 400 * time.Second, entries: 4, faults: true, recoveries: true},
}

// sim is one run in a bubble of testing/synctest. Only the goroutine of run changes it, apart
// from the fields of network.
type sim struct {
	profile
	seed     uint64
	random   *rand.Rand
	start    time.Time
	now      time.Duration
	platform *platform
	group    *group
	all      []*entry
	keepers  []*keeper
	streams  []*stream
	network  *network
	counts   map[string]int
	trace    []string
	keep     bool
	hash     uint64
	failure  string

	mu      sync.Mutex
	results []result
	wg      sync.WaitGroup
}

// result is the end of a call of a link.
type result struct {
	stream  *stream
	request int
	finding *originlink.Finding
	err     error
}

func newSim(p profile, seed uint64, keep bool) *sim {
	s := &sim{profile: p, seed: seed, random: rand.New(rand.NewPCG(seed, 71)), start: time.Now(), counts: make(map[string]int), keep: keep}
	s.network = &network{sim: s, seed: seed}
	s.platform = newPlatform(s)
	s.group = newGroup(s)
	for i := range p.entries {
		s.all = append(s.all, newEntry(s, i))
	}
	for i := range dataCenters {
		s.keepers = append(s.keepers, newKeeper(s, i))
	}
	for _, e := range s.all {
		e.boot()
	}
	return s
}

// between returns a random time in the range, with short ones more often.
func (s *sim) between(low, high time.Duration) time.Duration {
	share := s.random.Float64()
	return low + time.Duration(share*share*float64(high-low))
}

// shorter returns the longest time that a stream spends in a phase. Just after a change of the
// record, short ones reach instances that haven't heard of it.
func (s *sim) shorter(longest time.Duration) time.Duration {
	if s.quick && s.chance(0.8) {
		return longest / 20
	}
	return longest
}

func (s *sim) chance(p float64) bool { return s.random.Float64() < p }

// often returns p in runs with faults, 0 in others.
func (s *sim) often(p float64) bool { return s.faults && s.random.Float64() < p }

func (s *sim) note(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", s.now.Seconds()) + fmt.Sprintf(format, args...)
	h := fnv.New64a()
	fmt.Fprintf(h, "%x %s", s.hash, line)
	s.hash = h.Sum64()
	if s.keep {
		s.trace = append(s.trace, line)
	}
}

// fail records the first violation.
func (s *sim) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
		s.note("VIOLATION %s", s.failure)
	}
}

func (s *sim) run() {
	for s.failure == "" && s.now < s.length {
		time.Sleep(step)
		s.now = time.Since(s.start)
		s.platform.step()
		s.group.step()
		for _, e := range s.all {
			e.step()
		}
		for _, k := range s.keepers {
			k.step()
		}
		s.finishCalls()
		s.arrive()
		for _, stream := range s.streams {
			stream.step()
		}
		s.streams = slices.DeleteFunc(s.streams, func(x *stream) bool { return x.phase == over })
	}
	for _, e := range s.all {
		e.kill()
	}
	for _, k := range s.keepers {
		k.cancel()
	}
	s.wg.Wait()
	synctest.Wait()
}

// spawn runs a call of a link; its result is seen at a later step. Calls begin one after the other,
// so that runs can be repeated.
func (s *sim) spawn(x *stream, call func(ctx context.Context, r *result)) {
	x.request++
	r := result{stream: x, request: x.request}
	s.wg.Go(func() {
		time.Sleep(time.Duration(x.number%1000+1) * time.Microsecond)
		call(context.Background(), &r)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.results = append(s.results, r)
	})
}

func (s *sim) finishCalls() {
	s.mu.Lock()
	results := s.results
	s.results = nil
	s.mu.Unlock()
	slices.SortFunc(results, func(a, b result) int { return a.stream.number - b.stream.number })
	for _, r := range results {
		if r.request == r.stream.request && r.stream.phase == calling {
			r.stream.called(r)
		}
	}
}

// arrive starts new streams.
func (s *sim) arrive() {
	share := 0.15
	if s.removals {
		share = 0.03
	}
	if s.quick && s.now-s.group.changed < 6*time.Second {
		share = 0.8
	}
	if s.chance(share) {
		s.counts["streams"]++
		s.streams = append(s.streams, newStream(s, s.counts["streams"]))
	}
}

// platform runs the servers. Each version has any number of them or none.
type platform struct {
	sim    *sim
	alive  []string
	gone   []string
	newest int
	next   time.Duration
	// untilForgotten delays the next change until the record counts no version.
	untilForgotten bool
}

func newPlatform(s *sim) *platform {
	p := &platform{sim: s, newest: 1, alive: []string{"v1"}}
	if !s.still && s.chance(0.3) {
		p.newest, p.alive = 2, []string{"v1", "v2"}
	}
	p.next = s.between(5*time.Second, 30*time.Second)
	return p
}

func (p *platform) has(version string) bool { return slices.Contains(p.alive, version) }

func (p *platform) step() {
	s := p.sim
	if s.still {
		return
	}
	if p.untilForgotten {
		if len(s.group.newest.Versions()) > 0 {
			return
		}
		p.untilForgotten, p.next = false, s.now+s.between(0, 4*time.Second)
	}
	if s.now < p.next {
		return
	}
	p.next = s.now + s.between(time.Second, 60*time.Second)
	if s.quick {
		p.next = s.now + s.between(200*time.Millisecond, 20*time.Second)
	}
	if s.chance(0.05) || s.removals && s.chance(0.6) {
		p.next = s.now + 140*time.Second
	}
	kind := s.random.IntN(10)
	if s.removals && s.chance(0.5) {
		kind = 8 + s.random.IntN(2)
	}
	switch {
	case kind < 4 && len(p.alive) < 3:
		p.newest++
		p.alive = append(p.alive, fmt.Sprint("v", p.newest))
	case kind < 8 && len(p.alive) > 1:
		p.remove(s.random.IntN(len(p.alive)))
	case kind == 8 && len(p.gone) > 0:
		i := s.random.IntN(len(p.gone))
		p.alive = append(p.alive, p.gone[i])
		p.gone = slices.Delete(p.gone, i, i+1)
	case kind == 9 && (s.removals || s.chance(0.5)):
		for len(p.alive) > 0 {
			p.remove(0)
		}
		p.next = s.now + s.between(100*time.Millisecond, 150*time.Second)
		p.untilForgotten = s.chance(0.5)
	case len(p.alive) == 0:
		p.newest++
		p.alive = append(p.alive, fmt.Sprint("v", p.newest))
	}
	s.note("servers of %v", p.alive)
}

func (p *platform) remove(i int) {
	p.gone = append(p.gone, p.alive[i])
	p.alive = slices.Delete(p.alive, i, i+1)
}

// list is what a process knows of the servers.
type list struct {
	sim      *sim
	versions []string
	known    bool
	next     time.Duration
	// stale is the end of a time without news.
	stale time.Duration
}

// step takes news of the list, which is late or incomplete at times.
func (l *list) step() {
	s := l.sim
	if s.now < l.next {
		return
	}
	l.next = s.now + s.between(100*time.Millisecond, time.Second)
	if s.often(0.003) {
		l.stale = s.now + s.between(time.Second, 3*time.Minute)
	}
	if s.now < l.stale {
		return
	}
	l.known = true
	l.versions = slices.Clone(s.platform.alive)
	if s.often(0.05) {
		l.versions = slices.DeleteFunc(l.versions, func(string) bool { return s.chance(0.4) })
	}
}
