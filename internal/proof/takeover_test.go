package proof

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/process/replica"
)

// faultFree has no faults except those injected by a test.
var faultFree = profile{name: "quiet", maxDelay: 30 * time.Millisecond, appendBytes: 1 << 20}

// newFaultFree returns a run that has settled with a leader.
func newFaultFree(seed uint64, nodes int) *sim {
	p := faultFree
	p.nodes = nodes
	s := newSim(p, seed, nil)
	s.loss, s.dup, s.snapshotEvery = 0, 0, 1000
	s.run(time.Minute, s.settled)
	return s
}

// timeToAccept proposes every 10 ms and returns the time until a proposal is accepted.
func (s *sim) timeToAccept() time.Duration {
	startedAt, done := s.now, false
	var try func()
	try = func() {
		if leader := s.leader(); leader != nil && !done {
			leader.process(replica.Request{Event: replica.Propose{Command: []byte{}}, Reply: func(o replica.Outcome) { done = done || o.Err == nil }})
		}
		s.after(10*time.Millisecond, try)
	}
	try()
	s.run(s.now+time.Minute, func() bool { return done })
	return s.now - startedAt
}

// A voter that was cut off for ten seconds is reconnected. The leader must stay in
// its term and continue to accept proposals.
func TestReconnectedVoterDoesNotDisruptLeader(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 10; seed++ {
		s := newFaultFree(seed, 3)
		leader := s.leader()
		term := leader.runner.Status().Term
		for _, n := range s.nodes {
			if n != leader {
				s.cutLinks([]string{n.name + ">" + leader.name, leader.name + ">" + n.name, n.name + ">" + s.thirdNode(n, leader).name, s.thirdNode(n, leader).name + ">" + n.name})
				break
			}
		}
		s.run(s.now+10*time.Second, func() bool { return false })
		clear(s.cut)
		s.run(s.now+10*time.Second, func() bool { return false })
		is.Equal(s.leader(), leader)
		is.Equal(leader.runner.Status().Term, term)
		is.True(s.timeToAccept() < 200*time.Millisecond)
	}
}

func (s *sim) thirdNode(a, b *node) *node {
	for _, n := range s.nodes {
		if n != a && n != b {
			return n
		}
	}
	return nil
}

// BenchmarkTimeWithoutLeader measures the simulated time from the loss of a leader
// to the next accepted proposal, with the default timeouts and message delays of up
// to 36 ms.
func BenchmarkTimeWithoutLeader(b *testing.B) {
	ends := map[string]func(s *sim, n *node){
		"killed": func(_ *sim, n *node) { n.kill() },
		"frozen": func(_ *sim, n *node) { n.freeze(20 * time.Second) },
		"cutoff": func(s *sim, n *node) { s.cutOff(n, true, true) },
		"handed": func(s *sim, n *node) {
			n.process(replica.Request{Event: replica.TransferLeadership{}})
			s.after(election, n.kill)
		},
	}
	for _, nodes := range []int{3, 5, 7} {
		for _, how := range []string{"killed", "frozen", "cutoff", "handed"} {
			b.Run(fmt.Sprintf("voters=%d/%s", nodes, how), func(b *testing.B) {
				var times []time.Duration
				for seed := range b.N {
					s := newFaultFree(uint64(seed+1), nodes)
					ends[how](s, s.leader())
					times = append(times, s.timeToAccept())
				}
				slices.Sort(times)
				b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "p50-ms")
				b.ReportMetric(float64(times[len(times)*99/100].Milliseconds()), "p99-ms")
				b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "max-ms")
			})
		}
	}
}
