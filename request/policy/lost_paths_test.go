package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/process/member"
)

// lostPaths makes instances of a replay lose their paths to all engines for a time. Their
// digests pass through the membership of each instance.
type lostPaths struct {
	// cut holds the instances without a path from one time until another.
	cut         map[*core]bool
	from, until time.Time
	// flapping paths are lost in every other second only.
	flapping bool
	// reached is the data centre whose engines stay reachable; empty for none.
	reached string
	members []*member.Core
	// failing holds the attempts whose dial fails at failAt.
	failing []failingDial
	// announced is true if an instance has asked for its digest to be sent at once.
	announced bool
}

type failingDial struct {
	core  *core
	start Start
	at    time.Time
}

// dialTimeout is the time until a dial fails without an answer.
const dialTimeout = 400 * ms

// losePaths cuts the first instances off from all engines.
func (r *replay) losePaths(instances int, from, until time.Duration) {
	l := &lostPaths{cut: make(map[*core]bool), from: epoch.Add(from), until: epoch.Add(until)}
	var peers []member.Peer
	for _, c := range r.cores {
		peers = append(peers, member.Peer{Name: c.options.Instance, Address: c.options.Instance, DataCenter: c.options.DataCenter})
	}
	for i, c := range r.cores {
		l.cut[c] = i < instances
		l.members = append(l.members, member.NewCoreAt(peers[i], peers, digestInterval))
	}
	r.lostPaths = l
}

// lost reports whether the instance has no path to the engine now.
func (l *lostPaths) lost(now time.Time, c *core, engine string) bool {
	if l == nil || !l.cut[c] || now.Before(l.from) || !now.Before(l.until) {
		return false
	}
	if l.flapping && int(now.Sub(l.from)/time.Second)%2 == 1 {
		return false
	}
	return l.reached == "" || c.servers[engine].dataCenter != l.reached
}

// advance fails the dials that are due and sends announced digests.
func (l *lostPaths) advance(r *replay) {
	if l == nil {
		return
	}
	due := l.failing
	l.failing = nil
	for _, f := range due {
		if r.now.Before(f.at) {
			l.failing = append(l.failing, f)
			continue
		}
		r.apply(f.core, f.core.Step(r.now, Failed{ID: f.start.ID, Attempt: f.start.Attempt, Crashed: true}))
	}
	if l.announced {
		l.announced = false
		r.exchangeDigests()
	}
}

// exchange passes all digests through the membership of their receivers.
func (l *lostPaths) exchange(r *replay) {
	for i, c := range r.cores {
		digest := c.Digest(r.now)
		digest.PromiseMs = 1200
		l.deliver(r, i, l.members[i].Step(r.now, member.Tick{Own: digest}))
	}
	for i, from := range r.cores {
		for j := range r.cores {
			if i != j {
				digest := l.members[i].Reply(r.now, r.cores[j].options.Instance)
				l.deliver(r, j, l.members[j].Step(r.now, member.DigestReceived{From: from.options.Instance, Digest: digest}))
			}
		}
	}
}

func (l *lostPaths) deliver(r *replay, to int, actions []member.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case member.PolicyDigest:
			r.apply(r.cores[to], r.cores[to].Step(r.now, PeerDigest{Digest: a.Digest, At: a.At}))
		case member.ServerState:
			r.apply(r.cores[to], r.cores[to].Step(r.now, ServerState{Server: a.Name, Leaving: a.Leaving}))
		}
	}
}

// tallyAt counts the first tries at instances for which include returns true.
func (r *replay) tallyAt(include func(*core) bool, from, to time.Duration) (t tally) {
	for id, outcome := range r.outcomes {
		if !include(r.sentTo[id]) || outcome.arrivedAt.Before(epoch.Add(from)) || !outcome.arrivedAt.Before(epoch.Add(to)) {
			continue
		}
		t.arrived++
		if outcome.firstTokenAt.IsZero() {
			t.unanswered++
		}
	}
	return t
}

// Guards against an instance without a path to any server that makes the instances with a
// path stop using the servers.
func TestLostPathsOfInstancesLeaveServersInUseElsewhere(t *testing.T) {
	for name, run := range map[string]struct {
		cut   int
		shape lostPaths
	}{
		"1 of 8":                {1, lostPaths{}},
		"3 of 8":                {3, lostPaths{}},
		"5 of 8":                {5, lostPaths{}},
		"to other data centres": {3, lostPaths{reached: "a"}},
		"in every other second": {3, lostPaths{flapping: true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newReplay(firstSeed(t)+uint64(run.cut), 8, 3, 64, smallFleetSpeed, smallFleetKinds())
			r.losePaths(run.cut, 3*time.Second, 11*time.Second)
			r.lostPaths.reached, r.lostPaths.flapping = run.shape.reached, run.shape.flapping
			r.run(12*time.Second, steady)
			others := r.tallyAt(func(c *core) bool { return !r.lostPaths.cut[c] }, 5*time.Second, 9*time.Second)
			is.True(others.arrived > 50)
			is.True(others.unanswered <= 10+others.arrived/50)
		})
	}
}
