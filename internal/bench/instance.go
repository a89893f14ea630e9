package bench

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

// policyFactory creates the policy of one instance.
type policyFactory func(options policy.Options) policy.Core

// instance is an entry instance: it passes events to its policy core and performs
// the actions.
type instance struct {
	world      *world
	name       string
	dataCenter string
	core       policy.Core
	live       map[policy.ID]*call
	jobs       map[policy.ID]*job
	lastDigest map[string]time.Duration
	// pendingMove is the stopped attempt that the next action moves to another engine.
	pendingMove *job
	remote      int
	started     int
	// firstStarts counts first attempts, retries attempts after one that may have run.
	firstStarts, retries int
	// falseNotRun counts refusals with "not run" of calls that did run.
	falseNotRun int
	dead        bool
}

func newInstance(w *world, i int, seed uint64, make policyFactory) *instance {
	in := &instance{world: w, name: instanceName(i), dataCenter: w.fleet.dataCenter(i)}
	in.live, in.jobs, in.lastDigest = map[policy.ID]*call{}, map[policy.ID]*job{}, map[string]time.Duration{}
	in.core = make(policy.Options{Instance: in.name, DataCenter: in.dataCenter, Incarnation: "1", Seed: seed + uint64(i), Weights: w.fleet.weights})
	var others []policy.Instance
	for other := range instanceCount {
		if other != i {
			others = append(others, policy.Instance{Name: instanceName(other), DataCenter: w.fleet.dataCenter(other)})
		}
	}
	in.core.Step(w.clock.time(), policy.Fleet{Others: others})
	return in
}

func (in *instance) step(event policy.Event) {
	if in.dead {
		return
	}
	actions := in.core.Step(in.world.clock.time(), event)
	for i, action := range actions {
		in.perform(action, actions[i+1:])
	}
}

func (in *instance) arrive(k *call) {
	id := policy.ID(k.id)
	in.live[id] = k
	target := in.world.fleet.engines
	if k.class.service {
		target = in.world.fleet.service
	}
	in.world.clock.after(k.class.firstTokenTimeout, func() { in.abandon(k) })
	in.step(policy.Arrival{
		ID: id, Class: k.class.name, Team: teamName(k.team), Target: target, Digest: k.digest,
		PromptTokens: k.prompt, Prefix: k.blocks(), Idempotent: k.idempotent,
	})
}

// abandon ends a call whose caller has received no token within its timeout.
func (in *instance) abandon(k *call) {
	if k.outcome != pending || k.received > 0 {
		return
	}
	in.step(policy.Canceled{ID: policy.ID(k.id)})
	in.end(k, abandoned)
}

func (in *instance) end(k *call, o outcome) {
	k.outcome = o
	k.ended = in.world.clock.now
	delete(in.live, policy.ID(k.id))
	delete(in.jobs, policy.ID(k.id))
	in.world.openCalls--
}

// perform must not call step: the core reuses the slice of actions.
func (in *instance) perform(action policy.Action, rest []policy.Action) {
	switch a := action.(type) {
	case policy.Start:
		in.start(a)
	case policy.Stop:
		in.stop(a, resumesElsewhere(a, rest))
	case policy.Refuse:
		in.refuse(a)
	case policy.Broken:
		if k := in.live[a.ID]; k != nil {
			k.refusal = fault.Name(a.Kind)
			in.end(k, broken)
		}
	case policy.Convict:
		in.world.convict(in, a)
	case policy.Announce:
		in.world.clock.after(0, in.sendDigest)
	}
}

func (in *instance) refuse(a policy.Refuse) {
	k := in.live[a.ID]
	if k == nil {
		return
	}
	if in.world.onRefuse != nil {
		in.world.onRefuse(in, k, a)
	}
	if a.NotRun == lilacv1.NotRun_NOT_RUN_TRUE && k.runs > 0 {
		in.falseNotRun++
	}
	k.refusal = fault.Name(a.Kind)
	in.end(k, refused)
}

func (in *instance) start(a policy.Start) {
	k := in.live[a.ID]
	if k == nil {
		return
	}
	if in.world.onStart != nil {
		in.world.onStart(in, k, a)
	}
	j := &job{call: k, instance: in, attempt: a.Attempt, priority: a.Priority, generated: k.received, startTokens: k.received}
	in.jobs[a.ID] = j
	in.countStart(k, a.Attempt)
	k.lastStart, k.server = in.world.clock.now, a.Server
	b := in.world.backends[a.Server]
	j.at = b
	in.started++
	if b.location() != in.dataCenter {
		in.remote++
	}
	if !in.world.connected(in.dataCenter, b.location()) {
		in.world.clock.after(connectTimeout, func() { in.fail(j, policy.Failed{}) })
		return
	}
	if old := in.pendingMove; a.ResumeFrom != "" && old != nil && old.call == k {
		in.pendingMove = nil
		in.moveKV(old, j, b.(*engine))
		return
	}
	in.send(j, b)
}

