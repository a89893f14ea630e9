package member

import (
	"cmp"
	"maps"
	"slices"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	// Maximum list lengths in a combined digest.
	maxCutoffs  = 64
	maxSpends   = 8
	maxSuspects = 16
	maxEjected  = 32
	maxLeaving  = 32
)

// Combine merges digests into one. Every rule is commutative and associative, so a
// tree of combinations gives the same result as a single one.
//
// For cutoffs, the result holds the most urgent held-back tier and the least urgent
// admitted tier, never an average: while one instance still admits a lower tier, no
// other may shed a higher one. Spends are summed and the largest are kept. Loads
// are omitted: they are exchanged directly between instances, because seconds-old
// loads would route requests away from their home servers. The result is valid for
// the shortest validity of its parts, and is incomplete if any part is.
func Combine(instance, dataCenter string, all ...*lilacv1.Digest) *lilacv1.Digest {
	out := &lilacv1.Digest{Instance: instance, DataCenter: dataCenter}
	cutoffs := make(map[string]*lilacv1.PoolCutoff)
	spends := make(map[string]uint64)
	suspects := make(map[string]*lilacv1.Suspect)
	parts := make(map[uint32]*poolParts)
	ejected, leaving := make(map[string]struct{}), make(map[string]struct{})
	for _, d := range all {
		if d == nil {
			continue
		}
		if out.Revision == 0 || d.GetRevision() != 0 && d.GetRevision() < out.Revision {
			out.Revision = d.GetRevision()
		}
		out.BindsMs = shortestValidity(out.GetBindsMs(), d.GetBindsMs())
		out.Incomplete = out.GetIncomplete() || d.GetIncomplete()
		for _, cutoff := range d.GetCutoffs() {
			cutoffs[cutoff.GetPool()] = combineCutoffs(cutoffs[cutoff.GetPool()], cutoff)
		}
		for _, spend := range d.GetSpends() {
			spends[spend.GetTeam()] += spend.GetTokens()
		}
		for _, suspect := range d.GetSuspects() {
			suspects[suspect.GetDigest()] = combineSuspects(suspects[suspect.GetDigest()], suspect)
		}
		for _, pool := range d.GetParts() {
			if parts[pool.GetPool()] == nil {
				parts[pool.GetPool()] = newPoolParts()
			}
			parts[pool.GetPool()].add(pool)
		}
		for _, server := range d.GetEjected() {
			ejected[server] = struct{}{}
		}
		for _, server := range d.GetLeavingServers() {
			leaving[server] = struct{}{}
		}
	}
	out.Cutoffs = truncate(maxCutoffs, sortedValues(cutoffs))
	out.Spends = topSpends(spends)
	out.Suspects = truncate(maxSuspects, sortedValues(suspects))
	out.Parts = encodeParts(parts)
	out.Ejected = truncate(maxEjected, slices.Sorted(maps.Keys(ejected)))
	out.LeavingServers = truncate(maxLeaving, slices.Sorted(maps.Keys(leaving)))
	return out
}

// combineCutoffs merges two cutoffs. Tiers are encoded plus one with 0 for none; a
// smaller tier is more urgent.
func combineCutoffs(a, b *lilacv1.PoolCutoff) *lilacv1.PoolCutoff {
	if a == nil {
		return b
	}
	return &lilacv1.PoolCutoff{
		Pool:         a.GetPool(),
		HeldBackTier: mostUrgent(a.GetHeldBackTier(), b.GetHeldBackTier()),
		AdmittedTier: max(a.GetAdmittedTier(), b.GetAdmittedTier()),
		WaitingTier:  max(a.GetWaitingTier(), b.GetWaitingTier()),
	}
}

// mostUrgent returns the smaller tier, where 0 means none.
func mostUrgent(a, b uint32) uint32 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

func shortestValidity(a, b uint32) uint32 { return mostUrgent(a, b) }

func combineSuspects(a, b *lilacv1.Suspect) *lilacv1.Suspect {
	if a == nil {
		return b
	}
	servers := slices.Concat(a.GetServers(), b.GetServers())
	slices.Sort(servers)
	return &lilacv1.Suspect{Digest: a.GetDigest(), Team: a.GetTeam(), Servers: slices.Compact(servers)}
}

func topSpends(spends map[string]uint64) []*lilacv1.TeamSpend {
	list := make([]*lilacv1.TeamSpend, 0, len(spends))
	for team, tokens := range spends {
		list = append(list, &lilacv1.TeamSpend{Team: team, Tokens: tokens})
	}
	slices.SortFunc(list, func(a, b *lilacv1.TeamSpend) int {
		return cmp.Or(cmp.Compare(b.GetTokens(), a.GetTokens()), cmp.Compare(a.GetTeam(), b.GetTeam()))
	})
	return truncate(maxSpends, list)
}

func sortedValues[T any](items map[string]T) []T {
	list := make([]T, 0, len(items))
	for _, key := range slices.Sorted(maps.Keys(items)) {
		list = append(list, items[key])
	}
	return list
}

func truncate[T any](n int, list []T) []T { return list[:min(n, len(list))] }
