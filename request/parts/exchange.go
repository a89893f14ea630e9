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
	maxExportedCrashes  = 16
	maxExportedParts    = 64
	maxExportedAnswered = 64
	maxExportedBlocks   = 32
)

// Export returns what the other instances need to know of the pool with the given key, or nil.
func (t *Table) Export(now time.Time, pool uint32) *lilacv1.PoolParts {
	answered, complete := t.exportAnswered(now)
	out := &lilacv1.PoolParts{Pool: pool, Answered: answered}
	for _, c := range slices.Backward(t.crashes) {
		if now.Sub(c.at) > exportFor || len(out.Crashes) == maxExportedCrashes {
			continue
		}
		told := &lilacv1.PartCrash{Server: c.server, AgeMs: ageMs(now, c.at)}
		if c.own {
			told.Requests, told.Parts = uint32(c.requests[own]), t.exportParts(c)
		}
		if complete {
			told.Answers = uint32(t.answersSince(c))
		}
		out.Crashes = append(out.Crashes, told)
	}
	for _, b := range slices.Backward(t.Blocks()) {
		if len(out.Blocked) < maxExportedBlocks {
			out.Blocked = append(out.Blocked, &lilacv1.BlockedPart{Part: b.Part, AgeMs: ageMs(now, b.Since), BlockedMs: ageMs(now, b.At), Trials: uint32(b.Trials)})
		}
	}
	if len(out.Crashes) == 0 && len(out.Answered) == 0 && len(out.Blocked) == 0 {
		return nil
	}
	return out
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
// and those whose block an answer refuted, the latest first. It reports whether these are all.
func (t *Table) exportAnswered(now time.Time) (answered []*lilacv1.AnsweredPart, complete bool) {
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
	for _, part := range list[:min(len(list), maxExportedAnswered)] {
		answered = append(answered, &lilacv1.AnsweredPart{Part: part, AgeMs: ageMs(now, latest[part])})
	}
	return answered, len(list) <= maxExportedAnswered
}

// answersSince returns the number of this instance's answers since it knew of the crash.
func (t *Table) answersSince(c *crash) int { return max(t.usage.passed-c.passedBefore, 0) }

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
		c := t.crash(crashed.GetServer(), atAge(now, crashed.GetAgeMs()), running)
		c.requests[from] = max(c.requests[from], int(crashed.GetRequests()))
		c.answers[from] = max(c.answers[from], int(crashed.GetAnswers()))
		t.addParts(c, crashed.GetParts())
	}
	for _, b := range told.GetBlocked() {
		if added := t.mergeBlock(now, b); added != nil {
			blocked = append(blocked, added)
		}
	}
	return blocked, lifted
}

// mergeBlock adopts a block unless an answer with the part is known that refutes it.
func (t *Table) mergeBlock(now time.Time, told *lilacv1.BlockedPart) *Block {
	part, since := told.GetPart(), atAge(now, told.GetAgeMs())
	if b := t.blocked[part]; b != nil {
		b.Trials = max(b.Trials, min(int(told.GetTrials()), len(trialTimes)))
		return nil
	}
	if t.answeredAt(part).After(since) {
		return nil
	}
	return t.block(&Block{Part: part, At: atAge(now, told.GetBlockedMs()), Since: since, Trials: min(int(told.GetTrials()), len(trialTimes))})
}
