package proof

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/stateclient"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/replica"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

const (
	// callBound bounds each claim and statement, whichever links are cut.
	callBound = 5 * time.Second
	// noQuorumBound bounds those that start within noQuorumMemory after a refusal
	// without a quorum: one round over the processes, which leader hints from other
	// calls may prolong.
	noQuorumBound, noQuorumMemory = 2500 * time.Millisecond, 1900 * time.Millisecond
	// silentRetryInterval is the time after an unanswered attempt in which no call
	// tries that state process again; then one call at a time does. It allows for
	// clock drift.
	silentRetryInterval = 1900 * time.Millisecond
	// localReplyBound bounds the answer of the state process in the own data centre
	// once it has detected a cut, which takes it up to cutNoticeBound.
	localReplyBound, cutNoticeBound = 500 * time.Millisecond, 4 * time.Second
	callPause                       = 1500 * time.Millisecond
)

// caller is the part of an entry that issues claims and statements for its clients.
type caller struct {
	cuts  *cutoffs
	sim   *sim
	entry *entry
	core  *stateclient.Core
	calls uint64
	// noQuorumAt is when a call last failed without a quorum; silentSince is when a
	// state process last gave no answer, by address.
	noQuorumAt  time.Duration
	silentSince map[string]time.Duration
	// probing marks silent processes that a call is retrying.
	probing map[string]bool
}

func newCaller(c *cutoffs, e *entry) *caller {
	var peers []settings.Peer
	for i, n := range c.sim.nodes {
		peers = append(peers, settings.Peer{Name: n.name, DataCenter: fmt.Sprint("dc-", i%dataCenters), Address: settings.Address{Value: n.name}})
	}
	return &caller{cuts: c, sim: c.sim, entry: e, core: stateclient.NewCore(e.self.DataCenter, peers), noQuorumAt: -time.Hour, silentSince: map[string]time.Duration{}, probing: map[string]bool{}}
}

func (k *caller) start() {
	k.sim.after(k.cuts.between(callersStart, callersStart+callPause), k.next)
}

// next starts a call; several calls may be open at a time.
func (k *caller) next() {
	if k.cuts.stopped() {
		return
	}
	switch k.cuts.rng.IntN(4) {
	case 0:
		k.propose()
	case 1:
		k.claimEnded()
	default:
		k.claim()
	}
	k.sim.after(k.cuts.between(0, callPause), k.next)
}

// stateCall is one call to the state processes.
type stateCall struct {
	caller    *caller
	number    uint64
	command   *lilacv1.Command
	startedAt time.Duration
	// inDoubt is true once an attempt had no answer or an unknown outcome.
	inDoubt bool
	result  *lilacv1.CommandResult
	end     func(result *lilacv1.CommandResult, err error)
}

func (k *caller) call(command *lilacv1.Command, end func(result *lilacv1.CommandResult, err error)) {
	k.calls++
	c := &stateCall{caller: k, number: k.calls, command: command, startedAt: k.sim.now, end: end}
	bound := callBound
	if k.sim.now-k.noQuorumAt < noQuorumMemory {
		bound = noQuorumBound
	}
	ended := false
	c.end = func(result *lilacv1.CommandResult, err error) {
		ended = true
		end(result, err)
	}
	k.sim.operators.open++
	k.sim.after(bound, func() {
		k.sim.invariants.check(ended, "claims and statements end in time", "%s waits for more than %s since %s", k.entry.name, bound, c.startedAt)
	})
	c.perform(k.core.Step(k.entry.clock(), stateclient.CallStarted{Call: c.number}))
}

func (c *stateCall) perform(action stateclient.Action) {
	k := c.caller
	switch a := action.(type) {
	case stateclient.Attempt:
		c.attempt(a)
	case stateclient.Pause:
		k.sim.after(a.For, func() { c.perform(k.core.Step(k.entry.clock(), stateclient.PauseDone{Call: c.number})) })
	case stateclient.CallDone:
		k.sim.operators.open--
		c.ended(a.Err)
	}
}

func (c *stateCall) ended(err error) {
	k := c.caller
	switch {
	case err == nil && !stateclient.FromAnyReplica(c.result.GetClaim()):
		k.noQuorumAt = -time.Hour
	case fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM):
		k.noQuorumAt = k.sim.now
		sure := fault.NotRunOf(err) == lilacv1.NotRun_NOT_RUN_TRUE
		k.sim.invariants.check(sure != c.inDoubt, "refused is told not run unless in doubt", "%s: %v", k.entry.name, err)
	}
	c.end(c.result, err)
}