// countStart counts attempts as the servers see them, independent of the core's
// own counters.
func (in *instance) countStart(k *call, attempt int) {
	if attempt == 1 {
		in.firstStarts++
		return
	}
	k.restarts++
	if k.mayHaveRun {
		in.retries++
	}
}

func (in *instance) send(j *job, b backend) {
	delay := latency(in.dataCenter, b.location())
	in.world.clock.after(delay, func() { in.reach(j, b, delay) })
}

// reach handles the arrival of an attempt at its server.
func (in *instance) reach(j *job, b backend, delay time.Duration) {
	if j.stopped {
		return
	}
	if b.isDown() {
		in.world.clock.after(delay, func() { in.fail(j, policy.Failed{Crashed: true}) })
		return
	}
	if in.jobs[policy.ID(j.call.id)] == j {
		in.step(policy.Sent{ID: policy.ID(j.call.id), Attempt: j.attempt})
	}
	if !b.accept(j) {
		in.world.clock.after(delay, func() { in.fail(j, policy.Failed{Sent: true, Refused: true, RetryAfter: time.Second}) })
	}
}

func (in *instance) stop(a policy.Stop, move bool) {
	j := in.jobs[a.ID]
	if j == nil || j.attempt != a.Attempt {
		return
	}
	delete(in.jobs, a.ID)
	// Its bytes are on their way since its start.
	in.world.clock.after(0, func() { in.step(policy.Stopped{ID: a.ID, Attempt: a.Attempt, MayHaveRun: true}) })
	if move {
		in.pendingMove = j
		return
	}
	in.cancelAttempt(j)
}

// cancelAttempt tells the server that the attempt is no longer needed.
func (in *instance) cancelAttempt(j *job) {
	location := j.at.location()
	if !in.world.connected(in.dataCenter, location) {
		return
	}
	in.world.clock.after(latency(in.dataCenter, location), func() { j.stopped = true })
}

func (in *instance) fail(j *job, f policy.Failed) {
	id := policy.ID(j.call.id)
	if in.jobs[id] != j {
		return
	}
	delete(in.jobs, id)
	f.ID, f.Attempt = id, j.attempt
	j.call.mayHaveRun = f.Sent && !f.Refused
	in.step(f)
}

func (in *instance) token(j *job, done bool) {
	id := policy.ID(j.call.id)
	if in.jobs[id] != j {
		return
	}
	k := j.call
	now := in.world.clock.now
	if k.received == 0 {
		k.first = now
	}
	k.received++
	k.last = now
	in.step(policy.Tokens{ID: id, Attempt: j.attempt, Count: 1})
	if done && in.jobs[id] == j {
		in.end(k, answered)
		in.step(policy.Finished{ID: id, Attempt: j.attempt})
	}
}

// sendDigest sends a digest to the other instances, and detects instances from
// which none arrived within peerTimeout.
func (in *instance) sendDigest() {
	w := in.world
	if in.dead {
		return
	}
	digest := in.core.Digest(w.clock.time())
	for _, other := range w.instances {
		if other == in {
			continue
		}
		if w.connected(in.dataCenter, other.dataCenter) && w.random.Float64() >= max(digestLoss, w.scenario.digestLoss) {
			late := number.Duration(w.random.Float64() * float64(w.scenario.digestDelay))
			w.clock.after(latency(in.dataCenter, other.dataCenter)+late, func() {
				other.lastDigest[in.name] = w.clock.now
				other.step(policy.PeerDigest{Digest: digest})
			})
		}
		if last, known := in.lastDigest[other.name]; known && w.clock.now-last > peerTimeout {
			delete(in.lastDigest, other.name)
			in.step(policy.PeerGone{Instance: other.name})
		}
	}
}

// kill stops the instance immediately; the connections of its callers break.
func (in *instance) kill() {
	in.dead = true
	for _, j := range in.jobs {
		in.cancelAttempt(j)
	}
	for _, k := range in.world.calls {
		if in.live[policy.ID(k.id)] == k {
			in.end(k, broken)
		}
	}
}

// failPartitioned fails attempts across a partition after silenceTimeout.
func (in *instance) failPartitioned() {
	for _, k := range in.world.calls {
		j := in.jobs[policy.ID(k.id)]
		if j != nil && j.instance == in && !in.world.connected(in.dataCenter, j.at.location()) {
			in.world.clock.after(silenceTimeout, func() { in.fail(j, policy.Failed{Sent: true}) })
		}
	}
}
