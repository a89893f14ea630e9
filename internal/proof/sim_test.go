// Package proof drives the replicated log, its files and the state machine
// above it under one seeded heap of events: the product's own code, with a
// simulated clock, network and disk. The same seed gives the same run.
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
	"github.com/lilacbridge/lilacbridge/process/ledger"
	"github.com/lilacbridge/lilacbridge/process/replica"
)

const (
	heartbeat = 100 * time.Millisecond
	election  = time.Second
	tick      = heartbeat / 2
	// maxBackground is the longest delay of work beside the turns.
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

// node is one state process with its disk.
type node struct {
	sim     *sim
	name    string
	disk    *disk
	runner  *replica.Runner
	machine *state.Machine
	// frozenUntil is when a stopped process goes on; waiting is what came meanwhile.
	frozenUntil time.Duration
	pending     []replica.Request
	// bootstrap is as in the settings; it stays set when the disk is lost.
	bootstrap bool
	// leases judges the leases of machine by the node's clock.
	leases *state.LeaseClock
	// id is the identity that the process had when it last ran.
	id  string
	rng *rand.Rand
	// later draws the delays of work beside the turns.
	backgroundRNG *rand.Rand
}

// profile is a kind of run.
type profile struct {
	name string
	// faultTime is how long faults happen, at most faultGap apart.
	faultTime, faultGap time.Duration
	// pause is the longest pause of an operator between two calls.
	pause time.Duration
	// kinds is how many kinds of faults may happen; see fault.
	kinds int
	// spikes is how many messages in a hundred take seconds.
	delaySpikes int
	// nodes is the number of processes; 0 means three, now and then five.
	nodes int
	// appendBytes bounds the entries of one message.
	appendBytes int
	// chunkBytes is the part of a snapshot in one message; 0 means 400.
	chunkBytes int
	// slow is the longest usual delay of a message.
	maxDelay time.Duration
	// reads is how many calls in four are reads.
	reads int
	// anyLeader lets reads go to any process that takes itself for the leader.
	anyLeader bool
	// entries adds entry instances that follow the revisions.
	entries bool
	// scripts plays schedules against single guards; no other faults happen.
	scripts bool
	// cutoffs cuts data centres off by a plan, with callers at the entries; no
	// other faults happen.
	cutoffs bool
	// strikes adds to each cut a process that ends, hangs or starts again.
	extraFaults bool
}

var (
	// heavy runs have little time without a fault.
	heavy = profile{name: "heavy", faultTime: 40 * time.Second, faultGap: 3 * time.Second, pause: 700 * time.Millisecond, kinds: 12, delaySpikes: 1, appendBytes: 600, maxDelay: 60 * time.Millisecond, reads: 1}
	// busy runs make many changes between faults.
	busy = profile{name: "busy", faultTime: 60 * time.Second, faultGap: 8 * time.Second, pause: 150 * time.Millisecond, kinds: 14, delaySpikes: 5, appendBytes: 600, maxDelay: 60 * time.Millisecond, reads: 2, anyLeader: true}
	// churn runs change the leader all the time, with one entry a message.
	churn = profile{name: "churn", faultTime: 60 * time.Second, faultGap: 3 * time.Second, pause: 150 * time.Millisecond, kinds: 9, delaySpikes: 3, nodes: 5, appendBytes: 1, maxDelay: 400 * time.Millisecond, reads: 2, anyLeader: true}
	// fleet runs have entries in three data centres that are cut off in turn.
	fleet = profile{name: "fleet", faultTime: 60 * time.Second, faultGap: 15 * time.Second, pause: 400 * time.Millisecond, kinds: 14, delaySpikes: 1, appendBytes: 600, maxDelay: 60 * time.Millisecond, reads: 1, entries: true}
	// scripted runs play schedules that chance does not find; a snapshot is one message.
	scripted = profile{name: "scripted", faultTime: 80 * time.Second, pause: 400 * time.Millisecond, delaySpikes: 3, nodes: 5, appendBytes: 1, chunkBytes: 1 << 20, maxDelay: 60 * time.Millisecond, reads: 2, anyLeader: true, scripts: true}
	// cutoff runs have each data centre cut off in turn, and callers on both sides.
	cutoff = profile{name: "cutoff", faultTime: 3 * time.Minute, pause: 4 * time.Second, nodes: 3, appendBytes: 600, chunkBytes: 100, maxDelay: 60 * time.Millisecond, reads: 1, entries: true, cutoffs: true}
	// struck runs are those of cutoff with a second fault in each cut.
	cutoffWithFaults = profile{name: "struck", faultTime: 4 * time.Minute, pause: 4 * time.Second, nodes: 3, appendBytes: 600, chunkBytes: 100, maxDelay: 60 * time.Millisecond, reads: 1, entries: true, cutoffs: true, extraFaults: true}
)

// sim is one run.
type sim struct {
	profile profile
	// Each part draws from its own source, so that a change of one part leaves
	// the others' draws as they were.
	rng, faultRNG, callRNG *rand.Rand
	now                    time.Duration
	queue                  eventHeap
	seq                    uint64
	nodes                  []*node
	// cut holds the links that lose everything, by "from>to".
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
	// lag delays all messages to a process, by its name.
	extraDelay    map[string]time.Duration
	snapshotEvery uint64
	segmentBytes  int64
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
	for i := range count {
		own := rand.New(rand.NewPCG(seed, uint64(100+i)))
		s.nodes = append(s.nodes, &node{sim: s, name: fmt.Sprint("state-", i), disk: newDisk(own), bootstrap: true, rng: own, backgroundRNG: rand.New(rand.NewPCG(seed, uint64(200+i)))})
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

// run lets time pass until the moment, or until an invariant breaks or done holds.
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
		runner, err := replica.NewRunner(replica.Options{Name: n.name, Address: n.name, Peers: peers, Bootstrap: n.bootstrap,
			Heartbeat: heartbeat, Election: election, Folder: n.disk, Machine: n.machine, Transport: n, SnapshotEvery: s.snapshotEvery,
			SegmentBytes: s.segmentBytes, ChunkBytes: cmp.Or(s.profile.chunkBytes, 400), AppendBytes: s.profile.appendBytes, Clock: func() time.Duration { return s.now },
			Random: n.rng.Uint64, Background: n.background, Observe: func(a replica.Action) { s.invariants.observe(n, a) }})
		if !s.invariants.check(err == nil, "starts after any crash", "%s: %v", n.name, err) {
			return
		}
		n.runner, n.id = runner, runner.Status().ID
		s.note("%s starts as %s", n.name, n.id)
		s.after(tick, func() { n.tick(runner) })
	})
}

