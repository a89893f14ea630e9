package policy

import (
	"math"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// A burst beyond the capacity of the servers fills the queue faster than it drains. A request
// that waits for its whole target and then starts late is of no use: its caller had no answer in
// time, and it took the slot of a request that could still have been in time. While a pool is
// full, a request that will not start in time is therefore refused at once if its class is
// configured so, with the time after which to retry.

const (
	// fullAfter is how long requests must have waited for a slot until a pool counts as full: a
	// few load updates from other instances, so that a short gap in the updates does not count.
	fullAfter = 400 * time.Millisecond
	// startRateWindow is the time constant of the average start rate.
	startRateWindow = 2 * time.Second
	// maxQueueBound is the upper limit of the queue bound of a level, queueBoundDecrease the
	// factor applied to the queue length when a request was not started in time.
	maxQueueBound      = 256
	queueBoundDecrease = 0.7
)

// updateFullSince records, by position, since when requests have waited for a slot.
func (p *pool) updateFullSince(now time.Time) {
	waiting := false
	for position := range p.fullSince {
		count, _ := p.queue.LevelLen(model.Level(model.TierOf(position), model.RankOf(position)))
		waiting = waiting || count > 0
		switch since := &p.fullSince[position]; {
		case !waiting:
			*since = time.Time{}
		case since.IsZero():
			*since = now
		}
	}
}

// full reports whether requests at least as urgent as this one have waited for a slot for
// fullAfter. Less urgent ones do not count, since they take nothing from it.
func (p *pool) full(now time.Time, r *request) bool {
	since := p.fullSince[positionOf(r.class)]
	return !since.IsZero() && now.Sub(since) >= fullAfter
}

// observeStart records a start. One in the first half of the permitted wait raises the queue
// bound by one.
func (p *pool) observeStart(now time.Time, r *request, s *server) {
	p.startRate += 1 / startRateWindow.Seconds()
	p.laneStartRates[s.lane] += 1 / startRateWindow.Seconds()
	bound := &p.queueBounds[queueLevel(r.class)]
	if now.Sub(r.item.Arrived) < r.item.Due.Sub(now) {
		*bound = min(*bound+1, maxQueueBound)
	}
}

// observeMissedStart records that a request of the level did not start in time, and lowers the
// queue bound.
func (p *pool) observeMissedStart(level int) {
	waiting, _ := p.queue.LevelLen(level)
	p.queueBounds[level] = max(queueBoundDecrease*min(p.queueBounds[level], float64(waiting)), 1)
}

// queueBoundReached reports whether as many requests of the level wait as can start in time.
func (p *pool) queueBoundReached(level int) bool {
	waiting, late := p.queue.LevelLen(level)
	return float64(waiting-late) >= p.queueBounds[level]
}

// decayStartRates applies one slowTick of exponential decay to the start rates.
func (p *pool) decayStartRates() {
	keep := math.Exp(-slowTick.Seconds() / startRateWindow.Seconds())
	p.startRate *= keep
	for l := range p.laneStartRates {
		p.laneStartRates[l] *= keep
	}
}

// expectedStartWait returns the time until the request would start, from the start rate and the
// requests ahead of it.
func (p *pool) expectedStartWait(r *request) time.Duration {
	before := float64(p.queue.Ahead(&r.item) + 1)
	return number.Seconds(before / max(p.startRate, 1))
}

// refuseWhenFull refuses an arrival that would not start in time in a full pool, unless it is
// within the guaranteed share of its class. This does not violate the order of tiers: only
// requests at least as urgent count as ahead of it, and no less urgent request gets its slot.
func (c *core) refuseWhenFull(now time.Time, r *request) bool {
	p := r.pool
	if p.closedByLimits() {
		c.endShort(now, r, CheckRates, lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, limitedMessage, c.jitter(minRetryAfter))
		return true
	}
	if r.class.GetLate() != lilacv1.LatePolicy_LATE_POLICY_RUN_WITH_ROOM || r.item.Guaranteed || r.returned || !p.full(now, r) {
		return false
	}
	wait := p.expectedStartWait(r)
	if now.Add(wait).Before(r.item.Due) && (!p.queueBoundReached(queueLevel(r.class)) || c.yieldTo(now, r)) {
		return false
	}
	c.endOverloaded(now, r, CheckStart, c.jitter(min(max(wait, minRetryAfter), maxRetryAfter)))
	return true
}
