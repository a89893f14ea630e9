package proof

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/config"
)

// faults freezes and restarts entries, and cuts data centres off.
func (all *entries) faults() {
	s := all.sim
	if s.healed {
		return
	}
	e := all.all[all.rng.IntN(len(all.all))]
	switch all.rng.IntN(4) {
	case 0:
		length := time.Duration(all.rng.Int64N(int64(20 * time.Second)))
		s.note("%s frozen for %s", e.name, length)
		e.frozenUntil = s.now + length
	case 1:
		s.note("%s starts again", e.name)
		e.start(all)
	default:
		all.cutCenter(all.rng.IntN(dataCenters), time.Duration(all.rng.Int64N(int64(15*time.Second))), cutBoth)
	}
	s.after(time.Duration(all.rng.Int64N(int64(8*time.Second))), all.faults)
}

// places returns who stands where, state processes and backend servers included.
func (all *entries) places() (names []string, where map[string]int) {
	where = map[string]int{}
	put := func(name string, center int) {
		where[name] = center
		names = append(names, name)
	}
	for i, n := range all.sim.nodes {
		put(n.name, i%dataCenters)
	}
	for i, e := range all.all {
		put(e.name, i%dataCenters)
	}
	for i := range dataCenters {
		put(serverName(i), i)
	}
	return names, where
}

// cutCenter cuts a data centre off, all that stands there included.
func (all *entries) cutCenter(center int, length time.Duration, mode cutMode) {
	s := all.sim
	s.note("dc-%d cut off, mode %d", center, mode)
	names, where := all.places()
	var links []string
	for _, a := range names {
		for _, b := range names {
			if where[a] != center || where[b] == center {
				continue
			}
			if mode != cutIn {
				links = append(links, a+">"+b)
			}
			if mode != cutOut {
				links = append(links, b+">"+a)
			}
		}
	}
	for _, link := range links {
		s.cut[link] = true
	}
	s.after(length, func() {
		for _, link := range links {
			delete(s.cut, link)
		}
	})
}

// upToDate tells whether all entries hold the newest revision.
func (all *entries) upToDate() bool {
	leader := all.sim.leader()
	if leader == nil {
		return false
	}
	for _, e := range all.all {
		if e.holder.Revision() != leader.machine.Revision() {
			return false
		}
	}
	return true
}

// verify makes every revision anew from the audit trail and compares what the
// entries had in force.
func (all *entries) verify() {
	v := all.sim.invariants
	revisions, _ := all.sim.nodes[0].machine.Since(0, 1<<20)
	holder := config.NewFollower()
	for _, revision := range revisions {
		err := holder.Apply([]*lilacv1.Revision{revision})
		v.check(err == nil, "revisions follow each other", "%v", err)
		want := configDigest(holder.Config())
		for got := range all.seen[revision.GetNumber()] {
			v.check(got == want, "the same configuration everywhere", "revision %d differs at an entry", revision.GetNumber())
		}
		delete(all.seen, revision.GetNumber())
	}
	for number := range all.seen {
		v.check(number == 0, "in force only if accepted", "revision %d was in force and is not in the audit trail", number)
	}
}
