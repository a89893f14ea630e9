package policy

import (
	"math"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// A burst beyond what the servers can do fills the queue faster than it drains. A
// request that waits its whole target and starts late then serves nobody: its
// caller had no answer in time, and the server's place went to it in place of one
// that could still be in time. So while a pool is full, a request that will not
// start in time is refused at once where its class's setting says so, and its caller
// is told when to come back.

const (
	// fullAfter is how long requests wait for room until a pool counts as full: a
	// few words of other instances' loads, so that a moment's lack of news is none.
	fullAfter = 400 * time.Millisecond
	// startsFor is the time over which the rate of starts is averaged.
	startsFor = 2 * time.Second
	// boundMost is the most that may wait of one level, boundCut what is left of the
	// number after one waited in vain.
	boundMost = 256
	boundCut  = 0.7
)

// noteRoom remembers since when requests wait for want of room, by place.
func (p *pool) noteRoom(now time.Time) {
	waiting := false
	for place := range p.fullSince {
		count, _ := p.queue.LevelLen(model.Level(model.TierOf(place), model.RankOf(place)))
		waiting = waiting || count > 0
		switch since := &p.fullSince[place]; {
		case !waiting:
			*since = time.Time{}
		case since.IsZero():
			*since = now
		}
	}
}

// full tells whether requests as urgent as this one, or more, have waited for room for some
// time. Less urgent ones that wait take nothing from it.
func (p *pool) full(now time.Time, r *request) bool {
	since := p.fullSince[placeOf(r.class)]
	return !since.IsZero() && now.Sub(since) >= fullAfter
}

// noteStart takes in a start: where it came in good time, one more may wait.
func (p *pool) noteStart(now time.Time, r *request, s *server) {
	p.starts += 1 / startsFor.Seconds()
	p.laneStarts[s.lane] += 1 / startsFor.Seconds()
	bound := &p.bound[queueLevel(r.class)]
	if now.Sub(r.item.Arrived) < r.item.Due.Sub(now) {
		*bound = min(*bound+1, boundMost)
	}
}

// noteMiss takes in that a request of the level waited in vain: fewer may wait.
func (p *pool) noteMiss(level int) {
	waiting, _ := p.queue.LevelLen(level)
	p.bound[level] = max(boundCut*min(p.bound[level], float64(waiting)), 1)
}

// crowded tells whether as many requests of the level wait as start in time.
func (p *pool) crowded(level int) bool {
	waiting, late := p.queue.LevelLen(level)
	return float64(waiting-late) >= p.bound[level]
}

// fadeStarts lets the rate follow the last seconds.
func (p *pool) fadeStarts() {
	keep := math.Exp(-slowTick.Seconds() / startsFor.Seconds())
	p.starts *= keep
	for l := range p.laneStarts {
		p.laneStarts[l] *= keep
	}
}

// startsIn is when the request would start, by the rate at which requests start
// now and those that go before it.
func (p *pool) startsIn(r *request) time.Duration {
	before := float64(p.queue.Before(&r.item) + 1)
	return time.Duration(before / max(p.starts, 1) * float64(time.Second))
}

// turnAway refuses an arrival that would not start in time in a full pool, unless
// it is within its class's guaranteed share. It takes nobody's place and nobody less
// urgent takes its place: only what is as urgent or more counts before it.
func (c *core) turnAway(now time.Time, r *request) bool {
	p := r.pool
	if p.closedByLimits() {
		c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, limitedMessage, c.jitter(minRetryAfter))
		return true
	}
	if r.class.GetLate() != lilacv1.LatePolicy_LATE_POLICY_RUN_WITH_ROOM || r.item.Guaranteed || !p.full(now, r) {
		return false
	}
	wait := p.startsIn(r)
	if now.Add(wait).Before(r.item.Due) && !p.crowded(queueLevel(r.class)) {
		return false
	}
	c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, overloadMessage, c.jitter(min(max(wait, minRetryAfter), maxRetryAfter)))
	return true
}