// attempt sends the call to one state process and passes the answer, or a timeout, to
// the client core.
func (c *stateCall) attempt(a stateclient.Attempt) {
	k, s := c.caller, c.caller.sim
	since, down := k.silentSince[a.Address]
	passed := s.now-since >= silentRetryInterval && !k.probing[a.Address]
	s.invariants.check(!down || passed, "one call is held up by a silent process", "%s tries %s %s after it gave no answer", k.entry.name, a.Address, s.now-since)
	k.probing[a.Address] = down
	startedAt, cut, done := s.now, k.cuts.activeCut(k.entry), false
	finish := func(result *lilacv1.CommandResult, err error) {
		if done {
			return
		}
		done = true
		if down {
			k.probing[a.Address] = false
		}
		if fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_TIMEOUT) {
			k.silentSince[a.Address] = s.now
		} else {
			delete(k.silentSince, a.Address)
		}
		c.inDoubt = c.inDoubt || err != nil && fault.NotRunOf(err) != lilacv1.NotRun_NOT_RUN_TRUE
		c.result = result
		s.note("%s call %d tried %s since %s: %v", k.entry.name, c.number, a.Address, startedAt, err)
		c.perform(k.core.Step(k.entry.clock(), stateclient.AttemptDone{Call: c.number, Err: err, FromAnyReplica: err == nil && stateclient.FromAnyReplica(result.GetClaim())}))
	}
	n := s.byName(a.Address)
	s.transmit(k.cuts.rng, k.entry.name, n.name, func() {
		n.serve(c.command, func(result *lilacv1.CommandResult, err error) {
			s.transmit(k.cuts.rng, n.name, k.entry.name, func() { finish(result, err) })
		})
	})
	if n == k.entry.ownState() && cut != 0 && s.now-k.cuts.cutAt > cutNoticeBound && !k.cuts.wasDown(n) {
		s.after(localReplyBound, func() {
			s.invariants.check(done || k.cuts.activeCut(k.entry) != cut || k.cuts.wasDown(n), "the own state process answers at once", "%s has no answer since %s", k.entry.name, startedAt)
		})
	}
	s.after(a.Timeout, func() { finish(nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_TIMEOUT, "no answer in time")) })
}

// serve answers a command as the service of a state process does.
func (n *node) serve(c *lilacv1.Command, reply func(*lilacv1.CommandResult, error)) {
	if claim := c.GetClaim(); claim != nil && n.answers() {
		if answer, final := n.machine.FinalReply(claim); final {
			reply(&lilacv1.CommandResult{Reply: &lilacv1.CommandResult_Claim{Claim: answer}}, nil)
			return
		}
	}
	n.process(replica.Request{Event: command(c)(), Reply: func(o replica.Outcome) {
		if o.Err != nil {
			reply(nil, o.Err)
			return
		}
		result := decode(o.Result)
		reply(result, fault.FromStatus(result.GetStatus()))
	}})
}

func (k *caller) claimOf(key, attempt string) *lilacv1.ClaimRequest {
	return &lilacv1.ClaimRequest{Team: "team", Key: key, Digest: make([]byte, 32), Instance: "front-" + k.entry.name, Incarnation: k.entry.name + "/1", Attempt: attempt, NowUnixMs: 1}
}

// claim claims a key that entries of other data centres may claim too, as when a
// client retries a request elsewhere.
func (k *caller) claim() {
	c := k.cuts
	c.serial++
	key, attempt := fmt.Sprint("order-", c.serial/4), fmt.Sprint("attempt-", c.serial)
	cut := c.activeCut(k.entry)
	request := k.claimOf(key, attempt)
	k.call(&lilacv1.Command{Op: &lilacv1.Command_Claim{Claim: request}}, func(result *lilacv1.CommandResult, err error) {
		if err != nil {
			// The request is not sent. A claim that may have been granted is released.
			if fault.NotRunOf(err) != lilacv1.NotRun_NOT_RUN_TRUE {
				k.outcome(key, attempt, lilacv1.ClaimState_CLAIM_STATE_NOT_RUN)
			}
			return
		}
		if !result.GetClaim().GetGranted() {
			return
		}
		v := k.sim.invariants
		v.check(cut == 0 || c.activeCut(k.entry) != cut, "no grant without a quorum", "%s was granted %s", k.entry.name, key)
		runs := k.sim.operators.runs
		runs[key]++
		k.sim.note("%s ran as %s at %s", key, attempt, k.entry.name)
		v.check(runs[key] == 1, "at most once", "%s ran twice", key)
		k.outcome(key, attempt, lilacv1.ClaimState_CLAIM_STATE_RAN)
	})
}

