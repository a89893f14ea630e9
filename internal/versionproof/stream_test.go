package versionproof

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/connection/originlink"
	"github.com/lilacbridge/lilacbridge/process/streamorigin"
)

// phase is what a stream waits for.
type phase int

const (
	// arriving: its request reaches an entry.
	arriving phase = iota
	// queued: the entry waits for a server.
	queued
	// calling: a call of the link.
	calling
	// sent: the first event of the attempt at a server.
	sent
	// flowing: events reach the caller.
	flowing
	// away: the caller resumes it later.
	away
	over
)

// maxTries bounds the entry's attempts at servers.
const maxTries = 4

// stream is a stream that its caller resumes after it broke.
type stream struct {
	sim      *sim
	number   int
	phase    phase
	due      time.Duration
	deadline time.Duration
	entry    *entry
	process  int
	// attempt is the id of the caller's present request, first that of the one that brought the
	// first event.
	attempt, first string
	attempts       int
	// version is that of the first event; empty before it.
	version string
	// tried is the version of the entry's present attempt, tries its number.
	tried string
	tries int
	// bound is where the entry goes on, by finding.
	resuming, bound bool
	// named is set if the caller is in time and names the attempt that brought the first event.
	named   bool
	source  originlink.Source
	request int
}

func newStream(s *sim, number int) *stream {
	x := &stream{sim: s, number: number, deadline: s.now + s.between(2*time.Second, maxLimit)}
	if s.quick && s.chance(0.3) {
		x.deadline = s.now + maxLimit
	}
	x.send()
	return x
}

// send sends the caller's next request to an entry.
func (x *stream) send() {
	s := x.sim
	for earlier := x.entry; x.entry == earlier || s.chance(0.1); {
		x.entry = s.all[s.random.IntN(len(s.all))]
	}
	x.attempts++
	x.attempt = fmt.Sprintf("%d-%d", x.number, x.attempts)
	x.phase, x.due = arriving, s.now+s.between(0, 20*time.Millisecond)
	x.tries, x.bound, x.resuming = 0, false, x.version != ""
	x.process = x.entry.started
}

// later has the caller come back, or give up.
func (x *stream) later(least, most time.Duration) {
	s := x.sim
	x.request++
	x.phase, x.due = away, s.now+s.between(least, most)
	if s.chance(0.05) {
		x.due = max(x.due, x.deadline+s.between(0, maxLate)-step)
	}
	if x.version == "" && x.due >= x.deadline || x.due > x.deadline+maxLate {
		x.phase = over
	}
}

// broken tells the caller that its connection is lost.
func (x *stream) broken() {
	if x.phase != over && x.phase != away {
		x.later(10*time.Millisecond, x.sim.shorter(3*time.Second))
	}
}

func (x *stream) step() {
	s := x.sim
	if s.now < x.due || x.phase == over || x.phase == calling {
		return
	}
	if x.phase == away {
		x.send()
		return
	}
	if x.entry.cancel == nil || x.process != x.entry.started {
		x.broken()
		return
	}
	if !x.entry.running() {
		if s.chance(0.01) {
			x.broken()
		}
		return
	}
	switch x.phase {
	case arriving:
		x.arrive()
	case queued:
		x.choose()
	case sent:
		x.answered()
	case flowing:
		x.flow()
	}
}

// arrive does what the relay does with a request.
func (x *stream) arrive() {
	s := x.sim
	if !x.entry.link.MayBegin(service) {
		s.counts["refused: record too old"]++
		x.later(time.Second, 2*time.Second)
		return
	}
	if !x.resuming {
		x.phase, x.due = queued, s.now+s.between(0, 200*time.Millisecond)
		if s.chance(0.1) {
			x.due = s.now + s.between(0, x.deadline-s.now)
		}
		return
	}
	named := x.first
	if s.chance(0.3) {
		named = ""
	}
	s.counts["resumptions"]++
	x.named = named != "" && s.now < x.deadline
	if x.named {
		s.counts["named"]++
	}
	x.phase = calling
	found := x.entry.link
	s.spawn(x, func(ctx context.Context, r *result) {
		finding := found.Find(ctx, named, service)
		r.finding = &finding
	})
}

