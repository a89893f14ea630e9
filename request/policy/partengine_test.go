package policy

import (
	"fmt"
	"slices"
	"time"
)

type partEngine struct {
	slot     int
	lifetime int
	down     bool
	freeAt   time.Time
	running  []*partAttempt
}

func (e *partEngine) name() string { return fmt.Sprintf("engine-%d/%d", e.slot, e.lifetime) }

type partAttempt struct {
	in      *fleetInstance
	process int
	start   Start
	request *partRequest
}

// attempt takes an attempt to its engine.
func (f *partFleet) attempt(in *fleetInstance, start Start) {
	request := f.requests[start.ID]
	request.attempts++
	a := &partAttempt{in: in, process: in.starts, start: start, request: request}
	f.after(flightTime, func() {
		e := f.byName[start.Server]
		if e == nil || e.down || e.name() != start.Server {
			f.after(flightTime, func() { a.report(f, Failed{ID: start.ID, Attempt: start.Attempt, Crashed: true}) })
			return
		}
		a.report(f, Sent{ID: start.ID, Attempt: start.Attempt})
		if request.bad {
			f.badArrivals = append(f.badArrivals, f.now)
		}
		e.running = append(e.running, a)
		e.freeAt = later(e.freeAt, f.now).Add(prefillTime)
		f.schedule(e.freeAt, func() { f.begin(e, a) })
	})
}

// report tells the instance of an event of the attempt, if its process still runs.
func (a *partAttempt) report(f *partFleet, event Event) {
	if a.in.starts == a.process && !a.in.down {
		f.step(a.in, event)
	}
}

// begin begins the answer, under which the engine crashes if the request is bad.
func (f *partFleet) begin(e *partEngine, a *partAttempt) {
	if !slices.Contains(e.running, a) {
		return
	}
	if a.request.bad {
		f.crashes = append(f.crashes, f.now)
		f.crash(e)
		return
	}
	a.request.began = a.request.began || a.start.Attempt == 1
	f.after(flightTime, func() { a.report(f, Tokens{ID: a.start.ID, Attempt: a.start.Attempt, Count: 4}) })
	f.after(answerTime/3, func() { f.tokens(e, a, 20) })
	f.after(answerTime, func() {
		f.tokens(e, a, 16)
		if at := slices.Index(e.running, a); at >= 0 {
			e.running = slices.Delete(e.running, at, at+1)
			a.report(f, Finished{ID: a.start.ID, Attempt: a.start.Attempt})
		}
	})
}

func (f *partFleet) tokens(e *partEngine, a *partAttempt, count int) {
	if slices.Contains(e.running, a) {
		a.report(f, Tokens{ID: a.start.ID, Attempt: a.start.Attempt, Count: count})
	}
}

// crash ends the engine; it is back after restartTime as another server.
func (f *partFleet) crash(e *partEngine) {
	if e.down {
		return
	}
	e.down = true
	lost := e.running
	e.running = nil
	for _, a := range lost {
		f.after(crashNoticeTime, func() {
			a.report(f, Failed{ID: a.start.ID, Attempt: a.start.Attempt, Sent: true, Crashed: true})
		})
	}
	f.after(restartTime, func() {
		e.lifetime++
		e.down, e.freeAt = false, f.now
		f.configureAll()
	})
}

// stop ends an attempt at its engine.
func (f *partFleet) stop(in *fleetInstance, stop Stop) {
	f.after(flightTime, func() {
		if e := f.byName[stop.Server]; e != nil {
			e.running = slices.DeleteFunc(e.running, func(a *partAttempt) bool {
				return a.in == in && a.start.ID == stop.ID && a.start.Attempt == stop.Attempt
			})
		}
	})
}
