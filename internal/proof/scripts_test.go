package proof

import (
	"math/rand/v2"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/replica"
)

const (
	// scriptWait bounds each stage of a script.
	stageTimeout = 8 * time.Second
	// scriptLength is the longest that a script takes; none begins later in a run.
	maxScriptTime = 3*stageTimeout + time.Second
	// scriptPoll is how often a script looks whether all have settled.
	scriptPollInterval = 50 * time.Millisecond
	// lagStep is by how much answers to a leader fall behind at a time, shorter
	// than an election timeout, and lagPause how long it stays so.
	lagStep, lagPause = 800 * time.Millisecond, 1200 * time.Millisecond
)

// scripts play schedules against single guards of the log, which chance does not
// find: each begins once all five processes have settled, draws its parts and
// moments from the seed, and ends with all links healed.
type scripts struct {
	sim *sim
	rng *rand.Rand
	// elected is told of the next leader; it may be nil.
	elected func(n *node)
	// unheard is a leader that does not hear of the next candidacy; nil for none.
	deafLeader *node
	// stage tells a stage from those that have ended.
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

// next plays a script as soon as all have settled.
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

// parts returns the leader first, and the others in an order by chance.
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

// split cuts all links between the two sides.
func (c *scripts) partition(one, other []*node) {
	clear(c.sim.cut)
	for _, a := range one {
		for _, b := range other {
			c.sim.cut[a.name+">"+b.name], c.sim.cut[b.name+">"+a.name] = true, true
		}
	}
}

// end heals all and goes on.
func (c *scripts) finish() {
	c.stage++
	c.elected, c.deafLeader = nil, nil
	clear(c.sim.cut)
	clear(c.sim.extraDelay)
	c.next()
}

// whenElected goes on at the moment at which one of the processes becomes the
// leader, before any of its messages arrives; it ends the script if none does.
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

// oldTerm lets entries of an old term reach a quorum under a later leader, while
// one with an entry of a term between waits to be elected: a leader that commits
// them by count loses them.
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

// lateAnswers lets the answers to a leader fall far behind and then cuts what it
// sends: it goes on hearing a quorum that has long followed another one.
func (c *scripts) delayedResponses(all []*node) {
	c.sim.note("script: late answers")
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

// twoRemovals takes two voters out at a leader that reaches one other voter only:
// what is left of the five would have a quorum on each side.
func (c *scripts) concurrentRemovals(all []*node) {
	c.sim.note("script: two removals")
	few, many := all[:2], all[2:]
	c.partition(few, many)
	for _, n := range many[:2] {
		remove := replica.ChangeMembers{Kind: replica.Remove, Member: &lilacv1.RaftMember{Id: n.identity()}}
		all[0].process(replica.Request{Event: remove, Reply: func(replica.Outcome) {}})
	}
	c.propose(all[0], 1)
	c.onElected(many, func(*node) { c.sim.after(time.Second, c.finish) })
}

// healedVoter cuts a follower off and heals it: the leader that all others hear
// must stay, in its term.
func (c *scripts) reconnectedVoter(all []*node) {
	c.sim.note("script: healed voter")
	s, leader := c.sim, all[0]
	term := leader.runner.Status().Term
	c.partition(all[1:2], append([]*node{leader}, all[2:]...))
	s.after(c.between(3*time.Second, 10*time.Second), func() {
		clear(s.cut)
		s.after(3*time.Second, func() {
			now := leader.runner.Status()
			s.invariants.check(now.Role == replica.Leader && now.Term == term, "a healed voter leaves the leader alone", "%s led term %d and is %s in %d", leader.name, term, now.Role, now.Term)
			c.finish()
		})
	})
}

// lateHandOver lets the word that hands the office over come late: the leader has
// gone on by then, and the one that campaigns lacks what was accepted meanwhile.
func (c *scripts) delayedLeadershipTransfer(all []*node) {
	c.sim.note("script: late hand-over")
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

// campaigns is told of each candidacy.
func (c *scripts) candidacyStarted(n *node) {
	if c.deafLeader != nil {
		c.sim.cut[n.name+">"+c.deafLeader.name] = true
		c.deafLeader = nil
	}
}
