// Package proof runs deterministic simulations of the replicated log, its files
// and its state machine. The production code runs on a simulated clock, network
// and disk; all events come from one queue, and a seed determines the whole run.
package proof

import (
	"cmp"
	"container/heap"
	"fmt"
	"hash"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/daemon/state"
	"github.com/lilacbridge/lilacbridge/internal/memdisk"
	"github.com/lilacbridge/lilacbridge/process/ledger"
	"github.com/lilacbridge/lilacbridge/process/replica"
)

const (
	heartbeat = 100 * time.Millisecond
	election  = time.Second
	tick      = heartbeat / 2
	// maxBackground is the longest delay of background work.
	maxBackground = 2 * time.Second
)

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// node is a state process with its disk.
type node struct {
	sim     *sim
	name    string
	disk    *memdisk.Disk
	runner  *replica.Runner
	machine *state.Machine
	// frozenUntil is the time at which a suspended process resumes; pending holds
	// the requests received until then.
	frozenUntil time.Duration
	pending     []replica.Request
	// bootstrap is the process's setting; it stays true after the disk is lost, but for runs of
	// the first start.
	bootstrap bool
	// synced is true once the process has sent a message, for which its first state is synced.
	synced bool
	// down, if not 0, is how long the process stays down after the next kill.
	down time.Duration
	// leases checks the leases of machine by the node's clock.
	leases *state.LeaseClock
	// id is the identity of the process when it last ran.
	id  string
	rng *rand.Rand
	// backgroundRNG draws the delays of background work.
	backgroundRNG *rand.Rand
}

// sim is one simulation run.
type sim struct {
	profile profile
	// Each component has its own source of random numbers, so that a change to one
	// component does not change the numbers that the others draw.
	rng, faultRNG, callRNG *rand.Rand
	now                    time.Duration
	queue                  eventHeap
	seq                    uint64
	nodes                  []*node
	// cut holds the links that lose all messages, as "from>to".
	cut        map[string]bool
	loss, dup  float64
	maxDelay   time.Duration
	lost       string
	healed     bool
	trace      hash.Hash64
	log        io.Writer
	invariants *invariants
	operators  *operators
	entries    *entries
	cutoffs    *cutoffs
	scripts    *scripts
	// extraDelay is added to each message to a process, by process name.
	extraDelay    map[string]time.Duration
	snapshotEvery uint64
	segmentBytes  int64
	autoMembers   bool
	struckFounder *struckFounder
}

func newSim(p profile, seed uint64, log io.Writer) *sim {
	s := &sim{profile: p, rng: rand.New(rand.NewPCG(seed, 1)), faultRNG: rand.New(rand.NewPCG(seed, 2)), callRNG: rand.New(rand.NewPCG(seed, 3)), cut: map[string]bool{}, extraDelay: map[string]time.Duration{}, trace: xxhash.New(), log: log}
	s.invariants = newInvariants(s)
	s.loss, s.dup = s.rng.Float64()*0.1, s.rng.Float64()*0.05
	s.maxDelay = time.Duration(s.rng.IntN(int(p.maxDelay/time.Millisecond))) * time.Millisecond
	s.snapshotEvery, s.segmentBytes = uint64(8+s.rng.IntN(100)), int64(512+s.rng.IntN(8000))
	count := 3
	if s.rng.IntN(5) == 0 {
		count = 5
	}
	if p.nodes > 0 {
		count = p.nodes
	}
	if p.firstStart {
		count = s.foundingSize()
	}
	for i := range count {
		own := rand.New(rand.NewPCG(seed, uint64(100+i)))
		s.nodes = append(s.nodes, &node{sim: s, name: fmt.Sprint("state-", i), disk: memdisk.New(), bootstrap: true, rng: own, backgroundRNG: rand.New(rand.NewPCG(seed, uint64(200+i)))})
	}
	if p.firstStart {
		s.startFounding(seed)
		return s
	}
	for _, n := range s.nodes {
		s.after(time.Duration(s.rng.IntN(2000))*time.Millisecond, n.start)
	}
	return s
}

func (s *sim) after(wait time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + wait, seq: s.seq, run: run})
}

// note adds a line to the trace.
func (s *sim) note(format string, args ...any) {
	fmt.Fprintf(s.trace, "%d ", s.now)
	fmt.Fprintf(s.trace, format, args...)
	if s.log != nil {
		fmt.Fprintf(s.log, "%8.3f ", s.now.Seconds())
		fmt.Fprintf(s.log, format+"\n", args...)
	}
}

