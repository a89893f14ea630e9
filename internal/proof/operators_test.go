package proof

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/replica"
)

const (
	operatorCount = 4
	maxAttempts   = 8
	answerTimeout = 3 * time.Second
)

// operators issues concurrent statements, claims and reads, and retries those without
// an answer. The recorded history is checked for linearizability at the end.
type operators struct {
	sim         *sim
	logicalTime int64
	serial      int
	history     []porcupine.Operation
	// open is the number of calls in progress.
	open int
	// accepted maps accepted statements to their revisions; refused holds statements
	// of which all attempts were answered with "not run".
	accepted map[string]uint64
	refused  []string
	// runs counts the executions of a claimed request, by key.
	runs        map[string]int
	afterHealed int
}

// observation is the result of a read: the newest revision and its command.
type observation struct {
	revision uint64
	command  string
}

type statement struct {
	command    string
	ifRevision uint64
}

// answer is the outcome of a statement: accepted as revision, a conflict, or unknown.
type answer struct {
	revision uint64
	conflict bool
	unknown  bool
}

func newOperators(s *sim) *operators {
	o := &operators{sim: s, accepted: map[string]uint64{}, runs: map[string]int{}}
	for i := range operatorCount {
		s.after(time.Duration(s.callRNG.Int64N(int64(3*time.Second))), func() { o.next(i, new(uint64)) })
	}
	return o
}

func (o *operators) clock() int64 {
	o.logicalTime++
	return o.logicalTime
}

// next starts the operator's next call unless the run is about to end.
func (o *operators) next(operator int, known *uint64) {
	if o.sim.healed && o.afterHealed > 2*operatorCount {
		return
	}
	next := func() {
		o.open--
		o.sim.after(time.Duration(o.sim.callRNG.Int64N(int64(o.sim.profile.pause))), func() { o.next(operator, known) })
	}
	o.open++
	switch kind := o.sim.callRNG.IntN(4); {
	case kind < o.sim.profile.reads:
		o.read(known, next)
	case kind == o.sim.profile.reads:
		o.claim(operator, next)
	default:
		o.propose(operator, known, next)
	}
}

// call is one command, sent with the same bytes until it is answered.
type call struct {
	operators *operators
	event     func() replica.Event
	attempts  int
	// inDoubt is true once an unanswered attempt may have been executed.
	inDoubt bool
	ended   bool
	end     func(result []byte, err error)
}

func (o *operators) start(event func() replica.Event, end func(result []byte, err error)) {
	c := &call{operators: o, event: event, end: end}
	c.attempt()
}

func (c *call) finish(result []byte, err error) {
	if !c.ended {
		c.ended = true
		c.end(result, err)
	}
}

func (c *call) attempt() {
	s := c.operators.sim
	if c.ended {
		return
	}
	if c.attempts == maxAttempts {
		c.finish(nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "no answer after the last attempt"))
		return
	}
	c.attempts++
	n := s.nodes[s.callRNG.IntN(len(s.nodes))]
	if leader := s.leader(); leader != nil && s.callRNG.IntN(4) > 0 {
		n = leader
	}
	answered := false
	s.after(s.delay(), func() { c.arrive(n, &answered) })
	s.after(answerTimeout, func() {
		if !answered {
			c.inDoubt = true
			c.attempt()
		}
	})
}

func (c *call) arrive(n *node, answered *bool) {
	s := c.operators.sim
	if c.ended {
		return
	}
	if n.runner == nil {
		*answered = true
		s.after(200*time.Millisecond, c.attempt)
		return
	}
	n.process(replica.Request{Event: c.event(), Reply: func(outcome replica.Outcome) {
		if s.callRNG.Float64() < s.loss {
			return // The answer is lost; the caller retries after answerTimeout.
		}
		s.after(s.delay(), func() { c.reply(outcome, answered) })
	}})
}

func (c *call) reply(outcome replica.Outcome, answered *bool) {
	s := c.operators.sim
	if outcome.Err == nil {
		*answered = true
		c.finish(outcome.Result, nil)
		return
	}
	if *answered || c.ended {
		return
	}
	*answered = true
	if fault.NotRunOf(outcome.Err) != lilacv1.NotRun_NOT_RUN_TRUE {
		c.inDoubt = true
	} else if !c.inDoubt && s.callRNG.IntN(6) == 0 {
		c.finish(nil, outcome.Err)
		return
	}
	s.after(time.Duration(s.callRNG.Int64N(int64(500*time.Millisecond))), c.attempt)
}

