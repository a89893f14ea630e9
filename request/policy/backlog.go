package policy

import (
	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// levels is the number of priorities at engines; 0 is the most urgent.
const engineLevels = loadboard.Levels

// lateLevel is that of requests that start when their target is missed already:
// they run in what the others leave. Only the least urgent classes have it: a more
// urgent request that is late must not be preempted before less urgent ones.
const lateEngineLevel = engineLevels - 1

// backlog is prompt work that waits at an engine, in tokens, by the priority of
// its requests. Engines read the prompts of more urgent requests first, so only
// the part up to a request's own level is before it.
type backlog [engineLevels]float64

// before is what is read before a prompt of the level.
func (b *backlog) before(level int) float64 {
	sum := 0.0
	for _, tokens := range b[:level+1] {
		sum += tokens
	}
	return sum
}

// total is the whole backlog.
func (b *backlog) total() float64 { return b.before(engineLevels - 1) }

// add puts tokens on, or takes them off where they are negative.
func (b *backlog) add(level int, tokens float64) { b[level] = max(0, b[level]+tokens) }

// told is the backlog as peers are told of it.
func (b *backlog) encode() []uint32 {
	if b.total() == 0 {
		return nil
	}
	list := make([]uint32, engineLevels)
	for level, tokens := range b {
		list[level] = uint32(tokens)
	}
	return list
}

// merge adds what a peer told, with the sign.
func (b *backlog) addEncoded(told []uint32, sign float64) {
	for level, tokens := range told {
		if level < engineLevels {
			b.add(level, sign*float64(tokens))
		}
	}
}

// levelOf is the request's priority at engines if it started now. Requests that
// are not anchored may meet engines that read prompts in turn: they expect all
// of the backlog before them.
func (r *request) engineLevel() int {
	switch {
	case !r.Pinned:
		return engineLevels - 1
	case (r.item.Late || r.expectedLate) && engineLevelOf(r.class) >= r.pool.lastLevel:
		return lateEngineLevel
	}
	return engineLevelOf(r.class)
}

// levelOf is the class's level in the queue, by tier and the rank within it.
func queueLevel(class *lilacv1.Class) int {
	return model.Level(int(class.GetTier()), int(class.GetRank()))
}

// placeOf is the position at which the class is given room, by rank and the tier
// within it.
func placeOf(class *lilacv1.Class) int {
	return model.Place(int(class.GetTier()), int(class.GetRank()))
}

// usualLevel is the priority at engines of the class's requests that can be in time.
// Engines preempt running requests by it: bulk before short urgent work of any tier.
func engineLevelOf(class *lilacv1.Class) int {
	return min(placeOf(class), lateEngineLevel-1)
}
