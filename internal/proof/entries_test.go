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
	entryCount  = 7
	dataCenters = 3
	callWait    = 2 * time.Second
	pollEvery   = 200 * time.Millisecond
	leaseMs     = 3000
	// latestOffer is how late a snapshot may come a second time.
	latestOffer = 10 * time.Second
	// inForce is how soon a change must be in force at every entry.
	inForce = 13 * time.Second
)

// entry is an entry instance: its membership, the revisions that it follows,
// and its hold on the one lease for orders.
type entry struct {
	sim  *sim
	name string
	self member.Peer
	// rate is how fast its clock runs.
	rate        float64
	frozenUntil time.Duration
	members     *member.Core
	follower    *spread.Core
	holder      *config.Follower
	holding     lease.Grant
	busy        map[string]bool
	live        []string
	// life and epoch tell answers to an earlier life or target.
	life, epoch int
	sequence    uint64
	knownAt     time.Duration
	known       uint64
	// plain serves requests; nil in runs without them.
	plain *plain
}

// entries are all entry instances and what was seen of them.
type entries struct {
	sim *sim
	rng *rand.Rand
	all []*entry
	// seen are the digests of the configurations that were in force, by revision.
	seen map[uint64]map[uint64]bool
	// acted is the greatest fencing number that an order was given with, by whom.
	acted   uint64
	holders map[uint64]string
}

func newEntries(s *sim, seed uint64) *entries {
	all := &entries{sim: s, rng: rand.New(rand.NewPCG(seed, 4)), seen: map[uint64]map[uint64]bool{}, holders: map[uint64]string{}}
	for i := range entryCount {
		name := fmt.Sprint("entry-", i)
		e := &entry{sim: s, name: name, self: member.Peer{Name: name, Address: name, DataCenter: fmt.Sprint("dc-", i%dataCenters)}, rate: 0.98 + 0.04*all.rng.Float64()}
		all.all = append(all.all, e)
	}
	for _, e := range all.all {
		e.start(all)
	}
	if !s.profile.cutoffs {
		s.after(2*time.Second, all.faults)
	}
	return all
}

func (e *entry) clock() time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(e.sim.now) * e.rate))
}

func (e *entry) runs() bool { return e.sim.now >= e.frozenUntil }

// start begins a new life with an empty memory.
func (e *entry) start(all *entries) {
	var seeds []member.Peer
	for _, other := range all.all {
		seeds = append(seeds, other.self)
	}
	e.life++
	e.epoch++
	e.members, e.follower, e.holder = member.NewCore(e.self, seeds), spread.NewCore(e.name), config.NewFollower()
	e.holding, e.busy, e.live, e.known, e.knownAt = lease.Grant{}, map[string]bool{}, nil, 0, -time.Hour
	life := e.life
	for _, peer := range seeds {
		if peer.DataCenter == e.self.DataCenter {
			e.live = append(e.live, peer.Name)
		}
	}
	e.sim.after(member.TickInterval, func() { e.tick(all, life) })
	e.sim.after(time.Duration(all.rng.Int64N(int64(time.Second))), func() { e.askLease(all, life) })
}

func (e *entry) tick(all *entries, life int) {
	if e.life != life {
		return
	}
	if e.runs() {
		e.sequence++
		own := &lilacv1.Digest{Instance: e.name, DataCenter: e.self.DataCenter}
		if e.plain != nil {
			own = e.plain.core.Digest(e.clock())
		}
		own.Incarnation, own.Sequence, own.Revision = fmt.Sprint(e.name, "/", life), e.sequence, e.holder.Revision()
		e.step(all, member.Tick{Own: own})
		e.follow(all, spread.Entries{Names: e.live})
		e.follow(all, spread.Tick{})
		e.act(all)
	}
	e.sim.after(member.TickInterval, func() { e.tick(all, life) })
}

// act gives an order, if the lease still holds at this moment.
func (e *entry) act(all *entries) {
	if !e.holding.Valid(e.clock()) {
		return
	}
	number := e.holding.Fencing()
	holder := fmt.Sprint(e.name, "/", e.life)
	v := e.sim.invariants
	v.check(number >= all.acted, "orders come from the newest holder", "%s acts with %d after %d acted", holder, number, all.acted)
	before, seen := all.holders[number]
	v.check(!seen || before == holder, "one holder for each number", "%s and %s hold %d", before, holder, number)
	all.acted, all.holders[number] = max(all.acted, number), holder
}