func command(c *lilacv1.Command) func() replica.Event {
	b, err := proto.Marshal(c)
	if err != nil {
		panic(err)
	}
	return func() replica.Event { return replica.Propose{Command: b} }
}

func decode(b []byte) *lilacv1.CommandResult {
	result := &lilacv1.CommandResult{}
	if err := proto.Unmarshal(b, result); err != nil {
		panic(err)
	}
	return result
}

// propose issues a statement, often conditional on the same revision as another one.
func (o *operators) propose(operator int, known *uint64, next func()) {
	o.serial++
	in := statement{command: fmt.Sprint("command-", o.serial)}
	if o.sim.callRNG.IntN(3) > 0 {
		in.ifRevision = *known
	}
	startedAt := o.clock()
	proposal := proposalOf(in, fmt.Sprint("operator-", operator), o.serial)
	o.start(command(&lilacv1.Command{Op: &lilacv1.Command_Propose{Propose: proposal}}), func(result []byte, err error) {
		defer next()
		switch {
		case err != nil && fault.NotRunOf(err) == lilacv1.NotRun_NOT_RUN_TRUE:
			o.refused = append(o.refused, in.command)
		case err != nil:
			o.history = append(o.history, porcupine.Operation{ClientId: operator, Input: in, Call: startedAt, Output: answer{unknown: true}, Return: 1 << 60})
		default:
			o.recordStatement(operator, in, startedAt, decode(result), known)
		}
	})
}

func proposalOf(in statement, who string, serial int) *lilacv1.Proposal {
	proposal := &lilacv1.Proposal{CommandId: in.command, Who: who, Statement: in.command,
		Changes: []*lilacv1.Change{{Op: &lilacv1.Change_SetTeam{SetTeam: &lilacv1.Team{Name: fmt.Sprint("team-", serial%7), Weight: uint32(serial)}}}}}
	if in.ifRevision > 0 {
		proposal.IfRevision = proto.Uint64(in.ifRevision)
	}
	return proposal
}

func (o *operators) recordStatement(operator int, in statement, startedAt int64, result *lilacv1.CommandResult, known *uint64) {
	out := answer{revision: result.GetPropose().GetRevision()}
	*known = out.revision
	switch result.GetStatus().GetKind() {
	case lilacv1.ErrorKind_ERROR_KIND_UNSPECIFIED:
		o.accepted[in.command] = out.revision
		o.sim.note("accepted %s as %d", in.command, out.revision)
		if o.sim.cutoffs != nil {
			o.sim.cutoffs.revisionAccepted(out.revision)
		}
		if o.sim.healed {
			o.afterHealed++
		}
	case lilacv1.ErrorKind_ERROR_KIND_CONFLICT:
		out.conflict = true
		winner := result.GetPropose().GetWinner()
		o.sim.invariants.check(winner.GetCommandId() != "" && winner.GetCommandId() != in.command, "a conflict names the winner", "%s against %s", in.command, winner)
	default:
		o.sim.invariants.check(false, "statement is accepted or in conflict", "%s", result.GetStatus().GetMessage())
	}
	o.history = append(o.history, porcupine.Operation{ClientId: operator, Input: in, Call: startedAt, Output: out, Return: o.clock()})
}

// read gets the newest revision by a linearizable read.
func (o *operators) read(known *uint64, next func()) {
	startedAt := o.clock()
	target := o.sim.nodes[o.sim.callRNG.IntN(len(o.sim.nodes))]
	if leaders := o.sim.leaders(); len(leaders) > 0 {
		target = leaders[0]
		if o.sim.profile.anyLeader {
			// It may not know yet that another process leads.
			target = leaders[o.sim.callRNG.IntN(len(leaders))]
		}
	}
	done := false
	o.sim.after(answerTimeout, func() {
		if !done {
			done = true
			next()
		}
	})
	o.sim.after(o.sim.delay(), func() {
		target.process(replica.Request{Event: replica.Read{}, Reply: func(outcome replica.Outcome) {
			if outcome.Err != nil {
				return
			}
			value := newest(target)
			o.sim.after(o.sim.delay(), func() {
				if done {
					return
				}
				done = true
				*known = value.revision
				o.history = append(o.history, porcupine.Operation{ClientId: operatorCount, Input: nil, Call: startedAt, Output: value, Return: o.clock()})
				next()
			})
		}})
	})
}

