package versionproof

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/originlink"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/version/admission"
	"github.com/lilacbridge/lilacbridge/version/config"
)

// never is a confirmation that an entry has not had.
const never = -time.Hour

// entry is an entry process, with the real exchange of origins.
type entry struct {
	sim  *sim
	peer member.Peer
	// started counts the entry's processes; 0 of them runs until the given time.
	started  int
	deadTill time.Duration
	// cancel ends the process; nil if none runs.
	cancel    context.CancelFunc
	link      *originlink.Link
	follower  *config.Follower
	list      list
	rate      float64
	nextPeers time.Duration

	// Each fault lasts until the given time.
	pausedTill, noStateTill, withheldTill time.Duration

	// question is the one in flight.
	question *question
	nextAsk  time.Duration

	// mu guards confirmed, which the link reads.
	mu        sync.Mutex
	confirmed time.Duration
}

// question asks which revision is the newest.
type question struct {
	asked, read, answered time.Duration
	// peer is the entry that is asked; nil stands for the state processes.
	peer     *entry
	known    bool
	newest   uint64
	asOf     time.Duration
	snapshot *lilacv1.Snapshot
}

func newEntry(s *sim, i int) *entry {
	dataCenter := fmt.Sprint("d", i%dataCenters)
	name := fmt.Sprint("e", i)
	return &entry{sim: s, peer: member.Peer{Name: name, Address: name, DataCenter: dataCenter}, rate: 1 + 0.02*(s.random.Float64()-0.5)}
}

func (e *entry) running() bool { return e.cancel != nil && e.pausedTill <= e.sim.now }

// boot starts a process without memory.
func (e *entry) boot() {
	s := e.sim
	e.started++
	e.follower, e.question, e.list = config.NewFollower(), nil, list{sim: s}
	e.setConfirmed(never)
	follower := e.follower
	versions := func(name string) admission.Record {
		age := e.age()
		return admission.RecordOf(follower.Current(), name, age)
	}
	ctx, cancel := context.WithCancel(context.Background())
	mux := link.NewMux()
	self := process{e.peer.Name, e.started}
	e.link = originlink.New(originlink.Options{Self: e.peer, Versions: versions, Dial: func(address string) link.Caller {
		return &conn{s.network, self, address}
	}})
	e.link.Register(mux)
	e.cancel = cancel
	s.network.register(self, mux)
	e.setPeers()
	started := e.link
	s.wg.Go(func() {
		time.Sleep(time.Duration(s.network.hash(self.name, self.number)%uint64(step-2)) + 1)
		started.Run(ctx)
	})
}

func (e *entry) setConfirmed(at time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmed = at
}

// age is like the Staleness of connection/spreadlink.
func (e *entry) age() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(time.Since(e.sim.start)-e.confirmed) * e.rate)
}

func (e *entry) kill() {
	if e.cancel == nil {
		return
	}
	e.sim.network.unregister(process{e.peer.Name, e.started})
	e.cancel()
	e.cancel = nil
	for _, x := range e.sim.streams {
		if x.entry == e {
			x.broken()
		}
	}
}

// setPeers tells the link which entries live; it may be behind.
func (e *entry) setPeers() {
	s := e.sim
	var peers []member.Peer
	for _, other := range s.all {
		if other != e && (other.cancel != nil || !s.faults || s.chance(0.3)) {
			peers = append(peers, other.peer)
		}
	}
	e.link.SetPeers(peers)
	var keepers []member.Peer
	for _, k := range s.keepers {
		keepers = append(keepers, k.peer)
	}
	e.link.SetKeepers(keepers)
	e.nextPeers = s.now + s.between(500*time.Millisecond, 5*time.Second)
}

func (e *entry) step() {
	s := e.sim
	if e.cancel == nil {
		if s.now >= e.deadTill {
			s.note("%s starts", e.peer.Name)
			e.boot()
		}
		return
	}
	e.fail()
	if !e.running() {
		return
	}
	e.list.step()
	if s.now >= e.nextPeers {
		e.setPeers()
	}
	e.ask()
}

