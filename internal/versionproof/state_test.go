package versionproof

import (
	"fmt"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/admission"
	"github.com/lilacbridge/lilacbridge/version/config"
)

const (
	keepInterval    = 250 * time.Millisecond
	proposalTimeout = 2 * time.Second
)

// group is the state processes: a log of commands, and processes that apply it late.
type group struct {
	sim   *sim
	nodes []*node
	// log holds the committed commands, newest the state after all of them.
	log    []command
	newest *config.Machine
	term   uint64
	leader int
	// pending are proposals that are in the leader's log and not committed yet, in its order.
	pending  []pending
	commands int
	// changed is when the last proposal was committed.
	changed time.Duration
	// lostUntil is the time of the recovery from a lost majority; 0 if there is a majority.
	lostUntil time.Duration
}

// command is a proposal, or a recovery that accepted no later numbers than above.
type command struct {
	proposal *lilacv1.Proposal
	above    uint64
	adopted  *lilacv1.Snapshot
}

type pending struct {
	due      time.Duration
	proposal *lilacv1.Proposal
}

// node is one state process.
type node struct {
	group   *group
	machine *config.Machine
	applied int
	core    *admission.Core
	list    list
	// leads is the term in which the process believes to lead, until the given time.
	leads      uint64
	until      time.Duration
	pausedTill time.Duration
	busyTill   time.Duration
	next       time.Duration
	// rate is that of the process's clock.
	rate float64
}

func newGroup(s *sim) *group {
	g := &group{sim: s, newest: config.NewMachine(0)}
	for range 3 {
		g.nodes = append(g.nodes, &node{group: g, machine: config.NewMachine(0), core: admission.NewCore(), list: list{sim: s}, rate: 1 + 0.02*(s.random.Float64()-0.5)})
	}
	g.elect()
	return g
}

// elect makes a random process the leader; the one before may not know it for a while.
func (g *group) elect() {
	s := g.sim
	if old := g.nodes[g.leader]; old.leads == g.term && g.term > 0 {
		old.until = s.now + s.between(0, 8*time.Second)
	}
	// The new leader commits those entries of the old one's log that it has before its own.
	if len(g.pending) > 0 && s.chance(0.7) {
		g.pending = g.pending[:s.random.IntN(len(g.pending))]
		s.counts["lost proposals"]++
	}
	g.term++
	g.leader = s.random.IntN(len(g.nodes))
	n := g.nodes[g.leader]
	n.leads, n.until = g.term, s.length*2
	n.busyTill = s.now + s.between(100*time.Millisecond, time.Second)
	s.note("node %d leads in term %d", g.leader, g.term)
}

func (g *group) hasQuorum() bool {
	running := 0
	for _, n := range g.nodes {
		if n.pausedTill <= g.sim.now {
			running++
		}
	}
	return running >= 2 && g.lostUntil == 0
}

func (g *group) step() {
	s := g.sim
	if g.lostUntil > 0 {
		if s.now >= g.lostUntil {
			g.recover()
		}
		return
	}
	if s.recoveries && s.chance(0.0006) {
		g.lostUntil = s.now + s.between(500*time.Millisecond, 20*time.Second)
		g.pending = nil
		for _, n := range g.nodes {
			n.leads = 0
		}
		s.note("majority lost")
		return
	}
	if s.often(g.changeRate()) || g.nodes[g.leader].pausedTill > s.now+2*time.Second && g.hasQuorum() {
		g.elect()
	}
	g.commit()
	for _, n := range g.nodes {
		n.step()
	}
}

// changeRate is the probability of a change of the leader in a step.
func (g *group) changeRate() float64 {
	if g.sim.removals {
		return 0.0001 // each starts the waits again
	}
	return 0.002
}

// commit appends the proposals that are due, in the log's order.
func (g *group) commit() {
	if !g.hasQuorum() {
		return
	}
	for len(g.pending) > 0 && g.pending[0].due <= g.sim.now {
		p := g.pending[0].proposal
		g.pending = g.pending[1:]
		before := g.newest.Revision()
		g.append(command{proposal: p})
		if g.newest.Revision() != before {
			g.sim.counts["revisions"]++
			g.committed()
			g.sim.note("revision %d: %s", g.newest.Revision(), p.GetStatement())
		} else {
			g.sim.counts["refused proposals"]++
		}
	}
}

