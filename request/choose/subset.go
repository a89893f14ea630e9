package choose

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultSubsetSize is the number of servers of a pool that an instance uses by default.
const DefaultSubsetSize = 100

// Subset returns the names of at most size servers for the instance, chosen by
// rendezvous hash of instance and server: the selection is stable while other instances
// and servers come and go, and all servers are used about equally often. A size of 0
// or less means DefaultSubsetSize. If all servers fit, it returns servers itself,
// else a sorted copy.
func Subset(instance string, servers []string, size int) []string {
	if size <= 0 {
		size = DefaultSubsetSize
	}
	if len(servers) <= size {
		return servers
	}
	type ranked struct {
		name string
		hash uint64
	}
	all := make([]ranked, len(servers))
	for i, name := range servers {
		all[i] = ranked{name: name, hash: xxhash.Sum64String(instance + "\x00" + name)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	chosen := make([]string, size)
	for i := range chosen {
		chosen[i] = all[i].name
	}
	slices.Sort(chosen)
	return chosen
}