// run processes events until the given time, a violated invariant or done.
func (s *sim) run(until time.Duration, done func() bool) {
	for len(s.queue) > 0 && s.queue[0].at <= until && s.invariants.failure == "" && !done() {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
}

func (n *node) start() {
	if n.runner != nil {
		return
	}
	s := n.sim
	var peers []replica.Peer
	for _, other := range s.nodes {
		if other != n {
			peers = append(peers, replica.Peer{Name: other.name, Address: other.name})
		}
	}
	n.machine = state.NewMachine(0, ledger.Limits{})
	n.leases = state.NewLeaseClock(n.machine, func() time.Time { return time.Unix(0, 0).Add(s.now) })
	n.frozenUntil, n.pending = 0, nil
	n.runUntilCrash(func() {
		runner, err := replica.NewRunner(replica.Options{Name: n.name, Address: n.name, Peers: peers, Bootstrap: n.bootstrap, AutoMembers: s.autoMembers,
			Heartbeat: heartbeat, Election: election, Folder: n.disk, Machine: n.machine, Transport: n, SnapshotEvery: s.snapshotEvery,
			SegmentBytes: s.segmentBytes, ChunkBytes: cmp.Or(s.profile.chunkBytes, 400), AppendBytes: s.profile.appendBytes, Clock: func() time.Duration { return s.now },
			Random: n.rng.Uint64, Background: n.background, Observe: func(a replica.Action) { s.invariants.observe(n, a) }})
		if !s.invariants.check(err == nil, "restart after a crash", "%s: %v", n.name, err) {
			return
		}
		n.runner, n.id = runner, runner.Status().ID
		s.note("%s starts as %s", n.name, n.id)
		s.after(tick, func() { n.tick(runner) })
	})
}

// background runs work after a random delay, as a goroutine would: other requests,
// a kill or a crash may come first.
func (n *node) background(work func()) {
	runner := n.runner
	n.sim.after(time.Duration(n.backgroundRNG.Int64N(int64(maxBackground))), func() { n.runBackground(runner, work) })
}

// runBackground runs the work unless the process has ended; a frozen process runs
// it when it resumes.
func (n *node) runBackground(runner *replica.Runner, work func()) {
	switch {
	case n.runner == nil || n.runner != runner:
	case n.sim.now < n.frozenUntil:
		n.sim.after(n.frozenUntil-n.sim.now, func() { n.runBackground(runner, work) })
	default:
		n.sim.note("%s runs background work", n.name)
		n.runUntilCrash(work)
	}
}

func (n *node) tick(runner *replica.Runner) {
	if n.runner != runner {
		return
	}
	n.process(replica.Request{Event: replica.Tick{}})
	// Clock drift of up to 5 % in either direction.
	n.sim.after(tick-tick/20+time.Duration(n.rng.Int64N(int64(tick/10))), func() { n.tick(runner) })
}

// runUntilCrash runs code of the process, which a simulated machine crash may
// interrupt at any disk operation.
func (n *node) runUntilCrash(run func()) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case memdisk.Crash:
			n.sim.note("%s crashes during an operation", n.name)
			n.kill()
		default:
			panic(r)
		}
	}()
	run()
}

// identity returns the identity of the process, which may change while it runs. It is the
// last one if the process does not run.
func (n *node) identity() string {
	if n.runner != nil {
		n.id = n.runner.Status().ID
	}
	return n.id
}

func (n *node) process(request replica.Request) {
	if n.runner == nil {
		return
	}
	if n.sim.now < n.frozenUntil {
		_, isTick := request.Event.(replica.Tick)
		if !isTick {
			n.pending = append(n.pending, request)
		}
		return
	}
	n.runUntilCrash(func() {
		if err := n.runner.ProcessBatch([]replica.Request{request}); err != nil {
			n.sim.note("%s ends: %v", n.name, err)
			n.kill()
		}
	})
}

// freeze suspends the process as SIGSTOP does; requests are queued meanwhile.
func (n *node) freeze(length time.Duration) {
	s := n.sim
	s.note("%s frozen for %s", n.name, length)
	n.frozenUntil = s.now + length
	runner := n.runner
	s.after(length, func() {
		if n.runner != runner {
			return
		}
		pending := n.pending
		n.pending = nil
		for _, request := range pending {
			n.process(request)
		}
	})
}

// kill ends the process, which restarts after a random delay of up to 3 s.
func (n *node) kill() {
	if n.runner == nil {
		return
	}
	n.sim.note("%s killed", n.name)
	n.identity()
	n.sim.invariants.addChecked(n.runner.Status().InvariantsChecked)
	n.runner = nil
	n.disk.Crash(n.rng)
	if n.down > 0 {
		n.sim.after(n.down, n.start)
		n.down = 0
		return
	}
	n.sim.after(time.Duration(n.rng.Int64N(int64(3*time.Second))), n.start)
}

// Send delivers messages with delay, loss, duplication and reordering.
func (n *node) Send(address string, messages []*lilacv1.RaftMessage) {
	s := n.sim
	n.synced = true
	for _, m := range messages {
		s.invariants.messageSent(n, m)
		if s.cut[n.name+">"+address] || s.rng.Float64() < s.loss {
			continue
		}
		s.deliver(n, address, m)
		if s.rng.Float64() < s.dup {
			s.deliver(n, address, m)
		}
	}
}

func (s *sim) deliver(from *node, address string, m *lilacv1.RaftMessage) {
	copied := proto.CloneOf(m)
	s.after(s.delay()+s.extraDelay[address]+s.struckFounder.delay(from), func() {
		if s.cut[from.name+">"+address] {
			return
		}
		to := s.byName(address)
		s.note("%s>%s %d term %d index %d n %d commit %d reject %t", from.name, to.name, copied.GetKind(), copied.GetTerm(), copied.GetIndex(), len(copied.GetEntries()), copied.GetCommit(), copied.GetReject())
		to.process(replica.Request{Event: replica.Received{Message: copied}})
	})
}

func (s *sim) delay() time.Duration {
	wait := time.Millisecond + time.Duration(s.rng.Int64N(int64(s.maxDelay+5*time.Millisecond)))
	if s.rng.IntN(100) < s.profile.delaySpikes {
		wait += time.Duration(s.rng.Int64N(int64(4 * time.Second)))
	}
	return wait
}

func (s *sim) byName(name string) *node {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// leaders returns the running processes that believe they are the leader.
func (s *sim) leaders() []*node {
	var all []*node
	for _, n := range s.nodes {
		if n.runner != nil && n.runner.Status().Role == replica.Leader && s.now >= n.frozenUntil {
			all = append(all, n)
		}
	}
	return all
}

func (s *sim) leader() *node {
	if all := s.leaders(); len(all) > 0 {
		return all[0]
	}
	return nil
}