// committed keeps the news of a change from some entries for a while.
func (g *group) committed() {
	g.changed = g.sim.now
	for _, e := range g.sim.all {
		if g.sim.often(0.2) {
			e.withheldTill = g.sim.now + g.sim.between(500*time.Millisecond, 8*time.Second)
		}
	}
}

func (g *group) append(c command) {
	g.log = append(g.log, c)
	c.apply(g.newest)
}

func (c command) apply(m *config.Machine) {
	if c.proposal != nil {
		m.Apply(c.proposal)
		return
	}
	if c.adopted != nil {
		m.Adopt(c.adopted, m.Revision(), nil)
	}
	m.Recover(c.above, "ana", "RECOVER", fmt.Sprint("recovery-", c.above), 1)
}

// recover continues from the log of one process, which may lack the last commands, or from a
// newer configuration that an entry holds.
func (g *group) recover() {
	s := g.sim
	g.lostUntil = 0
	kept := max(0, len(g.log)-s.random.IntN(6))
	above := g.newest.Revision()
	g.log = slices.Clone(g.log[:kept])
	g.newest = config.NewMachine(0)
	for _, c := range g.log {
		c.apply(g.newest)
	}
	c := command{above: above}
	if holder := s.all[s.random.IntN(len(s.all))]; s.chance(0.4) && holder.running() && holder.follower.Revision() > g.newest.Revision() {
		c.adopted = holder.follower.Config()
	}
	g.append(c)
	s.counts["recoveries"]++
	s.note("recovered at revision %d, adopted %t: %v", g.newest.Revision(), c.adopted != nil, g.newest.Versions())
	for _, n := range g.nodes {
		n.machine, n.applied, n.core, n.pausedTill = config.NewMachine(0), 0, admission.NewCore(), 0
	}
	g.elect()
}

func (n *node) step() {
	s, g := n.group.sim, n.group
	if n.leads > 0 && s.now >= n.until {
		n.leads = 0
	}
	if s.often(g.changeRate() / 4) {
		n.pausedTill = s.now + s.between(100*time.Millisecond, 20*time.Second)
	}
	if s.often(g.changeRate() / 8) { // restarted; its log is on disk
		n.core, n.leads = admission.NewCore(), 0
		if n == g.nodes[g.leader] {
			g.elect()
		}
	}
	if n.pausedTill > s.now {
		return
	}
	n.list.step()
	for n.applied < len(g.log) && !(s.faults && s.chance(0.3)) {
		g.log[n.applied].apply(n.machine)
		n.applied++
	}
	if s.now < n.next || s.now < n.busyTill {
		return
	}
	n.next = s.now + keepInterval
	n.keep()
}

// keep does what daemon/state does while it leads.
func (n *node) keep() {
	s, g := n.group.sim, n.group
	in := admission.Input{Term: n.leads}
	if n.leads > 0 {
		in.Record = n.machine.Versions()
		in.Current = n.list.known
		for _, version := range n.list.versions {
			in.Listed = append(in.Listed, admission.Version{Service: service, Version: version})
		}
	}
	changes := n.core.Step(time.Duration(float64(s.now)*n.rate), in)
	if len(changes) == 0 {
		return
	}
	g.commands++
	p := &lilacv1.Proposal{
		CommandId: fmt.Sprint("c", g.commands), Who: "lilacbridge", Statement: fmt.Sprint(changes), Changes: changes, Recoveries: n.machine.Recoveries(),
	}
	due := s.now + s.between(0, 100*time.Millisecond)
	if s.often(0.2) {
		due = s.now + s.between(0, 10*time.Second)
	}
	if len(g.pending) > 0 {
		due = max(due, g.pending[len(g.pending)-1].due)
	}
	n.busyTill = min(due, s.now+proposalTimeout) + 1
	if n.leads == g.term {
		g.pending = append(g.pending, pending{due, p})
	}
}
