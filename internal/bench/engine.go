package bench

import (
	"slices"
	"time"
)

const (
	// prefillToken is the engine time for one prompt token that isn't cached.
	prefillToken = 120 * time.Microsecond
	// chunk is how many prompt tokens one step takes in.
	prefillChunk = 256
	// engineQueue is how many requests wait at an engine before it refuses.
	engineQueue = 32
	// cacheBlocks is the prefix cache's size.
	cacheBlocks = 2500
	// restartTime is how long an engine that a request crashed stays down.
	restartTime = 15 * time.Second
	// crashAfter is the number of tokens after which the crashing request strikes.
	crashAfter = 3
)

// engineSpeed gives the time of a step and what each request adds to it; two
// engines of ten are half as fast, since engines carry uneven load.
func engineSpeed(i int) (base, perRequest time.Duration) {
	if i == 2 || i == 7 {
		return 26 * time.Millisecond, 4400 * time.Microsecond
	}
	return 13 * time.Millisecond, 2200 * time.Microsecond
}

// job is one attempt at one engine.
type job struct {
	call     *call
	instance *instance
	attempt  int
	priority int
	seq      uint64
	prefill  int
	// began is the number of tokens that the attempt started from.
	startTokens int
	// made counts the answer's tokens, those of earlier attempts included.
	generated int
	stopped   bool
	at        backend
	// imported jobs come with their KV cache; carried counts the tokens in it
	// that their caller has not got yet.
	imported    bool
	undelivered int
}

// engine batches continuously: each step gives every running request a token,
// after its prompt was taken in chunk by chunk.
type engine struct {
	world            *world
	name             string
	dataCenter       string
	base, perRequest time.Duration
	slowdown         float64
	running          []*job
	waiting          []*job
	stepping         bool
	fault            engineFault
	down             bool
	epoch            int
	seq              uint64
	cache            cache
	cacheSeq         uint64
	reports          []report
	crashes          int
	busy             time.Duration
}

type report struct {
	at               time.Duration
	running, waiting int
}

// accept takes a job in, or refuses it for load.
func (e *engine) accept(j *job) bool {
	if len(e.waiting) >= engineQueue || e.fault == refusing {
		return false
	}
	e.seq++
	j.seq = e.seq
	at, _ := slices.BinarySearchFunc(e.waiting, j, func(a, b *job) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return int(a.seq) - int(b.seq)
	})
	e.waiting = slices.Insert(e.waiting, at, j)
	e.replay(j)
	e.schedule()
	return true
}

func (e *engine) schedule() {
	if e.stepping || e.down {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.step()
}

func (e *engine) admit() {
	for len(e.running) < engineSlots && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		if j.stopped {
			continue
		}
		e.running = append(e.running, j)
		j.call.ran()
		if j.imported {
			continue
		}
		cached := e.cache.matchedBlocks(j.call.prefix) * blockTokens
		j.prefill = max(j.call.prompt+j.generated-cached, 1)
		if j.attempt > 1 {
			e.world.tally.recomputed += j.prefill
		}
	}
}

func (e *engine) step() {
	e.stepping = true
	remaining, decoding := prefillChunk, 0
	for _, j := range e.running {
		if j.prefill == 0 {
			decoding++
			continue
		}
		take := min(j.prefill, remaining)
		j.prefill -= take
		remaining -= take
	}
	length := e.base + time.Duration(len(e.running))*e.perRequest + time.Duration(prefillChunk-remaining)*prefillToken
	length = time.Duration(float64(length) * e.slowdown)
	e.busy += length
	epoch := e.epoch
	e.world.clock.after(length, func() {
		if e.epoch == epoch {
			e.finishStep()
		}
	})
}

// stepped hands out the tokens of a step and begins the next one.
func (e *engine) finishStep() {
	e.stepping = false
	kept := e.running[:0]
	for _, j := range e.running {
		if j.stopped {
			continue
		}
		if j.prefill > 0 {
			kept = append(kept, j)
			continue
		}
		j.generated++
		e.world.tally.generated++
		if j.generated == 1 || j.attempt > 1 {
			e.cache.store(j.call.prefix)
		}
		if j.call.crashes && j.generated >= crashAfter {
			e.world.tally.crashedByRequest++
			e.crash(restartTime)
			return
		}
		if e.fault == timingOut && e.dropAnswer(j) {
			continue
		}
		done := j.generated >= j.call.output
		e.world.deliver(e.dataCenter, j, done)
		if !done {
			kept = append(kept, j)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.schedule()
}

// crash drops all that runs and waits; callers see their connections reset.
func (e *engine) crash(downFor time.Duration) {
	if e.down {
		return
	}
	e.down, e.stepping = true, false
	e.epoch++
	e.crashes++
	jobs := append(slices.Clone(e.running), e.waiting...)
	e.running, e.waiting = nil, nil
	e.cache.clear()
	for _, j := range jobs {
		if !j.stopped {
			j.stopped = true
			e.world.reset(e.dataCenter, j)
		}
	}
	e.world.clock.after(downFor, func() { e.down = false })
}