// reach runs a function at another process after a delay, if the link lets it through.
func (s *sim) reach(rng *rand.Rand, from, to string, run func()) {
	if s.cut[from+">"+to] || rng.Float64() < s.loss {
		return
	}
	wait := time.Millisecond + time.Duration(rng.Int64N(int64(s.slow+5*time.Millisecond)))
	s.after(wait, func() {
		if !s.cut[from+">"+to] {
			run()
		}
	})
}

// reachOnline is reach over a connection that needs both directions: one that is
// cut one way only is given up after a while, by its keep-alive.
func (s *sim) reachOnline(rng *rand.Rand, from, to string, run func()) {
	if s.cutoffs == nil || !s.cutoffs.givenUp(from, to) {
		s.reach(rng, from, to, run)
	}
}

func (all *entries) byName(name string) *entry {
	for _, e := range all.all {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (e *entry) step(all *entries, event member.Event) {
	for _, action := range e.members.Step(e.clock(), event) {
		switch a := action.(type) {
		case member.Exchange:
			e.exchange(all, a)
		case member.PolicyDigest:
			e.tellPlain(policy.PeerDigest{Digest: a.Digest})
		case member.DigestExpired:
			e.tellPlain(policy.PeerGone{Instance: a.Instance})
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

func (e *entry) tellPlain(event policy.Event) {
	if e.plain != nil {
		e.plain.step(event)
	}
}

// exchange carries a digest there and the answer back, one at a time with each peer.
func (e *entry) exchange(all *entries, a member.Exchange) {
	name, life := a.Peer.Name, e.life
	if e.busy[name] {
		return
	}
	e.busy[name] = true
	done := false
	finish := func(event member.Event) {
		if done || e.life != life || !e.runs() {
			return
		}
		done = true
		delete(e.busy, name)
		e.step(all, event)
	}
	digest := proto.CloneOf(a.Digest)
	to := all.byName(name)
	e.sim.reachOnline(all.rng, e.name, name, func() {
		if !to.runs() {
			return
		}
		to.step(all, member.DigestReceived{From: e.name, Digest: digest})
		reply := proto.CloneOf(to.members.Reply(to.clock(), e.name))
		e.sim.reachOnline(all.rng, name, e.name, func() { finish(member.ReplyReceived{Peer: name, Digest: reply}) })
	})
	e.sim.after(callWait, func() {
		delete(e.busy, name)
		finish(member.ExchangeFailed{Peer: name})
	})
}

func (e *entry) follow(all *entries, event spread.Event) {
	for _, follow := range e.follower.Step(e.clock(), event) {
		e.epoch++
		e.sim.note("%s follows %q", e.name, follow.Target.Entry)
		e.poll(all, follow.Target, e.epoch)
	}
}

// source is whom a target means, and what it can give.
type source struct {
	name     string
	runs     func() bool
	since    func(have uint64, limit int) ([]*lilacv1.Revision, bool)
	config   func() *lilacv1.Snapshot
	revision func() uint64
	known    func() (uint64, time.Duration)
}

func (e *entry) source(all *entries, target spread.Target) source {
	if target.IsState() {
		n := e.sim.nodes[(target.StateIndex+int(e.self.DataCenter[3]-'0'))%len(e.sim.nodes)]
		return source{name: n.name, runs: func() bool { return n.runner != nil && e.sim.now >= n.frozenUntil },
			since:  func(have uint64, limit int) ([]*lilacv1.Revision, bool) { return n.machine.Since(have, limit) },
			config: func() *lilacv1.Snapshot { return n.machine.Config() }, revision: func() uint64 { return n.machine.Revision() },
			known: func() (uint64, time.Duration) { return n.machine.Revision(), n.runner.Status().Staleness }}
	}
	other := all.byName(target.Entry)
	return source{name: other.name, runs: other.runs, since: func(have uint64, limit int) ([]*lilacv1.Revision, bool) { return other.holder.Since(have, limit) },
		config: func() *lilacv1.Snapshot { return other.holder.Config() }, revision: func() uint64 { return other.holder.Revision() },
		known: func() (uint64, time.Duration) { return other.known, e.sim.now - other.knownAt }}
}

// poll asks the target for what is newer, again and again; it stands for the
// stream of updates of the product.
func (e *entry) poll(all *entries, target spread.Target, epoch int) {
	from := e.source(all, target)
	answered := false
	valid := func() bool { return e.epoch == epoch && e.runs() }
	have := e.holder.Revision()
	e.sim.reach(all.rng, e.name, from.name, func() {
		if !from.runs() {
			return
		}
		revisions, held := from.since(have, 16)
		var parts []*lilacv1.SnapshotPart
		if !held || have == 0 && from.revision() > 0 {
			parts, _ = spread.Split(proto.CloneOf(from.config()))
			revisions = nil
		}
		newest, age := from.known()
		e.sim.reach(all.rng, from.name, e.name, func() {
			if !valid() || answered {
				return
			}
			answered = true
			e.take(all, revisions, parts)
			if len(parts) > 0 {
				e.offerAgain(all, parts)
			}
			e.known = max(e.known, newest, e.holder.Revision())
			e.knownAt = max(e.knownAt, e.sim.now-age)
			e.follow(all, spread.UpdateReceived{Target: target, Age: age})
			e.sim.after(pollEvery, func() {
				if e.epoch == epoch {
					e.poll(all, target, epoch)
				}
			})
		})
	})
	e.sim.after(callWait, func() {
		if answered || e.epoch != epoch {
			return
		}
		e.epoch++
		if e.runs() {
			e.follow(all, spread.StreamFailed{Target: target})
		}
		// A frozen entry finds its stream broken when it wakes, by the tick.
	})
}

// offerAgain lets a snapshot come a second time, late, as from a slow sender.
func (e *entry) offerAgain(all *entries, parts []*lilacv1.SnapshotPart) {
	life := e.life
	e.sim.after(time.Duration(all.rng.Int64N(int64(latestOffer))), func() {
		if e.life == life && e.runs() {
			e.take(all, nil, parts)
		}
	})
}

func (e *entry) take(all *entries, revisions []*lilacv1.Revision, parts []*lilacv1.SnapshotPart) {
	before := e.holder.Revision()
	var assembly spread.Assembly
	for _, part := range parts {
		if whole, err := assembly.Add(part); err == nil && whole != nil {
			_ = e.holder.Load(whole)
		}
	}
	if len(revisions) > 0 {
		_ = e.holder.Apply(revisions)
	}
	now := e.holder.Revision()
	e.sim.invariants.check(now >= before, "configuration never goes back", "%s went from %d to %d", e.name, before, now)
	if now != before {
		e.sim.note("%s has revision %d", e.name, now)
		if all.seen[now] == nil {
			all.seen[now] = map[uint64]bool{}
		}
		all.seen[now][configDigest(e.holder.Config())] = true
	}
}

func configDigest(s *lilacv1.Snapshot) uint64 {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		panic(err)
	}
	return xxhash.Sum64(b)
}

// askLease asks the leader for the lease, as the product's entries do.
func (e *entry) askLease(all *entries, life int) {
	// At the end of a run nothing more is asked, so that all can come to rest.
	resting := e.sim.healed && e.sim.operators.open == 0
	if e.life != life || resting {
		return
	}
	e.sim.after(500*time.Millisecond+time.Duration(all.rng.Int64N(int64(500*time.Millisecond))), func() { e.askLease(all, life) })
	leader := e.sim.leader()
	if !e.runs() || leader == nil {
		return
	}
	sent := e.clock()
	e.sim.reach(all.rng, e.name, leader.name, func() {
		if leader.runner == nil {
			return
		}
		request := &lilacv1.LeaseRequest{Name: "orders", Holder: e.name, Incarnation: fmt.Sprint(e.name, "/", life), DurationMs: leaseMs}
		leader.leases.SetExpiredRenewal(request)
		ask := command(&lilacv1.Command{Op: &lilacv1.Command_Lease{Lease: request}})
		leader.turn(replica.Request{Event: ask(), Reply: func(o replica.Outcome) {
			if o.Err != nil {
				return
			}
			reply := decode(o.Result).GetLease()
			e.sim.reach(all.rng, leader.name, e.name, func() {
				// A frozen holder reads the answer when it wakes.
				e.sim.after(max(0, e.frozenUntil-e.sim.now), func() {
					if e.life == life {
						e.holding.Update(sent, reply)
						e.act(all)
					}
				})
			})
		}})
	})
}
