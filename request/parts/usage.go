package parts

import "time"

const (
	// usagePeriod is the time that each of two generations of the usage covers.
	usagePeriod = time.Minute
	// maxUsedParts bounds the parts of a generation; the next one begins when it is reached.
	maxUsedParts = 8192
)

// partUse is how often a part that is suspected was in answers that got past their start.
type partUse struct {
	// before counts the answers until the first crash that counts against the part, beforeWith those
	// of them with the part, since those since, none of them with the part.
	before, beforeWith, since int
	// first is the time of that crash.
	first time.Time
}

// answeredMargin is how much later than the last answer with a part the crash must be from which
// another instance counts answers without it: ages are short by the time that digests are in
// transit.
const answeredMargin = 500 * time.Millisecond

// ownUse returns the use of the part at this instance; first is the first crash that counts against
// it.
func (t *Table) ownUse(part uint64, first *crash) partUse {
	since := max(t.usage.passed-first.passedBefore, 0)
	return partUse{max(t.usage.all()-since, 0), t.usage.answers(part), since, first.at}
}

// useOf returns the use of the part at all instances, as far as known. An instance that doesn't know
// of the last answer with the part counts from an earlier crash; as those that had an answer with it
// no longer count, the sum would be biased.
func (t *Table) useOf(part uint64, first *crash) partUse {
	use := t.ownUse(part, first)
	for _, told := range t.told[part] {
		use.before += told.before
		use.beforeWith += told.beforeWith
		if told.first.After(t.answeredAt(part).Add(answeredMargin)) {
			use.since += told.since
		}
	}
	return use
}

// forgetUses drops what was told of parts that no crash counts against any more.
func (t *Table) forgetUses() {
	for part := range t.told {
		if len(t.crashesOf(part)) == 0 {
			delete(t.told, part)
		}
	}
}

// use is the use of a part in answers that got past their start.
type use struct {
	answers   int
	lastStart time.Time
}

// usage counts in how many answers of this instance that got past their start each part was, in
// the last one or two periods.
type usage struct {
	current, previous generation
	// passed counts all answers that got past their start since the process began.
	passed int
}

type generation struct {
	began   time.Time
	answers int
	parts   map[uint64]use
}

func newUsage() usage {
	return usage{current: generation{parts: make(map[uint64]use)}}
}

func (u *usage) record(now, started time.Time, parts []uint64) {
	if now.Sub(u.current.began) > usagePeriod || len(u.current.parts)+len(parts) > maxUsedParts {
		u.previous = u.current
		u.current = generation{began: now, parts: make(map[uint64]use)}
	}
	u.passed++
	u.current.answers++
	for _, part := range parts[:min(len(parts), maxUsedParts)] {
		known := u.current.parts[part]
		u.current.parts[part] = use{known.answers + 1, later(known.lastStart, started)}
	}
}

func (u *usage) lastStart(part uint64) time.Time {
	return later(u.current.parts[part].lastStart, u.previous.parts[part].lastStart)
}

// answers returns the number of answers whose prompts had the part.
func (u *usage) answers(part uint64) int {
	return u.current.parts[part].answers + u.previous.parts[part].answers
}

// all returns the number of all answers of the same time.
func (u *usage) all() int { return u.current.answers + u.previous.answers }