func newest(n *node) observation {
	audit := n.machine.Audit(0, 1)
	if len(audit) == 0 {
		return observation{}
	}
	return observation{revision: audit[0].GetNumber(), command: audit[0].GetCommandId()}
}

// claim claims a key that other operators may claim too, and runs the request if
// granted.
func (o *operators) claim(operator int, next func()) {
	o.serial++
	key := fmt.Sprint("key-", o.serial/3)
	attempt := fmt.Sprint("attempt-", o.serial)
	request := &lilacv1.ClaimRequest{Team: "team", Key: key, Digest: make([]byte, 32), Instance: fmt.Sprint("entry-", operator), Incarnation: fmt.Sprint("incarnation-", operator), Attempt: attempt, NowUnixMs: 1}
	o.start(command(&lilacv1.Command{Op: &lilacv1.Command_Claim{Claim: request}}), func(result []byte, err error) {
		if err != nil || !decode(result).GetClaim().GetGranted() {
			next()
			return
		}
		outcome := lilacv1.ClaimState_CLAIM_STATE_NOT_RUN
		if o.sim.callRNG.IntN(5) > 0 {
			outcome = lilacv1.ClaimState_CLAIM_STATE_RAN
			o.runs[key]++
			o.sim.note("%s ran as %s", key, attempt)
			o.sim.invariants.check(o.runs[key] == 1, "at most once", "%s ran twice", key)
		}
		ended := &lilacv1.OutcomeRequest{Team: "team", Key: key, Attempt: attempt, State: outcome, NowUnixMs: 1}
		o.start(command(&lilacv1.Command{Op: &lilacv1.Command_Outcome{Outcome: ended}}), func([]byte, error) { next() })
	})
}

// model is the sequential specification for the linearizability check: a revision
// that increases by one with each accepted statement.
var model = porcupine.Model{
	Init: func() any { return observation{} },
	Step: func(state, input, output any) (bool, any) {
		now := state.(observation)
		in, isStatement := input.(statement)
		if !isStatement {
			return output.(observation) == now, now
		}
		out := output.(answer)
		free := in.ifRevision == 0 || in.ifRevision == now.revision
		if out.conflict {
			return !free, now
		}
		return free && out.revision == now.revision+1, observation{revision: out.revision, command: in.command}
	},
}

// resolve looks up calls with an unknown outcome in the audit trail. A call that is
// in the trail may have taken effect at any time since its start; one that is not
// had no effect.
func (o *operators) resolve(numbers map[string]uint64) []porcupine.Operation {
	var history []porcupine.Operation
	for _, call := range o.history {
		out, isAnswer := call.Output.(answer)
		if isAnswer && out.unknown {
			number := numbers[call.Input.(statement).command]
			if number == 0 {
				continue
			}
			call.Output = answer{revision: number}
		}
		history = append(history, call)
	}
	return history
}

// verify checks that no accepted statement was lost, no refused statement ran, all
// processes hold the same state, and the history is linearizable.
func (o *operators) verify() {
	v := o.sim.invariants
	first := o.sim.nodes[0]
	revisions, complete := first.machine.Since(0, 1<<20)
	v.check(complete, "the audit trail is complete", "")
	numbers := map[string]uint64{}
	for _, revision := range revisions {
		numbers[revision.GetCommandId()] = revision.GetNumber()
	}
	for _, id := range sortedKeys(o.accepted) {
		v.check(numbers[id] == o.accepted[id], "accepted is never lost", "%s was accepted as %d and is recorded as %d", id, o.accepted[id], numbers[id])
	}
	for _, id := range o.refused {
		v.check(numbers[id] == 0, "not run did not run", "%s is recorded as revision %d", id, numbers[id])
	}
	want, err := first.machine.Snapshot()
	v.check(err == nil, "snapshot", "%v", err)
	for _, n := range o.sim.nodes[1:] {
		got, err := n.machine.Snapshot()
		v.check(err == nil && string(got) == string(want), "all hold the same state", "%s and %s differ", first.name, n.name)
	}
	result := porcupine.CheckOperationsTimeout(model, o.resolve(numbers), 20*time.Second)
	v.check(result == porcupine.Ok, "history is linearizable", "%v over %d calls", result, len(o.history))
}

func sortedKeys(m map[string]uint64) []string {
	var keys []string
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
