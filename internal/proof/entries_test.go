package proof

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/lease"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/replica"
	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/version/config"
	"github.com/lilacbridge/lilacbridge/version/spread"
)

const (
	entryCount        = 7
	dataCenters       = 3
	entryCallTimeout  = 2 * time.Second
	entryPollInterval = 200 * time.Millisecond
	leaseMs           = 3000
	// maxRedeliveryDelay bounds the delay of a duplicate snapshot.
	maxRedeliveryDelay = 10 * time.Second
	// inForceBound is the time within which a change must be in force at every entry.
	inForceBound = 13 * time.Second
)

// entry is an entry instance: its membership, its configuration, and its grant of
// the lease for orders.
type entry struct {
	sim  *sim
	name string
	self member.Peer
	// rate is the speed of its clock relative to simulated time.
	rate        float64
	frozenUntil time.Duration
	members     *member.Core
	updates     *spread.Core
	config      *config.Follower
	grant       lease.Grant
	busy        map[string]bool
	live        []string
	// incarnation and targetEpoch identify responses to an earlier incarnation or
	// target.
	incarnation, targetEpoch int
	sequence                 uint64
	knownAt                  time.Duration
	known                    uint64
	// policySim serves requests; nil in runs without them.
	policySim *policySim
}

// entries holds all entry instances and what has been observed of them.
type entries struct {
	sim  *sim
	rng  *rand.Rand
	list []*entry
	// seen holds the digests of the configurations that were in force, by revision.
	seen map[uint64]map[uint64]bool
	// maxFencing is the greatest fencing number of an order; leaseHolders maps
	// fencing numbers to their holders.
	maxFencing   uint64
	leaseHolders map[uint64]string
}

func newEntries(s *sim, seed uint64) *entries {
	group := &entries{sim: s, rng: rand.New(rand.NewPCG(seed, 4)), seen: map[uint64]map[uint64]bool{}, leaseHolders: map[uint64]string{}}
	for i := range entryCount {
		name := fmt.Sprint("entry-", i)
		e := &entry{sim: s, name: name, self: member.Peer{Name: name, Address: name, DataCenter: fmt.Sprint("dc-", i%dataCenters)}, rate: 0.98 + 0.04*group.rng.Float64()}
		group.list = append(group.list, e)
	}
	for _, e := range group.list {
		e.start(group)
	}
	if !s.profile.cutoffs {
		s.after(2*time.Second, group.faults)
	}
	return group
}

func (e *entry) clock() time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(e.sim.now) * e.rate))
}

func (e *entry) running() bool { return e.sim.now >= e.frozenUntil }

// start begins a new incarnation without any state.
func (e *entry) start(group *entries) {
	var seeds []member.Peer
	for _, other := range group.list {
		seeds = append(seeds, other.self)
	}
	e.incarnation++
	e.targetEpoch++
	e.members, e.updates, e.config = member.NewCore(e.self, seeds), spread.NewCore(e.name), config.NewFollower()
	e.grant, e.busy, e.live, e.known, e.knownAt = lease.Grant{}, map[string]bool{}, nil, 0, -time.Hour
	incarnation := e.incarnation
	for _, peer := range seeds {
		if peer.DataCenter == e.self.DataCenter {
			e.live = append(e.live, peer.Name)
		}
	}
	e.sim.after(member.TickInterval, func() { e.tick(group, incarnation) })
	e.sim.after(time.Duration(group.rng.Int64N(int64(time.Second))), func() { e.askLease(group, incarnation) })
}

func (e *entry) tick(group *entries, incarnation int) {
	if e.incarnation != incarnation {
		return
	}
	if e.running() {
		e.sequence++
		own := &lilacv1.Digest{Instance: e.name, DataCenter: e.self.DataCenter}
		if e.policySim != nil {
			own = e.policySim.core.Digest(e.clock())
		}
		own.Incarnation, own.Sequence, own.Revision = fmt.Sprint(e.name, "/", incarnation), e.sequence, e.config.Revision()
		e.step(group, member.Tick{Own: own})
		e.follow(group, spread.Entries{Names: e.live})
		e.follow(group, spread.Tick{})
		e.giveOrder(group)
	}
	e.sim.after(member.TickInterval, func() { e.tick(group, incarnation) })
}

// giveOrder gives an order if the lease is still valid.
func (e *entry) giveOrder(group *entries) {
	if !e.grant.Valid(e.clock()) {
		return
	}
	number := e.grant.Fencing()
	holder := fmt.Sprint(e.name, "/", e.incarnation)
	v := e.sim.invariants
	v.check(number >= group.maxFencing, "orders come from the newest lease holder", "%s gives an order with %d after one with %d", holder, number, group.maxFencing)
	before, seen := group.leaseHolders[number]
	v.check(!seen || before == holder, "one lease holder per fencing number", "%s and %s hold %d", before, holder, number)
	group.maxFencing, group.leaseHolders[number] = max(group.maxFencing, number), holder
}

