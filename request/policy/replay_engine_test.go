package policy

import (
	"slices"
	"time"
)

// engineSpeed is what a replay's engines do: the time of an empty batch's step, what each
// request adds, of one prompt token, and what passes before a first token.
type engineSpeed struct{ step, perRequest, prefill, fixed time.Duration }

// replayAttempt is an attempt at an engine.
type replayAttempt struct {
	core  *core
	start Start
	// prompt is the length of the prompt, read what is left to read.
	prompt    int
	unread    int
	left      int
	generated int
	// rank is that of the request's kind.
	rank    uint32
	readyAt time.Time
}

// replayEngine reads prompts by priority, one to its end before the next, and gives
// each running answer a token a step.
type replayEngine struct {
	speed   engineSpeed
	slots   int
	running []*replayAttempt
	waiting []*replayAttempt
	// prefilling is the prompt in progress.
	prefilling *replayAttempt
	held       map[uint64]bool
	freeAt     time.Time
	// preempted counts requests that were put back for more urgent ones, wronged those of
	// them whose kind is more urgent than that of one that ran on.
	preempted, priorityInversions int
	limiter                       limitedEngine
}

func (e *replayEngine) stop(c *core, id ID) {
	matches := func(j *replayAttempt) bool { return j.core == c && j.start.ID == id }
	e.running = slices.DeleteFunc(e.running, matches)
	e.waiting = slices.DeleteFunc(e.waiting, matches)
	if e.prefilling != nil && matches(e.prefilling) {
		e.prefilling = nil
	}
}

// advance ends the step that is due and begins the next one.
func (e *replayEngine) advance(r *replay) {
	if r.now.Before(e.freeAt) {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	read := e.prefillStep()
	e.freeAt = r.now.Add(e.speed.step + time.Duration(len(e.running))*e.speed.perRequest + time.Duration(read)*e.speed.prefill)
	for _, j := range slices.Clone(e.running) {
		if j.unread == 0 && !r.now.Before(j.readyAt) {
			e.token(r, j)
		}
	}
}

func (e *replayEngine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *replayAttempt) int { return a.start.Level - b.start.Level })
	for len(e.waiting) > 0 {
		if len(e.running) == e.slots && !e.preempt(e.waiting[0].start.Level) {
			return
		}
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
}

// preempt puts the newest of the least urgent requests back, if it is less urgent than
// the level; its prompt is read again.
func (e *replayEngine) preempt(level int) bool {
	var victim *replayAttempt
	for _, j := range e.running {
		if victim == nil || j.start.Level >= victim.start.Level {
			victim = j
		}
	}
	if victim.start.Level <= level {
		return false
	}
	e.running = slices.DeleteFunc(e.running, func(j *replayAttempt) bool { return j == victim })
	if e.prefilling == victim {
		e.prefilling = nil
	}
	if slices.ContainsFunc(e.running, func(j *replayAttempt) bool { return j.rank > victim.rank }) {
		e.priorityInversions++
	}
	victim.unread = victim.prompt + victim.generated
	e.waiting = append(e.waiting, victim)
	e.preempted++
	return true
}

func (e *replayEngine) prefillStep() int {
	left := replayChunk
	for left > 0 {
		if e.prefilling == nil || e.prefilling.unread == 0 {
			e.prefilling = e.nextPrompt()
		}
		if e.prefilling == nil {
			break
		}
		take := min(e.prefilling.unread, left)
		e.prefilling.unread -= take
		left -= take
	}
	return replayChunk - left
}

// nextPrompt is the most urgent prompt that is unread, the oldest of several.
func (e *replayEngine) nextPrompt() *replayAttempt {
	var next *replayAttempt
	for _, j := range e.running {
		if j.unread > 0 && (next == nil || j.start.Level < next.start.Level) {
			next = j
		}
	}
	return next
}

func (e *replayEngine) token(r *replay, j *replayAttempt) {
	j.generated++
	j.left--
	if j.generated != 1 && j.generated%replayStride != 0 && j.left > 0 {
		return
	}
	outcome := r.outcomes[j.start.ID]
	if j.generated == 1 {
		e.limiter.answer(r, j)
	}
	if outcome.firstTokenAt.IsZero() {
		outcome.firstTokenAt = r.now
	} else {
		outcome.maxPause = max(outcome.maxPause, r.now.Sub(outcome.lastTokenAt))
	}
	outcome.lastTokenAt = r.now
	count := replayStride
	if j.generated == 1 {
		count = 1
	}
	r.apply(j.core, j.core.Step(r.now, Tokens{ID: j.start.ID, Attempt: j.start.Attempt, Count: count}))
	if j.left <= 0 {
		e.stop(j.core, j.start.ID)
		outcome.finished, outcome.endedAt = true, r.now
		r.apply(j.core, j.core.Step(r.now, Finished{ID: j.start.ID, Attempt: j.start.Attempt}))
	}
}
