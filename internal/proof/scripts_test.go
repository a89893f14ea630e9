package proof

import (
	"math/rand/v2"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/replica"
)

const (
	// stageTimeout bounds each stage of a script.
	stageTimeout = 8 * time.Second
	// maxScriptTime is the longest duration of a script; none starts later in a run.
	maxScriptTime = 3*stageTimeout + time.Second
	// scriptPollInterval is the interval of checks whether all processes have settled.
	scriptPollInterval = 50 * time.Millisecond
	// lagStep is the increment of the delay of responses to a leader, shorter than an
	// election timeout; lagPause is the time between two increments.
	lagStep, lagPause = 800 * time.Millisecond, 1200 * time.Millisecond
)

// scripts runs schedules that random faults rarely produce, each aimed at one safety
// rule of the log. A script starts when all five processes have settled, takes its
// nodes and times from the seed, and ends with all links healed.
type scripts struct {
	sim *sim
	rng *rand.Rand
	// elected is called with each new leader; it may be nil.
	elected func(n *node)
	// deafLeader is a leader that gets no messages from the next candidate; nil for
	// none.
	deafLeader *node
	// stage is the number of the current stage.
	stage int
}

func newScripts(s *sim, seed uint64) *scripts {
	c := &scripts{sim: s, rng: rand.New(rand.NewPCG(seed, 6))}
	s.loss = 0
	s.after(2*time.Second, c.next)
	return c
}

func (c *scripts) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(c.rng.Int64N(int64(longest-shortest)))
}

// next starts a script as soon as all processes have settled.
func (c *scripts) next() {
	s := c.sim
	if s.now > s.profile.faultTime-maxScriptTime {
		return
	}
	if !s.settled() {
		s.after(scriptPollInterval, c.next)
		return
	}
	all := c.shuffledNodes()
	switch c.rng.IntN(5) {
	case 0:
		c.oldTermCommit(all)
	case 1:
		c.delayedResponses(all)
	case 2:
		c.concurrentRemovals(all)
	case 3:
		c.reconnectedVoter(all)
	case 4:
		c.delayedLeadershipTransfer(all)
	}
}

// shuffledNodes returns the leader first, then the others in random order.
func (c *scripts) shuffledNodes() []*node {
	leader := c.sim.leader()
	all := []*node{leader}
	for _, i := range c.rng.Perm(len(c.sim.nodes)) {
		if n := c.sim.nodes[i]; n != leader {
			all = append(all, n)
		}
	}
	return all
}

// partition cuts all links between the two sides, and no others.
func (c *scripts) partition(one, other []*node) {
	clear(c.sim.cut)
	for _, a := range one {
		for _, b := range other {
			c.sim.cut[a.name+">"+b.name], c.sim.cut[b.name+">"+a.name] = true, true
		}
	}
}

// finish heals all links and continues with the next script.
func (c *scripts) finish() {
	c.stage++
	c.elected, c.deafLeader = nil, nil
	clear(c.sim.cut)
	clear(c.sim.extraDelay)
	c.next()
}

// onElected calls then when one of the processes becomes the leader, before any of its
// messages arrives. It ends the script if none does within stageTimeout.
func (c *scripts) onElected(among []*node, then func(n *node)) {
	c.stage++
	stage := c.stage
	c.elected = func(n *node) {
		for _, one := range among {
			if one == n {
				c.elected = nil
				c.stage++
				then(n)
				return
			}
		}
	}
	c.sim.after(stageTimeout, func() {
		if c.stage == stage {
			c.finish()
		}
	})
}

func (c *scripts) propose(n *node, count int) {
	for range count {
		n.process(replica.Request{Event: replica.Propose{}, Reply: func(replica.Outcome) {}})
	}
}

func without(all []*node, gone *node) []*node {
	var left []*node
	for _, n := range all {
		if n != gone {
			left = append(left, n)
		}
	}
	return left
}

// oldTermCommit lets entries of an old term reach a quorum under a later leader,
// while a node with an entry of a term in between may still be elected. A leader
// that commits entries of an earlier term by counting replicas loses them.
func (c *scripts) oldTermCommit(all []*node) {
	c.sim.note("script: old term")
	few, many := all[:2], all[2:]
	c.partition(few, many)
	c.propose(all[0], 3)
	c.onElected(many, func(between *node) {
		rest := without(many, between)
		c.partition([]*node{between}, append(rest, few...))
		c.onElected(few, func(*node) {
			c.sim.after(c.between(0, 250*time.Millisecond), func() {
				c.partition(few, many)
				c.onElected(many, func(*node) { c.sim.after(time.Second, c.finish) })
			})
		})
	})
}

// delayedResponses delays the responses to a leader and then cuts its outgoing
// links: it still receives responses from a quorum that follows another leader.
func (c *scripts) delayedResponses(all []*node) {
	c.sim.note("script: delayed responses")
	s, leader := c.sim, all[0]
	steps := 3
	for i := range steps {
		s.after(time.Duration(i)*lagPause, func() { s.extraDelay[leader.name] += lagStep })
	}
	s.after(time.Duration(steps)*lagPause, func() {
		for _, n := range all[1:] {
			s.cut[leader.name+">"+n.name] = true
		}
		s.after(stageTimeout, c.finish)
	})
}

// concurrentRemovals requests the removal of two voters from a leader that reaches
// only one other voter: with both removed, each side would have a quorum.
func (c *scripts) concurrentRemovals(all []*node) {
	c.sim.note("script: concurrent removals")
	few, many := all[:2], all[2:]
	c.partition(few, many)
	for _, n := range many[:2] {
		remove := replica.ChangeMembers{Kind: replica.Remove, Member: &lilacv1.RaftMember{Id: n.identity()}}
		all[0].process(replica.Request{Event: remove, Reply: func(replica.Outcome) {}})
	}
	c.propose(all[0], 1)
	c.onElected(many, func(*node) { c.sim.after(time.Second, c.finish) })
}

// reconnectedVoter cuts off a follower and heals it: the leader must stay in its
// term.
func (c *scripts) reconnectedVoter(all []*node) {
	c.sim.note("script: reconnected voter")
	s, leader := c.sim, all[0]
	term := leader.runner.Status().Term
	c.partition(all[1:2], append([]*node{leader}, all[2:]...))
	s.after(c.between(3*time.Second, 10*time.Second), func() {
		clear(s.cut)
		s.after(3*time.Second, func() {
			now := leader.runner.Status()
			s.invariants.check(now.Role == replica.Leader && now.Term == term, "a reconnected voter does not disrupt the leader", "%s led term %d and is %s in %d", leader.name, term, now.Role, now.Term)
			c.finish()
		})
	})
}

// delayedLeadershipTransfer delays the message that transfers leadership: the leader
// has resumed accepting proposals by then, and the candidate lacks those entries.
func (c *scripts) delayedLeadershipTransfer(all []*node) {
	c.sim.note("script: delayed leadership transfer")
	s, leader := c.sim, all[0]
	c.deafLeader = leader
	for _, n := range all[1:] {
		s.extraDelay[n.name] = lagStep
	}
	s.after(lagPause, func() {
		leader.process(replica.Request{Event: replica.TransferLeadership{}})
		for i := range 20 {
			s.after(election+time.Duration(i)*tick/2, func() { c.propose(leader, 1) })
		}
		s.after(stageTimeout, c.finish)
	})
}

// candidacyStarted is called when a node becomes a candidate.
func (c *scripts) candidacyStarted(n *node) {
	if c.deafLeader != nil {
		c.sim.cut[n.name+">"+c.deafLeader.name] = true
		c.deafLeader = nil
	}
}
