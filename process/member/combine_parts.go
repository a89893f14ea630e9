package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Maximum list lengths of the evidence on prompt parts in a combined digest.
const (
	maxPartPools     = 8
	maxPartCrashes   = 32
	maxCrashParts    = 64
	maxAnsweredParts = 64
	maxSuspectParts  = 64
	maxBlockedParts  = 32
)

// poolParts combines the evidence on a pool's prompt parts.
type poolParts struct {
	crashes  map[string]*lilacv1.PartCrash
	answered map[uint64]*lilacv1.AnsweredPart
	blocked  map[uint64]*lilacv1.BlockedPart
	suspects map[uint64]*lilacv1.SuspectPart
}

func newPoolParts() *poolParts {
	return &poolParts{make(map[string]*lilacv1.PartCrash), make(map[uint64]*lilacv1.AnsweredPart), make(map[uint64]*lilacv1.BlockedPart), make(map[uint64]*lilacv1.SuspectPart)}
}

// add adds the evidence of another digest. Counts are summed, since each request is counted by one
// instance only; of answered parts the latest counts, of blocks the earliest.
func (p *poolParts) add(told *lilacv1.PoolParts) {
	for _, c := range told.GetCrashes() {
		known := p.crashes[c.GetServer()]
		parts := slices.Concat(known.GetParts(), c.GetParts())
		slices.Sort(parts)
		p.crashes[c.GetServer()] = &lilacv1.PartCrash{
			Server: c.GetServer(), AgeMs: max(known.GetAgeMs(), c.GetAgeMs()), Requests: known.GetRequests() + c.GetRequests(), Parts: slices.Compact(parts),
		}
	}
	for _, a := range told.GetAnswered() {
		if known := p.answered[a.GetPart()]; known == nil || a.GetAgeMs() < known.GetAgeMs() {
			p.answered[a.GetPart()] = a
		}
	}
	p.addSuspects(told.GetSuspects())
	for _, b := range told.GetBlocked() {
		known := p.blocked[b.GetPart()]
		p.blocked[b.GetPart()] = &lilacv1.BlockedPart{
			Part: b.GetPart(), AgeMs: max(known.GetAgeMs(), b.GetAgeMs()), BlockedMs: max(known.GetBlockedMs(), b.GetBlockedMs()),
		}
	}
}

// addSuspects sums up the use of suspect parts.
func (p *poolParts) addSuspects(suspects []*lilacv1.SuspectPart) {
	for _, s := range suspects {
		known := p.suspects[s.GetPart()]
		p.suspects[s.GetPart()] = &lilacv1.SuspectPart{
			Part: s.GetPart(), Before: known.GetBefore() + s.GetBefore(), BeforeWith: known.GetBeforeWith() + s.GetBeforeWith(), Since: known.GetSince() + s.GetSince(),
			AgeMs: max(known.GetAgeMs(), s.GetAgeMs()),
		}
	}
}

// encodeParts returns the combined evidence of the pools within the bounds of a digest. What is
// newest stays.
func encodeParts(pools map[uint32]*poolParts) []*lilacv1.PoolParts {
	var list []*lilacv1.PoolParts
	for _, key := range slices.Sorted(maps.Keys(pools)) {
		p := pools[key]
		out := &lilacv1.PoolParts{
			Pool:     key,
			Crashes:  newest(maxPartCrashes, sortedValues(p.crashes), (*lilacv1.PartCrash).GetAgeMs),
			Answered: newest(maxAnsweredParts, valuesByKey(p.answered), (*lilacv1.AnsweredPart).GetAgeMs),
			Suspects: p.encodeSuspects(),
			Blocked:  newest(maxBlockedParts, valuesByKey(p.blocked), (*lilacv1.BlockedPart).GetBlockedMs),
		}
		for _, c := range out.Crashes {
			c.Parts = p.mostCrashed(maxCrashParts, c.GetParts())
		}
		list = append(list, out)
	}
	return truncate(maxPartPools, list)
}

// encodeSuspects returns the use of the parts that most crashes have in common.
func (p *poolParts) encodeSuspects() []*lilacv1.SuspectPart {
	var list []*lilacv1.SuspectPart
	for _, part := range p.mostCrashed(maxSuspectParts, slices.Sorted(maps.Keys(p.suspects))) {
		list = append(list, p.suspects[part])
	}
	return list
}

// mostCrashed returns the n parts that most crashes have in common, or all if there are fewer.
func (p *poolParts) mostCrashed(n int, parts []uint64) []uint64 {
	if len(parts) <= n {
		return parts
	}
	crashes := make(map[uint64]int)
	for _, c := range p.crashes {
		for _, part := range c.GetParts() {
			crashes[part]++
		}
	}
	sorted := slices.Clone(parts)
	slices.SortStableFunc(sorted, func(a, b uint64) int { return cmp.Compare(crashes[b], crashes[a]) })
	return sorted[:n]
}

func newest[T any](n int, list []*T, ageMs func(*T) uint32) []*T {
	slices.SortStableFunc(list, func(a, b *T) int { return cmp.Compare(ageMs(a), ageMs(b)) })
	return truncate(n, list)
}

func valuesByKey[T any](items map[uint64]T) []T {
	list := make([]T, 0, len(items))
	for _, key := range slices.Sorted(maps.Keys(items)) {
		list = append(list, items[key])
	}
	return list
}

// agedParts returns the evidence as of now, if it was received the given time ago.
func agedParts(pools []*lilacv1.PoolParts, age time.Duration) []*lilacv1.PoolParts {
	ms := uint32(max(age.Milliseconds(), 0))
	var aged []*lilacv1.PoolParts
	for _, p := range pools {
		out := &lilacv1.PoolParts{Pool: p.GetPool()}
		for _, s := range p.GetSuspects() {
			out.Suspects = append(out.Suspects, &lilacv1.SuspectPart{Part: s.GetPart(), Before: s.GetBefore(), BeforeWith: s.GetBeforeWith(), Since: s.GetSince(), AgeMs: s.GetAgeMs() + ms})
		}
		for _, c := range p.GetCrashes() {
			out.Crashes = append(out.Crashes, &lilacv1.PartCrash{Server: c.GetServer(), AgeMs: c.GetAgeMs() + ms, Requests: c.GetRequests(), Parts: c.GetParts()})
		}
		for _, a := range p.GetAnswered() {
			out.Answered = append(out.Answered, &lilacv1.AnsweredPart{Part: a.GetPart(), AgeMs: a.GetAgeMs() + ms})
		}
		for _, b := range p.GetBlocked() {
			out.Blocked = append(out.Blocked, &lilacv1.BlockedPart{Part: b.GetPart(), AgeMs: b.GetAgeMs() + ms, BlockedMs: b.GetBlockedMs() + ms})
		}
		aged = append(aged, out)
	}
	return aged
}
