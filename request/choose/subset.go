package choose

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultSubsetSize is how many servers of a pool an instance uses if its settings don't say.
const DefaultSubsetSize = 100

// Subset returns the servers that an instance uses, by rendezvous hash of
// instance and server: each instance gets its own, they stay the same while
// others come and go, and all servers are used about equally often.
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