// background runs work a while after the turn that wanted it, as a goroutine
// would: other turns, a kill or a crash in the middle of it come between.
func (n *node) background(work func()) {
	runner := n.runner
	n.sim.after(time.Duration(n.backgroundRNG.Int64N(int64(maxBackground))), func() { n.runBackground(runner, work) })
}

// resume runs the work unless the process has ended; a frozen one does it later.
func (n *node) runBackground(runner *replica.Runner, work func()) {
	switch {
	case n.runner == nil || n.runner != runner:
	case n.sim.now < n.frozenUntil:
		n.sim.after(n.frozenUntil-n.sim.now, func() { n.runBackground(runner, work) })
	default:
		n.sim.note("%s ends work beside its turns", n.name)
		n.runUntilCrash(work)
	}
}

func (n *node) tick(runner *replica.Runner) {
	if n.runner != runner {
		return
	}
	n.process(replica.Request{Event: replica.Tick{}})
	// Clocks drift: a twentieth either way.
	n.sim.after(tick-tick/20+time.Duration(n.rng.Int64N(int64(tick/10))), func() { n.tick(runner) })
}

// guard runs a part of the process; a crash of the machine may end it anywhere.
func (n *node) runUntilCrash(run func()) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case crashed:
			n.sim.note("%s stops in the middle", n.name)
			n.kill()
		default:
			panic(r)
		}
	}()
	run()
}

// identity is the one on the disk; a process may take a fresh one while it runs.
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

// freeze stops the process as SIGSTOP does; what comes meanwhile waits.
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

// kill ends the process; it starts again after a while.
func (n *node) kill() {
	if n.runner == nil {
		return
	}
	n.sim.note("%s killed", n.name)
	n.identity()
	n.sim.invariants.addChecked(n.runner.Status().InvariantsChecked)
	n.runner = nil
	n.disk.crash()
	n.sim.after(time.Duration(n.rng.Int64N(int64(3*time.Second))), n.start)
}

// Send carries messages with delay, loss, repetition and reordering.
func (n *node) Send(address string, messages []*lilacv1.RaftMessage) {
	s := n.sim
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
	s.after(s.delay()+s.extraDelay[address], func() {
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

// leaders are those that take themselves for the leader and run.
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
