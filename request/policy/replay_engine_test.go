package policy

import (
	"slices"
	"time"
)

// speed is what a replay's engines do: the time of an empty batch's step, what each
// request adds, of one prompt token, and what passes before a first token.
type speed struct{ step, each, prefill, fixed time.Duration }

// replayJob is an attempt at an engine.
type replayJob struct {
	core  *core
	start Start
	// prompt is the length of the prompt, read what is left to read.
	prompt int
	read   int
	left   int
	made   int
	// rank is that of the request's kind.
	rank    uint32
	readyAt time.Time
}

// replayEngine reads prompts by priority, one to its end before the next, and gives
// each running answer a token a step.
type replayEngine struct {
	speed   speed
	slots   int
	running []*replayJob
	waiting []*replayJob
	// reading is the prompt in progress.
	reading *replayJob
	held    map[uint64]bool
	freeAt  time.Time
	// preempted counts requests that were put back for more urgent ones, wronged those of
	// them whose kind is more urgent than that of one that ran on.
	preempted, wronged int
	need               limitedEngine
}

func (e *replayEngine) stop(c *core, id ID) {
	gone := func(j *replayJob) bool { return j.core == c && j.start.ID == id }
	e.running = slices.DeleteFunc(e.running, gone)
	e.waiting = slices.DeleteFunc(e.waiting, gone)
	if e.reading != nil && gone(e.reading) {
		e.reading = nil
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
	read := e.readChunk()
	e.freeAt = r.now.Add(e.speed.step + time.Duration(len(e.running))*e.speed.each + time.Duration(read)*e.speed.prefill)
	for _, j := range slices.Clone(e.running) {
		if j.read == 0 && !r.now.Before(j.readyAt) {
			e.token(r, j)
		}
	}
}

func (e *replayEngine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *replayJob) int { return a.start.Level - b.start.Level })
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
	var victim *replayJob
	for _, j := range e.running {
		if victim == nil || j.start.Level >= victim.start.Level {
			victim = j
		}
	}
	if victim.start.Level <= level {
		return false
	}
	e.running = slices.DeleteFunc(e.running, func(j *replayJob) bool { return j == victim })
	if e.reading == victim {
		e.reading = nil
	}
	if slices.ContainsFunc(e.running, func(j *replayJob) bool { return j.rank > victim.rank }) {
		e.wronged++
	}
	victim.read = victim.prompt + victim.made
	e.waiting = append(e.waiting, victim)
	e.preempted++
	return true
}

func (e *replayEngine) readChunk() int {
	left := replayChunk
	for left > 0 {
		if e.reading == nil || e.reading.read == 0 {
			e.reading = e.nextPrompt()
		}
		if e.reading == nil {
			break
		}
		take := min(e.reading.read, left)
		e.reading.read -= take
		left -= take
	}
	return replayChunk - left
}

// nextPrompt is the most urgent prompt that is unread, the oldest of several.
func (e *replayEngine) nextPrompt() *replayJob {
	var next *replayJob
	for _, j := range e.running {
		if j.read > 0 && (next == nil || j.start.Level < next.start.Level) {
			next = j
		}
	}
	return next
}

func (e *replayEngine) token(r *replay, j *replayJob) {
	j.made++
	j.left--
	if j.made != 1 && j.made%replayStride != 0 && j.left > 0 {
		return
	}
	end := r.ends[j.start.ID]
	if j.made == 1 {
		e.need.answer(r, j)
	}
	if end.first.IsZero() {
		end.first = r.now
	} else {
		end.paused = max(end.paused, r.now.Sub(end.last))
	}
	end.last = r.now
	count := replayStride
	if j.made == 1 {
		count = 1
	}
	r.apply(j.core, j.core.Step(r.now, Tokens{ID: j.start.ID, Attempt: j.start.Attempt, Count: count}))
	if j.left <= 0 {
		e.stop(j.core, j.start.ID)
		end.finished, end.ended = true, r.now
		r.apply(j.core, j.core.Step(r.now, Finished{ID: j.start.ID, Attempt: j.start.Attempt}))
	}
}