// transmit runs a function at another process after a delay unless the message is lost.
func (s *sim) transmit(rng *rand.Rand, from, to string, run func()) {
	if s.cut[from+">"+to] || rng.Float64() < s.loss {
		return
	}
	wait := time.Millisecond + time.Duration(rng.Int64N(int64(s.maxDelay+5*time.Millisecond)))
	s.after(wait, func() {
		if !s.cut[from+">"+to] {
			run()
		}
	})
}

// transmitOnConnection is transmit over a connection that needs both directions. The
// keep-alive closes a connection that is cut in one direction.
func (s *sim) transmitOnConnection(rng *rand.Rand, from, to string, run func()) {
	if s.cutoffs == nil || !s.cutoffs.connectionClosed(from, to) {
		s.transmit(rng, from, to, run)
	}
}

func (group *entries) byName(name string) *entry {
	for _, e := range group.list {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (e *entry) step(group *entries, event member.Event) {
	for _, action := range e.members.Step(e.clock(), event) {
		switch a := action.(type) {
		case member.Exchange:
			e.exchange(group, a)
		case member.PolicyDigest:
			e.notifyPolicy(policy.PeerDigest{Digest: a.Digest})
		case member.DigestExpired:
			e.notifyPolicy(policy.PeerGone{Instance: a.Instance})
		case member.LivePeers:
			e.live = nil
			for _, peer := range a.Peers {
				if peer.DataCenter == e.self.DataCenter {
					e.live = append(e.live, peer.Name)
				}
			}
		}
	}
}

func (e *entry) notifyPolicy(event policy.Event) {
	if e.policySim != nil {
		e.policySim.step(event)
	}
}

// exchange sends a digest to a peer and takes its reply. There is at most one
// exchange with a peer at a time.
func (e *entry) exchange(group *entries, a member.Exchange) {
	name, incarnation := a.Peer.Name, e.incarnation
	if e.busy[name] {
		return
	}
	e.busy[name] = true
	done := false
	finish := func(event member.Event) {
		if done || e.incarnation != incarnation || !e.running() {
			return
		}
		done = true
		delete(e.busy, name)
		e.step(group, event)
	}
	digest := proto.CloneOf(a.Digest)
	to := group.byName(name)
	e.sim.transmitOnConnection(group.rng, e.name, name, func() {
		if !to.running() {
			return
		}
		to.step(group, member.DigestReceived{From: e.name, Digest: digest})
		reply := proto.CloneOf(to.members.Reply(to.clock(), e.name))
		e.sim.transmitOnConnection(group.rng, name, e.name, func() { finish(member.ReplyReceived{Peer: name, Digest: reply}) })
	})
	e.sim.after(entryCallTimeout, func() {
		delete(e.busy, name)
		finish(member.ExchangeFailed{Peer: name})
	})
}

func (e *entry) follow(group *entries, event spread.Event) {
	for _, follow := range e.updates.Step(e.clock(), event) {
		e.targetEpoch++
		e.sim.note("%s follows %q", e.name, follow.Target.Entry)
		e.poll(group, follow.Target, e.targetEpoch)
	}
}

// source is the process that a target denotes, and its configuration.
type source struct {
	name     string
	running  func() bool
	since    func(have uint64, limit int) ([]*lilacv1.Revision, bool)
	config   func() *lilacv1.Snapshot
	revision func() uint64
	known    func() (uint64, time.Duration)
}

func (e *entry) source(group *entries, target spread.Target) source {
	if target.IsState() {
		n := e.sim.nodes[(target.StateIndex+int(e.self.DataCenter[3]-'0'))%len(e.sim.nodes)]
		return source{name: n.name, running: func() bool { return n.runner != nil && e.sim.now >= n.frozenUntil },
			since:  func(have uint64, limit int) ([]*lilacv1.Revision, bool) { return n.machine.Since(have, limit) },
			config: func() *lilacv1.Snapshot { return n.machine.Config() }, revision: func() uint64 { return n.machine.Revision() },
			known: func() (uint64, time.Duration) { return n.machine.Revision(), n.runner.Status().Staleness }}
	}
	other := group.byName(target.Entry)
	return source{name: other.name, running: other.running, since: func(have uint64, limit int) ([]*lilacv1.Revision, bool) { return other.config.Since(have, limit) },
		config: func() *lilacv1.Snapshot { return other.config.Config() }, revision: func() uint64 { return other.config.Revision() },
		known: func() (uint64, time.Duration) { return other.known, e.sim.now - other.knownAt }}
}

// poll requests newer revisions from the target at intervals; it replaces the update
// stream of the production code.
func (e *entry) poll(group *entries, target spread.Target, epoch int) {
	from := e.source(group, target)
	answered := false
	valid := func() bool { return e.targetEpoch == epoch && e.running() }
	have := e.config.Revision()
	e.sim.transmit(group.rng, e.name, from.name, func() {
		if !from.running() {
			return
		}
		revisions, held := from.since(have, 16)
		var parts []*lilacv1.SnapshotPart
		if !held || have == 0 && from.revision() > 0 {
			parts, _ = spread.Split(proto.CloneOf(from.config()))
			revisions = nil
		}
		newest, age := from.known()
		e.sim.transmit(group.rng, from.name, e.name, func() {
			if !valid() || answered {
				return
			}
			answered = true
			e.take(group, revisions, parts)
			if len(parts) > 0 {
				e.redeliverSnapshot(group, parts)
			}
			e.known = max(e.known, newest, e.config.Revision())
			e.knownAt = max(e.knownAt, e.sim.now-age)
			e.follow(group, spread.UpdateReceived{Target: target, Age: age})
			e.sim.after(entryPollInterval, func() {
				if e.targetEpoch == epoch {
					e.poll(group, target, epoch)
				}
			})
		})
	})
	e.sim.after(entryCallTimeout, func() {
		if answered || e.targetEpoch != epoch {
			return
		}
		e.targetEpoch++
		if e.running() {
			e.follow(group, spread.StreamFailed{Target: target})
		}
		// A frozen entry detects the broken stream on a tick after it resumes.
	})
}

// redeliverSnapshot delivers a duplicate of a snapshot late, as from a slow sender.
func (e *entry) redeliverSnapshot(group *entries, parts []*lilacv1.SnapshotPart) {
	incarnation := e.incarnation
	e.sim.after(time.Duration(group.rng.Int64N(int64(maxRedeliveryDelay))), func() {
		if e.incarnation == incarnation && e.running() {
			e.take(group, nil, parts)
		}
	})
}

func (e *entry) take(group *entries, revisions []*lilacv1.Revision, parts []*lilacv1.SnapshotPart) {
	before := e.config.Revision()
	var assembly spread.Assembly
	for _, part := range parts {
		if snapshot, err := assembly.Add(part); err == nil && snapshot != nil {
			_ = e.config.Load(snapshot)
		}
	}
	if len(revisions) > 0 {
		_ = e.config.Apply(revisions)
	}
	now := e.config.Revision()
	e.sim.invariants.check(now >= before, "configuration never goes back", "%s went from %d to %d", e.name, before, now)
	if now != before {
		e.sim.note("%s has revision %d", e.name, now)
		if group.seen[now] == nil {
			group.seen[now] = map[uint64]bool{}
		}
		group.seen[now][configDigest(e.config.Config())] = true
	}
}

func configDigest(s *lilacv1.Snapshot) uint64 {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		panic(err)
	}
	return xxhash.Sum64(b)
}

// askLease requests the lease from the leader, as production entries do.
func (e *entry) askLease(group *entries, incarnation int) {
	// No more requests at the end of a run, so that it can settle.
	resting := e.sim.healed && e.sim.operators.open == 0
	if e.incarnation != incarnation || resting {
		return
	}
	e.sim.after(500*time.Millisecond+time.Duration(group.rng.Int64N(int64(500*time.Millisecond))), func() { e.askLease(group, incarnation) })
	leader := e.sim.leader()
	if !e.running() || leader == nil {
		return
	}
	sent := e.clock()
	e.sim.transmit(group.rng, e.name, leader.name, func() {
		if leader.runner == nil {
			return
		}
		request := &lilacv1.LeaseRequest{Name: "orders", Holder: e.name, Incarnation: fmt.Sprint(e.name, "/", incarnation), DurationMs: leaseMs}
		leader.leases.SetExpiredRenewal(request)
		ask := command(&lilacv1.Command{Op: &lilacv1.Command_Lease{Lease: request}})
		leader.process(replica.Request{Event: ask(), Reply: func(o replica.Outcome) {
			if o.Err != nil {
				return
			}
			reply := decode(o.Result).GetLease()
			e.sim.transmit(group.rng, leader.name, e.name, func() {
				// A frozen holder reads the reply when it resumes.
				e.sim.after(max(0, e.frozenUntil-e.sim.now), func() {
					if e.incarnation == incarnation {
						e.grant.Update(sent, reply)
						e.giveOrder(group)
					}
				})
			})
		}})
	})
}
