package policy

import (
	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// engineLevels is the number of engine priorities; 0 is the most urgent.
const engineLevels = loadboard.Levels

// lateEngineLevel is the priority of requests that start after their target was
// missed: they use the capacity that others leave. Only the least urgent classes
// get it, since a late request of a more urgent class must not be preempted before
// less urgent ones.
const lateEngineLevel = engineLevels - 1

// backlog is the prompt work waiting at an engine, in tokens, by the priority of
// its requests. Engines process the prompts of more urgent requests first, so a
// request waits only for the work up to its own level.
type backlog [engineLevels]float64

// before returns the work that precedes a prompt of the level.
func (b *backlog) before(level int) float64 {
	sum := 0.0
	for _, tokens := range b[:level+1] {
		sum += tokens
	}
	return sum
}

// total returns the work of all levels.
func (b *backlog) total() float64 { return b.before(engineLevels - 1) }

// add adds tokens, or removes them if negative. The result is never below 0.
func (b *backlog) add(level int, tokens float64) { b[level] = max(0, b[level]+tokens) }

// encode returns the backlog as digests carry it; nil if it is empty.
func (b *backlog) encode() []uint32 {
	if b.total() == 0 {
		return nil
	}
	list := make([]uint32, engineLevels)
	for level, tokens := range b {
		list[level] = number.Uint32(tokens)
	}
	return list
}

// addEncoded adds a peer's encoded backlog, multiplied by sign.
func (b *backlog) addEncoded(encoded []uint32, sign float64) {
	for level, tokens := range encoded {
		if level < engineLevels {
			b.add(level, sign*float64(tokens))
		}
	}
}

// engineLevel returns the engine priority that the request would start with now.
// Requests that are not pinned may run on engines without priorities, so they are
// expected to wait for the whole backlog.
func (r *request) engineLevel() int {
	switch {
	case !r.Pinned:
		return engineLevels - 1
	case (r.item.Late || r.expectedLate) && engineLevelOf(r.class) >= r.pool.lastLevel:
		return lateEngineLevel
	}
	return engineLevelOf(r.class)
}

// queueLevel returns the class's level in the queue, by tier and then by rank.
func queueLevel(class *lilacv1.Class) int {
	return model.Level(int(class.GetTier()), int(class.GetRank()))
}

// positionOf returns the class's position in the allocation of slots, by rank and then by
// tier; see model.Position.
func positionOf(class *lilacv1.Class) int {
	return model.Position(int(class.GetTier()), int(class.GetRank()))
}

// engineLevelOf returns the engine priority of the class's requests that can still
// meet their target. Engines preempt running requests by it, so that long answers of
// any tier are preempted before short urgent ones.
func engineLevelOf(class *lilacv1.Class) int {
	return min(positionOf(class), lateEngineLevel-1)
}
