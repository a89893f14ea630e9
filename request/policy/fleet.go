package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// missingTTL is how long an instance that is no longer heard from keeps its share of limits: it
	// may still be sending on the other side of a network partition.
	missingTTL = 10 * time.Second
	// lostInstanceTTL is how long an instance that is not heard from keeps its part of the
	// retries: on the other side of a network partition it still uses it.
	lostInstanceTTL = time.Hour
)

// Instance identifies an instance of the fleet.
type Instance struct{ Name, DataCenter string }

// Fleet lists the other live instances.
type Fleet struct{ Others []Instance }

func (Fleet) event() {}

// fleetMember is another instance. missingSince is when it was first missing from a
// Fleet event; zero while it is live.
type fleetMember struct {
	Instance
	missingSince time.Time
}

// fleet is this instance and the other ones that are live or recently missing.
type fleet struct {
	self    Instance
	members map[string]fleetMember
	// lost holds instances that were dropped from members, with the time since which they are
	// missing.
	lost map[string]time.Time
	// position is this instance's position in the order of members and lost ones.
	position int
}

func newFleet(self Instance) fleet {
	return fleet{self: self, members: make(map[string]fleetMember), lost: make(map[string]time.Time)}
}

// update replaces the live instances; those no longer listed become missing.
func (f *fleet) update(now time.Time, others []Instance) {
	for name, m := range f.members {
		if m.missingSince.IsZero() {
			f.members[name] = fleetMember{m.Instance, now}
		}
	}
	for _, other := range others {
		f.members[other.Name] = fleetMember{Instance: other}
		delete(f.lost, other.Name)
	}
	f.updatePosition()
}

// expire removes instances that have been missing for longer than missingTTL from the members,
// and for longer than lostInstanceTTL from the lost ones.
func (f *fleet) expire(now time.Time) {
	for name, m := range f.members {
		if !m.missingSince.IsZero() && now.Sub(m.missingSince) > missingTTL {
			delete(f.members, name)
			f.lost[name] = m.missingSince
		}
	}
	for name, since := range f.lost {
		if now.Sub(since) > lostInstanceTTL {
			delete(f.lost, name)
			f.updatePosition()
		}
	}
}

// size returns the number of instances, this one included, that live or may still live.
func (f *fleet) size() int { return 1 + len(f.members) + len(f.lost) }

// updatePosition sets the position of this instance in the order of all instances by hash.
func (f *fleet) updatePosition() {
	f.position = 0
	self := xxhash.Sum64String(f.self.Name)
	count := func(name string) {
		if hash := xxhash.Sum64String(name); hash < self || hash == self && name < f.self.Name {
			f.position++
		}
	}
	for name := range f.members {
		count(name)
	}
	for name := range f.lost {
		count(name)
	}
}

// sortByHash orders the instances for the named server, in the same way at all of them.
func sortByHash(server string, instances []string) {
	slices.SortFunc(instances, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(server+"/"+a), xxhash.Sum64String(server+"/"+b)), cmp.Compare(a, b))
	})
}

// anyLive reports whether any other instance is live.
func (f *fleet) anyLive() bool {
	for _, m := range f.members {
		if m.missingSince.IsZero() {
			return true
		}
	}
	return false
}

// sample returns up to n other live instances at random.
func (f *fleet) sample(random *rand.Rand, n int) []Instance {
	var live []Instance
	for _, m := range f.members {
		if m.missingSince.IsZero() {
			live = append(live, m.Instance)
		}
	}
	slices.SortFunc(live, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}

// rank returns the position of this instance in the order for the server, and the number of
// instances.
func (f *fleet) rank(s *server) (rank, instances int) {
	all := f.orderFor(s.name)
	return slices.Index(all, f.self.Name), len(all)
}

// first reports whether this instance is the first one in the order for the given key.
func (f *fleet) first(key string) bool { return f.orderFor(key)[0] == f.self.Name }

// orderFor returns the instances in the order for the given key, the same at all of them.
func (f *fleet) orderFor(key string) []string {
	all := []string{f.self.Name}
	for name := range f.members {
		all = append(all, name)
	}
	sortByHash(key, all)
	return all
}
