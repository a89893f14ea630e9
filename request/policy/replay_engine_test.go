package policy

import (
	"slices"
	"time"
)

// engineSpeed is the speed of a replay's engines: the step time of an empty batch, what each
// request adds to it, the prefill time of a prompt token, and the fixed part of the time to a
// first token.
type engineSpeed struct{ step, perRequest, prefill, fixed time.Duration }

// replayAttempt is an attempt at an engine.
type replayAttempt struct {
	core  *core
	start Start
	// prompt is the length of the prompt, unread the part still to be prefilled.
	prompt    int
	unread    int
	left      int
	generated int
	// rank is the rank of the request's class.
	rank    uint32
	readyAt time.Time
}

// replayEngine prefills prompts by priority, finishing one before the next, and generates one
// token for each running answer in a step.
type replayEngine struct {
	speed   engineSpeed
	slots   int
	running []*replayAttempt
	waiting []*replayAttempt
	// prefilling is the prompt in progress.
	prefilling *replayAttempt
	held       map[uint64]bool
	freeAt     time.Time
	// preempted counts preempted requests, priorityInversions those of them that were preempted
	// while one of a less urgent rank kept running.
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

// advance ends a step that is due and begins the next one.
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

// preempt preempts the newest of the least urgent requests if it is less urgent than level. Its
// prompt is prefilled again.
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

// nextPrompt returns the most urgent unfinished prompt, the oldest of several; nil for none.
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
		e.limiter.sendReport(r, j)
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
