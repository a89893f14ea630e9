// Package parts finds parts of prompts that crash the backend servers of a pool.
//
// A server that crashes takes many requests with it, most of them sound. What tells a crashing
// part from a sound one is that no answer to a prompt with it gets past its start any more. A
// Table adds up, over all instances, on which crashed servers a part was in a request that was
// not past its start; an answer that got past it, from an attempt begun after a crash, clears
// its parts of that crash. A part is blocked once it is improbable that a sound part would have
// met so many crashes and no answer.
package parts

import (
	"cmp"
	"slices"
	"time"
)

const (
	// retention is how long crashes count.
	retention = 10 * time.Minute
	// sameCrash is how far apart the reports of one crash of a server may be.
	sameCrash = 3 * time.Second
	// aliveAfter is how long after a crash an older attempt must go on for the server to count as
	// alive: what it sent before it crashed may still be on its way.
	aliveAfter = 500 * time.Millisecond

	maxCrashes       = 64
	maxPartsPerCrash = 64
	maxAnswered      = 4096
	maxTold          = 4096
	// maxBlocked bounds the blocked parts; the one blocked first makes room.
	maxBlocked = 256
)

// crash is a crash of a server that took requests with it which were not past their start.
type crash struct {
	server string
	// at is when the first instance noticed it, as far as known.
	at time.Time
	// own is true if this instance lost a request with the server.
	own   bool
	parts map[uint64]bool
	// requests counts the lost requests by the instance or the group of instances that told of them.
	requests map[string]int
	// passedBefore is the number of this instance's answers, those in progress included, when it
	// learned of the crash.
	passedBefore int
}

func (c *crash) lost() int {
	total := 0
	for _, count := range c.requests {
		total += count
	}
	return total
}

// Table holds what one instance knows of the parts of one pool's prompts. It is not safe for
// concurrent use.
type Table struct {
	usage   usage
	crashes []*crash
	// told is the use of suspect parts at other instances, by part and by who told of it.
	told map[uint64]map[string]partUse
	// answered is when the latest attempt with a part began that got past its start, by the word
	// of other instances or an operator.
	answered map[uint64]time.Time
	blocked  map[uint64]*Block
	// refuted is when an answer of this instance refuted the block of a part.
	refuted map[uint64]time.Time
	// changed is true if there is evidence that Decide has not seen; undecided is true if some part
	// has met enough crashes to be decided on.
	changed, undecided bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{usage: newUsage(), told: make(map[uint64]map[string]partUse), answered: make(map[uint64]time.Time), blocked: make(map[uint64]*Block), refuted: make(map[uint64]time.Time)}
}

// own is the name under which a table counts the requests lost at this instance.
const own = ""

// Lost records that a request was lost with a server before its answer was past its start.
// running is the number of this instance's requests in the pool that are not past theirs. It
// reports whether the crash tells anything new.
func (t *Table) Lost(now time.Time, server string, parts []uint64, running int) bool {
	if len(parts) == 0 {
		return false
	}
	c := t.crashAt(server, now, running)
	c.own = true
	c.requests[own]++
	return t.addParts(c, parts)
}

// addParts adds the parts to the crash and reports whether any is new.
func (t *Table) addParts(c *crash, parts []uint64) bool {
	if len(c.parts)+len(parts) > maxPartsPerCrash {
		parts = t.mostSuspect(parts)
	}
	added := false
	for _, part := range parts {
		if !c.parts[part] && len(c.parts) < maxPartsPerCrash {
			c.parts[part], added = true, true
		}
	}
	t.changed = t.changed || added
	return added
}

// mostSuspect returns the parts, those that met most crashes first and then the rarest.
func (t *Table) mostSuspect(parts []uint64) []uint64 {
	crashes := make(map[uint64]int, len(parts))
	for _, part := range parts {
		crashes[part] = len(t.crashesOf(part))
	}
	sorted := slices.Clone(parts)
	slices.SortStableFunc(sorted, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(crashes[b], crashes[a]), cmp.Compare(t.usage.answers(a), t.usage.answers(b)), cmp.Compare(a, b))
	})
	return sorted
}

// crashAt returns the server's crash at the given time, which is recorded if it is new. running is
// the number of this instance's requests in the pool that are not past their start.
func (t *Table) crashAt(server string, at time.Time, running int) *crash {
	for _, c := range t.crashes {
		if c.server == server && at.Sub(c.at).Abs() <= sameCrash {
			return c
		}
	}
	if len(t.crashes) >= maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
	c := &crash{server: server, at: at, parts: make(map[uint64]bool), requests: make(map[string]int), passedBefore: t.usage.passed + running}
	t.crashes = append(t.crashes, c)
	return c
}

// Alive records that an attempt that was started at the given time goes on at the server. A
// connection that broke before was no crash.
func (t *Table) Alive(now time.Time, server string, started time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool {
		return c.own && c.server == server && started.Before(c.at) && now.Sub(c.at) > aliveAfter && len(c.requests) == 1
	})
}

// Passed records that the answer of an attempt, started at the given time, got past its start. It
// returns the blocks that this refutes.
func (t *Table) Passed(now, started time.Time, parts []uint64) []*Block {
	t.usage.record(now, started, parts)
	if len(t.blocked) == 0 {
		return nil
	}
	var refuted []*Block
	for _, part := range parts {
		if b := t.blocked[part]; b != nil && started.After(b.Since) {
			delete(t.blocked, part)
			t.refuted[part] = now
			refuted = append(refuted, b)
		}
	}
	return refuted
}

// answeredAt returns when the latest attempt with the part began whose answer got past its start;
// zero if none is known.
func (t *Table) answeredAt(part uint64) time.Time {
	return later(t.answered[part], t.usage.lastStart(part))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// crashesOf returns the crashes that count against the part, in order of time.
func (t *Table) crashesOf(part uint64) []*crash {
	answered := t.answeredAt(part)
	var against []*crash
	for _, c := range t.crashes {
		if c.parts[part] && c.at.After(answered) {
			against = append(against, c)
		}
	}
	slices.SortFunc(against, func(a, b *crash) int { return a.at.Compare(b.at) })
	return against
}

// Expire drops crashes and blocks whose time is over, and returns these blocks.
func (t *Table) Expire(now time.Time) []*Block {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now.Sub(c.at) > retention })
	for part, at := range t.answered {
		if now.Sub(at) > retention {
			delete(t.answered, part)
		}
	}
	if len(t.answered) > maxAnswered {
		clear(t.answered)
	}
	for part, at := range t.refuted {
		if now.Sub(at) > retention {
			delete(t.refuted, part)
		}
	}
	t.forgetUses()
	var ended []*Block
	for _, b := range t.Blocks() {
		if now.Sub(b.At) > BlockTTL {
			delete(t.blocked, b.Part)
			ended = append(ended, b)
		}
	}
	return ended
}
