package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

func rank(name string) uint64 { return xxhash.Sum64String(name) }

// CompareRank orders names by a hash, so that all instances agree on the order
// without a message and no name is always first.
func CompareRank(a, b string) int {
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
}

// Above returns the names of a rank above self, best rank first, each once.
func HigherRanked(self string, names []string) []string {
	var above []string
	for _, name := range names {
		if name != self && CompareRank(name, self) < 0 {
			above = append(above, name)
		}
	}
	slices.SortFunc(above, CompareRank)
	return slices.Compact(above)
}

// Position returns how many of the names rank above self.
func Position(self string, names []string) int { return len(HigherRanked(self, names)) }

// Parent returns the place above one's own in a tree of the given fanout, where
// above holds the usable names of a better rank, best first; "" at the root.
//
// A parent always has a better rank than its child, so that no cycle forms
// while instances disagree about who lives.
func Parent(above []string, fanout int) string {
	if len(above) == 0 {
		return ""
	}
	return above[(len(above)-1)/fanout]
}
