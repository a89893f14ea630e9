package parts

import (
	"cmp"
	"maps"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Bounds on what an instance tells the others of one pool.
const (
	// exportFor is how long crashes are told after they were noticed.
	exportFor           = 20 * time.Second
	maxExportedCrashes  = 32
	maxExportedParts    = 32
	maxExportedAnswered = 64
	maxExportedSuspects = 64
	maxExportedBlocks   = 32
)

// Export returns what the other instances need to know of the pool with the given key, or nil.
func (t *Table) Export(now time.Time, pool uint32) *lilacv1.PoolParts {
	out := &lilacv1.PoolParts{Pool: pool, Answered: t.exportAnswered(now), Suspects: t.exportSuspects(now)}
	for _, c := range t.recentCrashes(now) {
		out.Crashes = append(out.Crashes, &lilacv1.PartCrash{
			Server: c.server, AgeMs: ageMs(now, c.at), Requests: uint32(c.requests[own]), Parts: t.exportParts(c),
		})
	}
	for _, b := range slices.Backward(t.Blocks()) {
		if len(out.Blocked) < maxExportedBlocks {
			out.Blocked = append(out.Blocked, &lilacv1.BlockedPart{Part: b.Part, AgeMs: ageMs(now, b.Since), BlockedMs: ageMs(now, b.At)})
		}
	}
	if len(out.Crashes)+len(out.Answered)+len(out.Blocked)+len(out.Suspects) == 0 {
		return nil
	}
	return out
}

// recentCrashes returns the crashes in which this instance lost requests, the latest first.
func (t *Table) recentCrashes(now time.Time) []*crash {
	var recent []*crash
	for _, c := range slices.Backward(t.crashes) {
		if c.own && now.Sub(c.at) <= exportFor && len(recent) < maxExportedCrashes {
			recent = append(recent, c)
		}
	}
	return recent
}

// exportSuspects returns the parts of recent crashes that no answer of any instance had since, with
// their use at this instance.
func (t *Table) exportSuspects(now time.Time) []*lilacv1.SuspectPart {
	seen := make(map[uint64]bool)
	var list []uint64
	for _, c := range t.crashes {
		if now.Sub(c.at) > exportFor {
			continue
		}
		for part := range c.parts {
			if !seen[part] && c.at.After(t.answeredAt(part)) {
				seen[part] = true
				list = append(list, part)
			}
		}
	}
	var suspects []*lilacv1.SuspectPart
	list = t.mostSuspect(list)
	for _, part := range list[:min(len(list), maxExportedSuspects)] {
		use := t.ownUse(part, t.crashesOf(part)[0])
		suspects = append(suspects, &lilacv1.SuspectPart{Part: part, Before: uint32(use.before), BeforeWith: uint32(use.beforeWith), Since: uint32(use.since), AgeMs: ageMs(now, use.first)})
	}
	return suspects
}

// exportParts returns the parts for which the crash still counts.
func (t *Table) exportParts(c *crash) []uint64 {
	var list []uint64
	for _, part := range slices.Sorted(maps.Keys(c.parts)) {
		if c.at.After(t.answeredAt(part)) {
			list = append(list, part)
		}
	}
	if len(list) > maxExportedParts {
		list = t.mostSuspect(list)[:maxExportedParts]
	}
	return list
}

// exportAnswered returns the parts of recent crashes that were in answers of this instance since,
// and those whose block an answer refuted, the latest first.
func (t *Table) exportAnswered(now time.Time) []*lilacv1.AnsweredPart {
	latest := make(map[uint64]time.Time)
	for _, c := range t.crashes {
		if now.Sub(c.at) > exportFor {
			continue
		}
		for part := range c.parts {
			if at := t.usage.lastStart(part); at.After(c.at) {
				latest[part] = at
			}
		}
	}
	for part, at := range t.refuted {
		if now.Sub(at) <= exportFor {
			latest[part] = t.answeredAt(part)
		}
	}
	list := slices.SortedFunc(maps.Keys(latest), func(a, b uint64) int {
		return cmp.Or(latest[b].Compare(latest[a]), cmp.Compare(a, b))
	})
	var answered []*lilacv1.AnsweredPart
	for _, part := range list[:min(len(list), maxExportedAnswered)] {
		answered = append(answered, &lilacv1.AnsweredPart{Part: part, AgeMs: ageMs(now, latest[part])})
	}
	return answered
}

func ageMs(now, at time.Time) uint32 { return uint32(max(now.Sub(at).Milliseconds(), 0)) }

func atAge(now time.Time, ms uint32) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// Merge merges what another instance, or several together, told. It returns the parts that are
// blocked and those that are no longer blocked from now on. running is the number of this
// instance's requests in the pool that are not past their start.
func (t *Table) Merge(now time.Time, from string, told *lilacv1.PoolParts, running int) (blocked, lifted []*Block) {
	for _, answered := range told.GetAnswered() {
		part, at := answered.GetPart(), atAge(now, answered.GetAgeMs())
		t.answered[part] = later(t.answered[part], at)
		if b := t.blocked[part]; b != nil && at.After(b.Since) {
			delete(t.blocked, part)
			lifted = append(lifted, b)
		}
	}
	for _, crashed := range told.GetCrashes() {
		c := t.crashAt(crashed.GetServer(), atAge(now, crashed.GetAgeMs()), running)
		c.requests[from] = max(c.requests[from], int(crashed.GetRequests()))
		t.addParts(c, crashed.GetParts())
	}
	for _, suspect := range told.GetSuspects() {
		t.mergeUse(now, from, suspect)
	}
	for _, b := range told.GetBlocked() {
		if added := t.mergeBlock(now, b); added != nil {
			blocked = append(blocked, added)
		}
	}
	return blocked, lifted
}

// mergeUse records the use of a part at other instances.
func (t *Table) mergeUse(now time.Time, from string, told *lilacv1.SuspectPart) {
	uses := t.told[told.GetPart()]
	if uses == nil {
		if len(t.told) >= maxTold {
			return
		}
		uses = make(map[string]partUse)
		t.told[told.GetPart()] = uses
	}
	uses[from] = partUse{int(told.GetBefore()), int(told.GetBeforeWith()), int(told.GetSince()), atAge(now, told.GetAgeMs())}
}

// mergeBlock adopts a block unless an answer with the part is known that refutes it.
func (t *Table) mergeBlock(now time.Time, told *lilacv1.BlockedPart) *Block {
	part, since := told.GetPart(), atAge(now, told.GetAgeMs())
	if t.blocked[part] != nil || t.answeredAt(part).After(since) {
		return nil
	}
	return t.block(&Block{Part: part, At: atAge(now, told.GetBlockedMs()), Since: since})
}
