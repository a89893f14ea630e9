package bench

import (
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
)

const (
	// prefillToken is the engine time for one uncached prompt token.
	prefillToken = 120 * time.Microsecond
	// prefillChunk is the number of prompt tokens processed in one step.
	prefillChunk = 256
	// engineQueue is the capacity of an engine's queue; an engine refuses further requests.
	engineQueue = 32
	// cacheBlocks is the capacity of the prefix cache.
	cacheBlocks = 2500
	// restartTime is the downtime of an engine after a crash caused by a request.
	restartTime = 15 * time.Second
	// crashAfter is the number of tokens after which a crashing request crashes the engine.
	crashAfter = 3
)

// engineSpeed returns the base time of a step and the time added per request. Two of
// ten engines are half as fast as the others.
func engineSpeed(i int) (base, perRequest time.Duration) {
	if i == 2 || i == 7 {
		return 26 * time.Millisecond, 4400 * time.Microsecond
	}
	return 13 * time.Millisecond, 2200 * time.Microsecond
}

// job is one attempt at a backend.
type job struct {
	call     *call
	instance *instance
	attempt  int
	priority int
	seq      uint64
	prefill  int
	// startTokens is the number of tokens received before the attempt.
	startTokens int
	// generated counts the tokens of the answer, including those of earlier attempts.
	generated int
	stopped   bool
	at        backend
	// imported jobs arrive with their KV cache; undelivered counts the tokens in it
	// that the caller has not received yet.
	imported    bool
	undelivered int
}

// engine simulates continuous batching with chunked prefill: each step generates a
// token for every running request whose prompt has been processed.
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

// accept enqueues a job. It returns false if the engine is overloaded.
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
	length = number.Duration(float64(length) * e.slowdown)
	e.busy += length
	epoch := e.epoch
	e.world.clock.after(length, func() {
		if e.epoch == epoch {
			e.finishStep()
		}
	})
}

// finishStep delivers the tokens of a step and starts the next one.
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

// crash drops all running and waiting jobs; their connections are reset.
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