// fail begins faults.
func (e *entry) fail() {
	s := e.sim
	if !s.faults {
		return
	}
	switch n := s.random.IntN(40000); {
	case n < 8:
		e.die()
	case n == 8 && e == s.all[0]:
		s.note("all entries are killed")
		for _, other := range s.all {
			if other.cancel != nil {
				other.die()
			}
		}
	case n < 20:
		e.pausedTill = s.now + s.between(50*time.Millisecond, time.Minute)
		s.note("%s is paused until %s", e.peer.Name, e.pausedTill)
		s.network.pause(e.peer.Name, e.pausedTill)
	case n < 36:
		longest := 100 * time.Second
		if s.removals {
			longest = 400 * time.Second
		}
		e.noStateTill = s.now + s.between(time.Second, longest)
		s.note("%s is cut off from the state processes until %s", e.peer.Name, e.noStateTill)
		if s.chance(0.5) {
			s.network.cut(e.peer.Name, s.now+s.between(time.Second, 100*time.Second))
			s.note("%s is cut off from the others", e.peer.Name)
		}
	case n < 44:
		s.network.cut(e.peer.Name, s.now+s.between(time.Second, 100*time.Second))
		s.note("%s is cut off from the others", e.peer.Name)
	case n < 60:
		e.withheldTill = s.now + s.between(time.Second, 30*time.Second)
	}
}

func (e *entry) die() {
	e.kill()
	e.deadTill = e.sim.now + e.sim.between(100*time.Millisecond, 10*time.Second)
	e.sim.note("%s is killed", e.peer.Name)
}

// ask follows the configuration. A question, its reading and its answer are each a while apart.
func (e *entry) ask() {
	s := e.sim
	q := e.question
	if q == nil {
		if s.now < e.nextAsk {
			return
		}
		q = &question{asked: s.now, read: s.now + s.between(0, 100*time.Millisecond)}
		if s.often(0.1) {
			q.read = s.now + s.between(0, 10*time.Second)
		}
		q.answered = q.read + s.between(0, 100*time.Millisecond)
		if s.often(0.1) {
			q.answered = q.read + s.between(0, 10*time.Second)
		}
		if other := s.all[s.random.IntN(len(s.all))]; s.often(0.2) && other != e {
			q.peer = other
		}
		e.question = q
	}
	if !q.known && s.now >= q.read {
		q.known = true
		e.read(q)
	}
	if q.known && s.now >= q.answered {
		e.answered(q)
		e.question, e.nextAsk = nil, s.now+s.between(100*time.Millisecond, 400*time.Millisecond)
	}
}

// read fills in the answer.
func (e *entry) read(q *question) {
	s := e.sim
	switch peer := q.peer; {
	case peer != nil && peer.running() && peer.follower.Current() != nil:
		q.newest, q.snapshot = peer.follower.Revision(), peer.follower.Config()
		peer.mu.Lock()
		q.asOf = peer.confirmed
		peer.mu.Unlock()
	case peer == nil && e.noStateTill <= s.now && s.group.hasQuorum():
		q.newest, q.asOf, q.snapshot = s.group.newest.Revision(), q.asked, s.group.newest.Config()
	}
}

