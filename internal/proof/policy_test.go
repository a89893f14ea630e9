package proof

import (
	"fmt"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/request/policy"
	versionmodel "github.com/lilacbridge/lilacbridge/version/model"
)

const (
	// policyTick is longer than policy.TickInterval to reduce the number of events.
	policyTick   = 50 * time.Millisecond
	requestPause = 2400 * time.Millisecond
	answerTokens = 8
	// The time between two tokens of a server with n running requests is
	// (n + stepBase) * stepPerRequest.
	stepPerRequest, stepBase = 6 * time.Millisecond, 4
	serverSlots              = 6
	burstSize                = 8
	// loadPollInterval is the interval at which an entry polls each server's load.
	loadPollInterval = 500 * time.Millisecond
	// dialTimeout bounds the attempt to open a connection.
	dialTimeout = 2 * time.Second
	// cutDetectionBound is the time within which an entry detects a full cut.
	cutDetectionBound = 2500 * time.Millisecond
	// decisionBound bounds the time to start an idempotent request while its own
	// data centre has free slots. The requests of other entries there are known from
	// their digests, which are up to a second old.
	decisionBound = 2 * time.Second
	// localAnswerBound bounds the time to a complete answer from the own data centre,
	// remoteAnswerBound that of a request sent over a link before it was cut.
	localAnswerBound, remoteAnswerBound = 8 * time.Second, 25 * time.Second
	// retransmitInterval is the interval at which a connection retransmits lost
	// data; keepAliveTimeout is when it is closed.
	retransmitInterval, keepAliveTimeout = 300 * time.Millisecond, 11 * time.Second
)

func serverName(center int) string { return fmt.Sprint("engine-", center) }

// policySim is the part of an entry that serves idempotent requests: the production
// policy over one simulated backend server in each data centre.
type policySim struct {
	cuts   *cutoffs
	sim    *sim
	entry  *entry
	core   policy.Core
	serial policy.ID
	open   map[policy.ID]*idempotentRequest
}

type idempotentRequest struct {
	id        policy.ID
	startedAt time.Duration
	attempt   int
	server    string
	received  int
	// remote is true once it was sent to another data centre.
	remote bool
	// cut is the cut that the entry had detected at the arrival, 0 for none.
	cut int
}

func newPolicySim(c *cutoffs, e *entry, seed uint64) *policySim {
	weights := settings.Policy{AttainmentWeight: 1, WasteWeight: 0.2, RetryShare: 0.1}
	weights.RemoteCost.Duration = 50 * time.Millisecond
	p := &policySim{cuts: c, sim: c.sim, entry: e, open: map[policy.ID]*idempotentRequest{}}
	p.core = policy.New(policy.Options{Instance: e.name, DataCenter: e.self.DataCenter, Incarnation: e.name + "/1", Seed: seed, Weights: weights})
	e.policySim = p
	return p
}

func policyView() *versionmodel.View {
	snapshot := &lilacv1.Snapshot{Revision: 1,
		Classes: []*lilacv1.Class{{Name: "alerts", FirstTokenMs: 420, BetweenTokensMs: 100, SharePermille: 100}},
		Teams:   []*lilacv1.Team{{Name: "team", Weight: 1}}}
	for i := range dataCenters {
		snapshot.Servers = append(snapshot.Servers, &lilacv1.Server{Name: serverName(i), DataCenter: fmt.Sprint("dc-", i),
			Kind: lilacv1.ServerKind_SERVER_KIND_ENGINE, Serves: []string{"redaction"}, Slots: serverSlots})
	}
	return versionmodel.NewView(snapshot)
}

func (p *policySim) startLoad() {
	p.step(policy.Configured{View: policyView()})
	p.sim.after(p.cuts.between(0, policyTick), p.tick)
	p.sim.after(time.Second+p.cuts.between(0, requestPause), p.next)
	p.sim.after(p.cuts.between(0, loadPollInterval), p.poll)
}

// poll requests the number of running requests from each server. Without it, lost
// answers to other entries would occupy slots of a server that is cut off in one
// direction.
func (p *policySim) poll() {
	if p.cuts.stopped() {
		return
	}
	for i := range dataCenters {
		name := serverName(i)
		p.sim.transmit(p.cuts.rng, p.entry.name, name, func() {
			running, at := p.cuts.runningRequests[name], p.sim.now
			p.sim.transmit(p.cuts.rng, name, p.entry.name, func() {
				p.step(policy.LoadReport{Server: name, Running: running, Age: p.sim.now - at})
			})
		})
	}
	p.sim.after(loadPollInterval, p.poll)
}

func (p *policySim) tick() {
	if p.sim.healed && len(p.open) == 0 {
		return
	}
	p.step(policy.Tick{})
	p.sim.after(policyTick, p.tick)
}

func (p *policySim) next() {
	if p.cuts.stopped() {
		return
	}
	count := 1
	if p.cuts.rng.IntN(20) == 0 {
		count = burstSize
	}
	for range count {
		p.arrive()
	}
	p.sim.after(p.cuts.between(0, requestPause), p.next)
}

func (p *policySim) step(event policy.Event) {
	for _, action := range p.core.Step(p.entry.clock(), event) {
		switch a := action.(type) {
		case policy.Start:
			p.start(a)
		case policy.Stop:
			if r := p.open[a.ID]; r != nil && r.attempt == a.Attempt {
				r.server = ""
			}
		case policy.Refuse:
			p.finish(a.ID, "refused: "+a.Message)
		case policy.Broken:
			p.finish(a.ID, "broken: "+a.Message)
		}
	}
}

