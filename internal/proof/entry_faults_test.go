package proof

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/config"
)

// faults freezes and restarts entries and partitions data centres at random.
func (group *entries) faults() {
	s := group.sim
	if s.healed {
		return
	}
	e := group.list[group.rng.IntN(len(group.list))]
	switch group.rng.IntN(4) {
	case 0:
		length := time.Duration(group.rng.Int64N(int64(20 * time.Second)))
		s.note("%s frozen for %s", e.name, length)
		e.frozenUntil = s.now + length
	case 1:
		s.note("%s restarts", e.name)
		e.start(group)
	default:
		group.cutCenter(group.rng.IntN(dataCenters), time.Duration(group.rng.Int64N(int64(15*time.Second))), cutBoth)
	}
	s.after(time.Duration(group.rng.Int64N(int64(8*time.Second))), group.faults)
}

// places returns all processes and backend servers, and the index of the data
// centre of each.
func (group *entries) places() (names []string, where map[string]int) {
	where = map[string]int{}
	put := func(name string, center int) {
		where[name] = center
		names = append(names, name)
	}
	for i, n := range group.sim.nodes {
		put(n.name, i%dataCenters)
	}
	for i, e := range group.list {
		put(e.name, i%dataCenters)
	}
	for i := range dataCenters {
		put(serverName(i), i)
	}
	return names, where
}

// cutCenter cuts off all processes and backend servers of a data centre.
func (group *entries) cutCenter(center int, length time.Duration, mode cutMode) {
	s := group.sim
	s.note("dc-%d cut off, mode %d", center, mode)
	names, where := group.places()
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

// upToDate reports whether all entries have the leader's revision.
func (group *entries) upToDate() bool {
	leader := group.sim.leader()
	if leader == nil {
		return false
	}
	for _, e := range group.list {
		if e.config.Revision() != leader.machine.Revision() {
			return false
		}
	}
	return true
}

// verify rebuilds every revision from the audit trail and compares it with what the
// entries had in force.
func (group *entries) verify() {
	v := group.sim.invariants
	revisions, _ := group.sim.nodes[0].machine.Since(0, 1<<20)
	follower := config.NewFollower()
	for _, revision := range revisions {
		err := follower.Apply([]*lilacv1.Revision{revision})
		v.check(err == nil, "revisions are consecutive", "%v", err)
		want := configDigest(follower.Config())
		for got := range group.seen[revision.GetNumber()] {
			v.check(got == want, "the same configuration everywhere", "revision %d differs at an entry", revision.GetNumber())
		}
		delete(group.seen, revision.GetNumber())
	}
	for number := range group.seen {
		v.check(number == 0, "in force only if accepted", "revision %d was in force and is not in the audit trail", number)
	}
}