// called continues after a call of the link.
func (x *stream) called(r result) {
	s := x.sim
	switch {
	case r.finding != nil && r.finding.Source == originlink.Unknown:
		s.counts["unknown"]++
		if x.named {
			s.counts["named, unknown"]++
			s.note("stream %d of %s is not found: %+v", x.number, x.version, r.finding)
		}
		x.later(time.Second, 2*time.Second)
	case r.finding != nil:
		x.found(r.finding)
	case r.err != nil:
		s.counts["not prepared"]++
		x.later(time.Second, 2*time.Second)
	default:
		x.phase, x.due = sent, s.now+s.between(5*time.Millisecond, s.shorter(2*time.Second))
	}
}

// found checks where a resumed stream goes on.
func (x *stream) found(f *originlink.Finding) {
	s := x.sim
	s.note("stream %d of %s is resumed at %s: %s %s, record %v of age %s, lost %t, revision %d", x.number, x.version, x.entry.peer.Name, f.Source, f.Origin.Version,
		f.Versions.Counted, f.Versions.Age, f.Versions.Lost, f.Versions.Revision)
	if f.Origin.Version != x.version {
		s.fail("stream %d began at %s and would go on at %s: %s at %s, record %v of age %s, revision %d", x.number, x.version, f.Origin.Version, f.Source, x.entry.peer.Name,
			f.Versions.Counted, f.Versions.Age, f.Versions.Revision)
		return
	}
	x.source, x.bound = f.Source, true
	s.counts["found: "+string(f.Source)]++
	x.phase, x.due = queued, s.now
}

// choose picks a server and prepares the attempt.
func (x *stream) choose() {
	s := x.sim
	if s.now >= x.deadline+maxLate || !x.resuming && s.now >= x.deadline {
		x.phase = over
		return
	}
	candidates := x.entry.candidates()
	if x.bound {
		candidates = slices.DeleteFunc(slices.Clone(x.entry.list.versions), func(version string) bool { return version != x.version })
	}
	if len(candidates) == 0 {
		if x.bound {
			s.counts["no server of the version"]++
			x.later(time.Second, 2*time.Second)
			return
		}
		x.due = s.now + s.between(step, time.Second)
		return
	}
	x.tries++
	x.tried = candidates[s.random.IntN(len(candidates))]
	origin := streamorigin.Origin{Service: service, Version: x.tried}
	attempt, number, ttl := x.attempt, x.tries, x.deadline-s.now+maxLate
	x.phase = calling
	prepared := x.entry.link
	s.spawn(x, func(ctx context.Context, r *result) {
		r.err = prepared.Record(ctx, attempt, origin, true, number, ttl)
	})
}

// answered is the first event of an attempt, or its failure.
func (x *stream) answered() {
	s := x.sim
	if s.now >= x.deadline && !x.resuming {
		x.phase = over
		return
	}
	if !s.platform.has(x.tried) || s.chance(0.2) {
		if x.tries >= maxTries {
			x.later(time.Second, 2*time.Second)
			return
		}
		x.phase, x.due = queued, s.now+s.between(0, 500*time.Millisecond)
		return
	}
	if x.resuming {
		s.counts["went on: "+string(x.source)]++
	} else {
		x.version, x.first = x.tried, x.attempt
		s.counts["began"]++
		s.note("stream %d begins at %s at %s, revision %d of age %s", x.number, x.version, x.entry.peer.Name, x.entry.follower.Revision(), x.entry.age())
	}
	x.phase, x.due = flowing, s.now+s.between(10*time.Millisecond, s.shorter(10*time.Second))
}

// flow ends the answer or breaks it.
func (x *stream) flow() {
	if x.sim.chance(0.7) {
		x.broken()
		return
	}
	x.entry.link.Ended(x.attempt)
	x.phase = over
}
