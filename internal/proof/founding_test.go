package proof

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/internal/memdisk"
	"github.com/lilacbridge/lilacbridge/process/replica"
)

const (
	// startSpread is the largest difference between the first starts of two processes.
	startSpread = time.Second
	// catchUpTime is how long a process counts as lost after it is back.
	catchUpTime = 4 * time.Second
	// ackTime bounds the time from the end of all faults to the next accepted change: the time
	// in which the processes settle, and that in which a change is accepted.
	ackTime = 4*time.Second + 5*time.Second
)

// founding starts a group for the first time while processes are killed and lose their disks. Only
// the first start of a process permits it to found.
var founding = profile{name: "founding", faultTime: 12 * time.Second, pause: 700 * time.Millisecond, delaySpikes: 3, appendBytes: 600, maxDelay: 60 * time.Millisecond, reads: 1, firstStart: true}

// startFounding plans the first start and its faults.
func (s *sim) startFounding(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 4))
	s.autoMembers = rng.IntN(2) == 0
	spread := time.Duration(rng.Int64N(int64(startSpread)))
	for _, n := range s.nodes {
		s.after(time.Duration(rng.Int64N(int64(spread)+1)), n.start)
	}
	if rng.IntN(2) == 0 {
		s.struckFounder = &struckFounder{sim: s, rng: rng}
		return
	}
	at := time.Duration(0)
	for range 1 + rng.IntN(3) {
		at += time.Duration(rng.Int64N(int64(2 * time.Second)))
		s.after(at, func() { s.foundingFault(rng) })
		at += catchUpTime
	}
}

// foundingFault kills one process, or all at once, or takes the disk of one.
func (s *sim) foundingFault(rng *rand.Rand) {
	if s.healed {
		return
	}
	n := s.nodes[rng.IntN(len(s.nodes))]
	down := time.Duration(rng.Int64N(int64(time.Second)))
	switch kind := rng.IntN(8); {
	case kind == 0 && s.allHaveState():
		s.note("all killed")
		for _, n := range s.nodes {
			n.killFor(down)
		}
	case kind < 3:
		n.killFor(down)
	case s.invariants.group != "" && !s.allVoters():
		// Another lost disk is still being replaced: messages that are late for seconds delay that
		// beyond catchUpTime.
	default:
		s.loseDisk(n, down)
	}
}

func (s *sim) loseDisk(n *node, down time.Duration) {
	if n.runner != nil {
		s.invariants.diskLost(n)
	}
	s.note("%s loses its disk", n.name)
	n.killFor(down)
	n.disk = memdisk.New()
}

// allHaveState reports whether all processes run and have synced their first state.
func (s *sim) allHaveState() bool {
	for _, n := range s.nodes {
		if n.runner == nil || !n.synced {
			return false
		}
	}
	return true
}

// killFor ends the process, if it runs, and starts it again after the given time. A process that
// hasn't started yet starts without the permission to found.
func (n *node) killFor(down time.Duration) {
	n.bootstrap = false
	n.down = down
	n.kill()
}

// requireAck checks that a change is accepted in time once all faults have ended.
func (s *sim) requireAck() {
	healed := s.now
	s.run(healed+ackTime, func() bool { return s.operators.afterHealed > 0 })
	v := s.invariants
	if v.failure == "" {
		v.check(s.operators.afterHealed > 0, "a change is accepted after the first start", "none within %s", ackTime)
	}
}

// groupCommits checks that only one group ever commits.
func (v *invariants) groupCommits(n *node) {
	group := n.runner.Status().Group
	if v.group == "" {
		v.group = group
	}
	v.check(v.group == group, "one group", "%s applies entries of group %s, others those of %s", n.name, group, v.group)
}

func (s *sim) foundingSize() int { return []int{3, 5, 6}[s.rng.IntN(3)] }

// maxStrikes bounds the founders that are struck in one run.
const maxStrikes = 2

// struckFounder takes the disk of a process that has just founded a group, while its messages are
// late: others may learn of the group when they have founded another one.
type struckFounder struct {
	sim     *sim
	rng     *rand.Rand
	strikes int
	// slow is the founder whose messages are late.
	slow *node
	// readyAt is when another disk may be lost.
	readyAt time.Duration
}

// founded is called when a process founds a group or learns of its members.
func (f *struckFounder) founded(n *node) {
	s := f.sim
	if f.strikes == maxStrikes || s.healed || s.now < f.readyAt || n.runner.Status().LastIndex != 1 {
		return
	}
	f.strikes++
	f.slow = n
	down := time.Duration(f.rng.Int64N(int64(time.Second)))
	wait := time.Duration(f.rng.Int64N(int64(200 * time.Millisecond)))
	f.readyAt = s.now + wait + down + catchUpTime
	s.after(wait, func() {
		f.slow = nil
		s.loseDisk(n, down)
	})
}

// delay is how much later than others a message of the process arrives.
func (f *struckFounder) delay(from *node) time.Duration {
	if f == nil || f.slow != from {
		return 0
	}
	return time.Duration(f.rng.Int64N(int64(maxLateness)))
}

// maxLateness is the largest delay of a message.
const maxLateness = 4 * time.Second

// replacement is a calm group of three that loses a disk.
var replacement = profile{name: "replacement", faultTime: time.Minute, pause: 700 * time.Millisecond, nodes: 3, appendBytes: 600, chunkBytes: 1 << 20, maxDelay: 2 * time.Millisecond, reads: 1}

// Guards against a disk that is not replaced before the next one may be lost: the process is a voter
// again within replica.ReplacementTime, though open connections go silent once and are renewed.
func TestLostDiskIsReplacedInTime(t *testing.T) {
	t.Parallel()
	for seed := range uint64(200) {
		is := is.New(t)
		s := newSim(replacement, seed, nil)
		s.autoMembers, s.loss, s.dup = true, 0, 0
		s.operators = newOperators(s)
		s.run(replacement.faultTime, s.settled)
		is.True(s.settled())
		rng := rand.New(rand.NewPCG(seed, 5))
		n := s.nodes[rng.IntN(len(s.nodes))]
		down := time.Duration(rng.Int64N(int64(time.Second)))
		s.loseDisk(n, down)
		back := s.now + down
		limit := replica.ReplacementTime(heartbeat, election)
		s.after(down+time.Duration(rng.Int64N(int64(limit))), func() {
			for _, from := range s.nodes {
				for _, to := range s.nodes {
					s.cut[from.name+">"+to.name] = true
				}
			}
			s.after(election/2, func() { s.cut = map[string]bool{} })
		})
		s.run(replacement.faultTime, s.allVoters)
		is.Equal(s.invariants.failure, "")
		if took := s.now - back; took > limit {
			t.Fatalf("seed %d: %s took %s to be a voter again, %s may pass", seed, n.name, took, limit)
		}
	}
}
