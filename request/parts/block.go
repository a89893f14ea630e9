package parts

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// BlockTTL is how long a part stays blocked at most.
	BlockTTL = 24 * time.Hour
	// minCrashes is the smallest number of crashed servers for which a part is blocked.
	minCrashes = 3
	// maxFalseBlocks bounds the expected number of sound parts that all instances block in a
	// decision.
	maxFalseBlocks = 0.001
)

// trialTimes are the times since the block from which an instance may claim a trial, that is, let
// one request with the part run, so that a part that is blocked wrongly, or no longer crashes
// servers, is found out. Each trial may cost a server, so they are few for all instances.
var trialTimes = [...]time.Duration{time.Minute, 30 * time.Minute}

// Block is a part whose requests are refused.
type Block struct {
	Part uint64
	// At is when the part was blocked, Since the time of the first crash that it is blocked for.
	At, Since time.Time
	// Trials is the number of the last trial that an instance claimed.
	Trials int
	// Evidence is empty if another instance or the replicated log has the part blocked.
	Evidence Evidence
}

// Evidence is what a part is blocked for.
type Evidence struct {
	// Servers crashed while a request with the part was not past its start.
	Servers []string
	// Requests is the number of all requests lost with servers in that time.
	Requests int
	// Before is the number of answers of all instances until the first crash, as far as known, and
	// BeforeWith that of them with the part; Since is the number of answers since, all without it.
	Before, BeforeWith, Since int
	// FalseBlocks is the expected number of sound parts with such evidence.
	FalseBlocks float64
}

// The expected number of sound parts is summed up over their shares of all answers, from
// smallestShare to 1, in steps of the share's logarithm that become finer with the square root of
// the number of answers from which it is known.
const (
	smallestShare = 1e-6
	shareStep     = 0.25
	maxShareSteps = 10000
)

// falseBlocks returns the expected number of sound parts that met so many crashed servers and no
// answer, among those that were in BeforeWith of the answers before. A part whose share of all
// answers is s
//   - was in BeforeWith of the answers: Poisson's distribution;
//   - met so many crashed servers by chance, with so many requests lost: Chernoff's bound;
//   - is in no answer since the first crash.
//
// Parts with a share of s or more are at most 1/s. The part itself is one with that use, so that it
// counts as one part where fewer are expected.
func (e *Evidence) falseBlocks() float64 {
	crashes, parts, blocked := float64(len(e.Servers)), 0.0, 0.0
	first := math.Log(smallestShare)
	step := max(shareStep/(1+math.Sqrt(float64(e.BeforeWith))), -first/maxShareSteps)
	for logShare := 0.0; logShare >= first; logShare -= step {
		share := math.Exp(logShare)
		logParts := logPoisson(e.BeforeWith, share*float64(e.Before)) - logShare
		logChance := -share * float64(e.Since)
		if expected := share * float64(e.Requests); expected < crashes {
			logChance += crashes - expected + crashes*math.Log(expected/crashes)
		}
		parts += math.Exp(logParts) * step
		blocked += math.Exp(logParts+logChance) * step
	}
	return blocked / min(parts, 1)
}

// logPoisson returns the logarithm of the chance of a count whose mean is expected.
func logPoisson(count int, expected float64) float64 {
	if expected == 0 {
		if count == 0 {
			return 0
		}
		return math.Inf(-1)
	}
	factorial, _ := math.Lgamma(float64(count) + 1)
	return float64(count)*math.Log(expected) - expected - factorial
}

// Decide returns the parts that are blocked from now on, by the evidence of all instances, of which
// there are the given number. Only those decide that lost a request in one of the crashes, so that
// not all instances propose the same conviction; the others hear of it.
func (t *Table) Decide(now time.Time, instances int) []*Block {
	if !t.changed && !t.undecided {
		return nil
	}
	t.changed, t.undecided = false, false
	met := make(map[uint64]int)
	for _, c := range t.crashes {
		for part := range c.parts {
			met[part]++
		}
	}
	var blocks []*Block
	for _, part := range slices.Sorted(maps.Keys(met)) {
		if met[part] < minCrashes || t.blocked[part] != nil {
			continue
		}
		against := t.crashesOf(part)
		if len(against) < minCrashes || !slices.ContainsFunc(against, func(c *crash) bool { return c.own }) {
			continue
		}
		t.undecided = true
		if e := t.evidence(part, against); e.FalseBlocks <= maxFalseBlocks/float64(instances) {
			blocks = append(blocks, t.block(&Block{Part: part, At: now, Since: against[0].at, Evidence: e}))
		}
	}
	return blocks
}

// evidence weighs the crashes that count against the part.
func (t *Table) evidence(part uint64, against []*crash) Evidence {
	first := against[0]
	use := t.useOf(part, first)
	e := Evidence{Before: use.before, BeforeWith: use.beforeWith, Since: use.since}
	for _, c := range against {
		e.Servers = append(e.Servers, c.server)
	}
	for _, c := range t.crashes {
		if !c.at.Before(first.at) {
			e.Requests += max(c.lost(), 1)
		}
	}
	e.FalseBlocks = e.falseBlocks()
	return e
}

func (t *Table) block(b *Block) *Block {
	if len(t.blocked) >= maxBlocked {
		delete(t.blocked, t.Blocks()[0].Part)
	}
	t.blocked[b.Part] = b
	return b
}

// Blocks returns the blocked parts in the order in which they were blocked.
func (t *Table) Blocks() []*Block {
	return slices.SortedFunc(maps.Values(t.blocked), func(a, b *Block) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Part, b.Part))
	})
}

// Blocked returns the block of one of the parts, or nil.
func (t *Table) Blocked(parts []uint64) *Block {
	if len(t.blocked) == 0 {
		return nil
	}
	for _, part := range parts {
		if b := t.blocked[part]; b != nil {
			return b
		}
	}
	return nil
}

// BlockUntilLifted blocks a part that the replicated log has blocked for the given time, with that
// many trials claimed. It returns nil if the part is blocked already, or if an answer is known that
// refutes the block: its end may still be on its way to the log.
func (t *Table) BlockUntilLifted(now time.Time, part uint64, age time.Duration, trials int) *Block {
	if b := t.blocked[part]; b != nil {
		b.Trials = max(b.Trials, trials)
		return nil
	}
	at := now.Add(-max(age, 0))
	if t.answeredAt(part).After(at) {
		return nil
	}
	return t.block(&Block{Part: part, At: at, Since: at, Trials: trials})
}

// Lift ends the block of a part and forgets the crashes so far. It returns nil if the part was
// not blocked.
func (t *Table) Lift(now time.Time, part uint64) *Block {
	b := t.blocked[part]
	delete(t.blocked, part)
	t.answered[part] = now
	return b
}

// TrialDue returns the number of the trial to claim now, or 0.
func (b *Block) TrialDue(now time.Time) int {
	due := 0
	for due < len(trialTimes) && now.Sub(b.At) >= trialTimes[due] {
		due++
	}
	if due <= b.Trials {
		return 0
	}
	return due
}

// UntilTrial returns the time until the next trial, or until the end of the block if there is none
// left.
func (b *Block) UntilTrial(now time.Time) time.Duration {
	end := b.At.Add(BlockTTL)
	if b.Trials < len(trialTimes) {
		end = b.At.Add(trialTimes[b.Trials])
	}
	return max(end.Sub(now), 0)
}
