package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

func rank(name string) uint64 { return xxhash.Sum64String(name) }

// CompareRank orders names by hash, so that all instances agree on the order
// without communication and no name pattern is favoured.
func CompareRank(a, b string) int {
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
}

// HigherRanked returns the names that rank above self, best rank first, without
// duplicates.
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

// Position returns the number of names that rank above self.
func Position(self string, names []string) int { return len(HigherRanked(self, names)) }

// Parent returns the parent in a tree of the given fanout, or "" at the root. above
// holds the usable names that rank above the node, best first.
//
// A parent always ranks above its child, so no cycle forms while instances disagree
// about which peers are alive.
func Parent(above []string, fanout int) string {
	if len(above) == 0 {
		return ""
	}
	return above[(len(above)-1)/fanout]
}