// outcome reports the outcome of a claim, and retries until the ledger has it.
func (k *caller) outcome(key, attempt string, state lilacv1.ClaimState) {
	o := &lilacv1.OutcomeRequest{Team: "team", Key: key, Attempt: attempt, State: state, NowUnixMs: 1}
	k.call(&lilacv1.Command{Op: &lilacv1.Command_Outcome{Outcome: o}}, func(_ *lilacv1.CommandResult, err error) {
		switch {
		case fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM):
			k.sim.operators.open++
			k.sim.after(time.Second, func() {
				k.sim.operators.open--
				k.outcome(key, attempt, state)
			})
		case err == nil && state == lilacv1.ClaimState_CLAIM_STATE_RAN:
			k.cuts.endedKeys = append(k.cuts.endedKeys, endedKey{key: key, index: k.sim.lastApplied()})
		}
	})
}

// endedKey is a request whose outcome the ledger has confirmed at index or earlier.
type endedKey struct {
	key   string
	index uint64
}

// lastApplied returns the highest index that a state process has applied.
func (s *sim) lastApplied() uint64 {
	last := uint64(0)
	for _, n := range s.nodes {
		if n.runner != nil {
			last = max(last, n.runner.Status().AppliedIndex)
		}
	}
	return last
}

// claimEnded claims the key of a finished request again. It must be answered if the
// state process of the own data centre knows the outcome.
func (k *caller) claimEnded() {
	c := k.cuts
	if len(c.endedKeys) == 0 {
		return
	}
	ended := c.endedKeys[c.rng.IntN(len(c.endedKeys))]
	key, request := ended.key, k.claimOf(ended.key, c.nextName("again"))
	own := k.entry.ownState()
	known := !c.isIsolated(k.entry) && !c.wasDown(own) && !k.skips(own) && own.runner.Status().AppliedIndex >= ended.index
	// Another process may know an outcome that the own one does not know yet.
	k.call(&lilacv1.Command{Op: &lilacv1.Command_Claim{Claim: request}}, func(result *lilacv1.CommandResult, err error) {
		answered := err == nil && result.GetClaim().GetState() == lilacv1.ClaimState_CLAIM_STATE_RAN && !result.GetClaim().GetGranted()
		known = known && !c.isIsolated(k.entry) && !c.wasDown(own) && !k.skips(own)
		k.sim.invariants.check(answered || !known && err != nil, "an ended key is answered", "%s asks for %s: %v, %v", k.entry.name, key, result, err)
	})
}

// skips reports whether the entry avoids the state process because of a recent
// attempt without an answer. A leader with one frozen voter, while the other voter
// catches up after a cut, does not answer requests that need the log; it is then not
// asked for known outcomes either.
func (k *caller) skips(n *node) bool {
	since, silentSince := k.silentSince[n.name]
	return silentSince && (k.probing[n.name] || k.sim.now-since < silentRetryInterval+localReplyBound)
}

// propose issues a statement; operators checks its outcome.
func (k *caller) propose() {
	o, cut := k.sim.operators, k.cuts.activeCut(k.entry)
	in := statement{command: k.cuts.nextName(k.entry.name)}
	startedAt, known, operator := o.clock(), new(uint64), operatorCount+1+int(k.entry.name[6]-'0')
	proposal := proposalOf(in, k.entry.name, k.cuts.serial)
	k.call(&lilacv1.Command{Op: &lilacv1.Command_Propose{Propose: proposal}}, func(result *lilacv1.CommandResult, err error) {
		switch {
		case err == nil:
			k.sim.invariants.check(cut == 0 || k.cuts.activeCut(k.entry) != cut, "nothing accepted without a quorum", "%s: %s", k.entry.name, in.command)
			o.recordStatement(operator, in, startedAt, result, known)
		case fault.NotRunOf(err) == lilacv1.NotRun_NOT_RUN_TRUE:
			o.refused = append(o.refused, in.command)
		default:
			o.history = append(o.history, porcupine.Operation{ClientId: operator, Input: in, Call: startedAt, Output: answer{unknown: true}, Return: 1 << 60})
		}
	})
}