func (p *policySim) arrive() {
	p.serial++
	r := &idempotentRequest{id: p.serial, startedAt: p.sim.now}
	if p.cuts.mode == cutBoth && p.sim.now-p.cuts.cutAt > cutDetectionBound {
		r.cut = p.cuts.activeCut(p.entry)
	}
	p.open[r.id] = r
	v := p.sim.invariants
	free := p.hasFreeSlot()
	p.sim.after(decisionBound, func() {
		v.check(!free || r.cut == 0 || r.attempt > 0 || p.cuts.activeCut(p.entry) != r.cut, "idempotent requests are decided at once", "%s lets %d of %s wait", p.entry.name, r.id, r.startedAt)
	})
	p.checkAnsweredBy(r, localAnswerBound, func() bool { return r.remote })
	p.checkAnsweredBy(r, remoteAnswerBound, func() bool { return false })
	p.step(policy.Arrival{ID: r.id, Class: "alerts", Team: "team", Target: "redaction", Digest: fmt.Sprint(p.entry.name, r.id), PromptTokens: 50, MaxTokens: 2 * answerTokens, Idempotent: true})
}

// checkAnsweredBy checks that the complete answer arrives within bound, unless late
// returns true.
func (p *policySim) checkAnsweredBy(r *idempotentRequest, bound time.Duration, late func() bool) {
	p.sim.after(bound, func() {
		p.sim.invariants.check(p.open[r.id] != r || late(), "idempotent requests are answered in time",
			"%s: %d of %s has %d tokens, at %q, attempt %d", p.entry.name, r.id, r.startedAt, r.received, r.server, r.attempt)
	})
}

// hasFreeSlot reports whether the server of the own data centre can take one more
// request.
func (p *policySim) hasFreeSlot() bool {
	count := 0
	for _, e := range p.cuts.entries.list {
		if e.center() == p.entry.center() {
			count += len(e.policySim.open)
		}
	}
	return count <= serverSlots/2
}

// start sends the request. On an open connection, a cut loses data silently; a new
// connection fails with a timeout.
func (p *policySim) start(a policy.Start) {
	r, s := p.open[a.ID], p.sim
	if r == nil {
		return
	}
	r.attempt, r.server = a.Attempt, a.Server
	s.note("%s starts %d on %s, attempt %d, after %s", p.entry.name, a.ID, a.Server, a.Attempt, s.now-r.startedAt)
	own := a.Server == serverName(p.entry.center())
	r.remote = r.remote || !own
	s.invariants.check(own || r.cut == 0 || p.cuts.activeCut(p.entry) != r.cut, "no start out of reach", "%s starts %d on %s", p.entry.name, a.ID, a.Server)
	if p.cuts.connectionClosed(p.entry.name, a.Server) {
		s.after(dialTimeout, func() { p.failed(r, policy.Failed{ID: a.ID, Attempt: a.Attempt}) })
		return
	}
	s.after(0, func() { p.step(policy.Sent{ID: a.ID, Attempt: a.Attempt}) })
	p.sendOnConnection(r, a, p.entry.name, a.Server, func() {
		p.cuts.runningRequests[a.Server]++
		gap := time.Duration(p.cuts.runningRequests[a.Server]+stepBase) * stepPerRequest
		s.after(time.Duration(answerTokens-r.received)*gap, func() { p.cuts.runningRequests[a.Server]-- })
		for i := 1; i <= answerTokens-r.received; i++ {
			s.after(time.Duration(i)*gap, func() { p.sendOnConnection(r, a, a.Server, p.entry.name, func() { p.tokenReceived(r, a) }) })
		}
	})
}

// sendOnConnection sends over the attempt's connection, which retransmits data lost
// by a cut until it is closed.
func (p *policySim) sendOnConnection(r *idempotentRequest, a policy.Start, from, to string, run func()) {
	startedAt := p.sim.now
	var try func()
	try = func() {
		switch {
		case p.open[r.id] != r || r.attempt != a.Attempt || r.server == "":
		case p.sim.now-startedAt > keepAliveTimeout:
			p.failed(r, policy.Failed{ID: a.ID, Attempt: a.Attempt, Sent: true})
		case p.sim.cut[from+">"+to] || p.sim.cut[to+">"+from]:
			p.sim.after(retransmitInterval, try)
		default:
			p.sim.transmit(p.cuts.rng, from, to, run)
		}
	}
	try()
}

func (p *policySim) failed(r *idempotentRequest, f policy.Failed) {
	if p.open[r.id] == r && r.attempt == f.Attempt && r.server != "" {
		p.step(f)
	}
}

// tokenReceived handles one token of the answer.
func (p *policySim) tokenReceived(r *idempotentRequest, a policy.Start) {
	if p.open[r.id] != r || r.attempt != a.Attempt || r.server == "" {
		return
	}
	r.received++
	p.step(policy.Tokens{ID: r.id, Attempt: a.Attempt, Count: 1})
	if r.received == answerTokens {
		p.finish(r.id, "")
		p.step(policy.Finished{ID: r.id, Attempt: a.Attempt})
	}
}

func (p *policySim) finish(id policy.ID, problem string) {
	r := p.open[id]
	p.sim.note("%s ends %d after %s", p.entry.name, id, p.sim.now-r.startedAt)
	p.sim.invariants.check(problem == "" || r.remote, "idempotent requests are answered", "%s: %d %s", p.entry.name, id, problem)
	delete(p.open, id)
}