// answered takes an answer as connection/spreadlink does.
func (e *entry) answered(q *question) {
	s := e.sim
	if q.snapshot == nil || q.peer == nil && e.noStateTill > s.now {
		return
	}
	if e.withheldTill <= s.now && q.newest > e.follower.Revision() {
		// An older group's snapshot is refused.
		if e.follower.Load(q.snapshot) == nil {
			e.sim.note("%s holds revision %d", e.peer.Name, q.newest)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if q.newest == e.follower.Revision() {
		e.confirmed = max(e.confirmed, q.asOf)
	}
}

// process is one process of an entry.
type process struct {
	name   string
	number int
}

// network carries calls between entries. Calls are delayed by cuts and pauses and may arrive long
// after their callers have given up.
type network struct {
	sim  *sim
	seed uint64

	mu     sync.Mutex
	muxes  map[process]*link.Mux
	newest map[string]int
	paused map[string]time.Duration
	cuts   map[string]time.Duration
}

var errNotReached = errors.New("not reached")

func (n *network) register(p process, mux *link.Mux) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.muxes == nil {
		n.muxes, n.newest = make(map[process]*link.Mux), make(map[string]int)
		n.paused, n.cuts = make(map[string]time.Duration), make(map[string]time.Duration)
	}
	n.muxes[p], n.newest[p.name] = mux, p.number
	delete(n.paused, p.name)
}

func (n *network) unregister(p process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.muxes, p)
}

func (n *network) pause(name string, until time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused[name] = until
}

func (n *network) cut(name string, until time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[name] = until
}

// hash returns a number that depends on the seed and the arguments.
func (n *network) hash(args ...any) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, n.seed, args)
	x := h.Sum64()
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

// blocked returns for how long no message passes between the entries, or out of the only one.
func (n *network) blocked(names ...string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	var until time.Duration
	for _, name := range names {
		until = max(until, n.paused[name])
		if len(names) > 1 {
			until = max(until, n.cuts[name])
		}
	}
	return until - time.Since(n.sim.start)
}

// wait returns once messages pass between the entries.
func (n *network) wait(names ...string) {
	for d := n.blocked(names...); d > 0; d = n.blocked(names...) {
		time.Sleep(d)
	}
}

func (n *network) mux(p process) *link.Mux {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.muxes[p]
}

func (n *network) process(name string) process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return process{name, n.newest[name]}
}

// conn is the connection from a process to an entry.
type conn struct {
	network *network
	from    process
	to      string
}

func (c *conn) Open(context.Context, string, proto.Message) (link.Stream, error) {
	return nil, errNotReached
}

func (c *conn) Call(ctx context.Context, method string, req, resp proto.Message) error {
	type reply struct {
		message proto.Message
		err     error
	}
	done := make(chan reply, 1)
	req = proto.Clone(req)
	message := proto.Clone(resp)
	c.network.sim.wg.Go(func() { done <- reply{message, c.deliver(ctx, method, req, message)} })
	select {
	case r := <-done:
		if r.err == nil {
			proto.Merge(resp, r.message)
		}
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// deliver connects, sends the request to the process that it connected to, and returns the answer.
func (c *conn) deliver(ctx context.Context, method string, req, resp proto.Message) error {
	n := c.network
	x := n.hash(c.from.name, c.to, method, time.Since(n.sim.start))
	delay := func() {
		d := time.Duration(x%uint64(5*time.Millisecond)) + 1
		if n.sim.faults && x%11 == 0 {
			d = time.Duration(x%uint64(1200*time.Millisecond)) + 1
		}
		x = x*0x9e3779b97f4a7c15 + 1
		x ^= x >> 31
		time.Sleep(d)
	}
	delay()
	n.wait(c.from.name)
	if n.mux(c.from) == nil || ctx.Err() != nil {
		return errNotReached
	}
	target := n.process(c.to)
	if n.mux(target) == nil {
		return errNotReached
	}
	delay()
	n.wait(c.from.name, c.to)
	mux := n.mux(target)
	if mux == nil {
		return errNotReached
	}
	local := link.Local{Mux: mux}
	if err := local.Call(context.Background(), method, req, resp); err != nil {
		return err
	}
	delay()
	n.wait(c.from.name, c.to)
	return nil
}

// candidates returns the versions at which the entry may begin a stream now.
func (e *entry) candidates() []string {
	view := e.follower.Current()
	if view == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(e.list.versions), func(version string) bool { return !admission.Admits(view, service, version) })
}
