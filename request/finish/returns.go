package finish

import (
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
)

const (
	// maxPromises bounds the promises that are kept, the oldest are dropped first.
	maxPromises = 4096
	// promiseGrace is how long after its time a promise counts: callers return a little late.
	promiseGrace = time.Second
	// honoredShare is the part of the time that they have left for which callers wait.
	honoredShare = 3
	// minReturn is the shortest time after which a refused caller returns.
	minReturn = 100 * time.Millisecond
)

// Returns assigns the times at which refused callers of one kind return: once there is room, one
// after the other, who was refused first before the others. It remembers who was told to return.
type Returns struct {
	last     time.Time
	promised map[string]time.Time
	order    []promise
}

type promise struct {
	caller string
	at     time.Time
}

// NewReturns returns an empty table.
func NewReturns() *Returns { return &Returns{promised: make(map[string]time.Time)} }

// Assign returns after what time the caller should return. The room is expected after drain, and
// from then on takes perSecond callers; jitter, 0 to 1, spreads the callers of several instances
// over the interval between two of them. need is what the answer takes with nothing ahead of it, and
// left the caller's time. A caller whose turn comes later than it is willing to wait, or too late for
// its answer, gets that time but no promise, since it would be refused again.
func (r *Returns) Assign(now time.Time, caller string, drain, need, left time.Duration, perSecond, jitter float64) time.Duration {
	interval := number.Duration(float64(time.Second) / max(perSecond, 1))
	at := now.Add(max(drain, minReturn))
	if next := r.last.Add(interval); next.After(at) {
		at = next
	}
	after := at.Sub(now) + number.Duration(jitter*float64(interval))
	if after+need > left {
		return max(after, left)
	}
	if after > left/honoredShare {
		return after
	}
	r.last = at
	r.promise(now, caller, now.Add(after))
	return after
}

func (r *Returns) promise(now time.Time, caller string, at time.Time) {
	r.expire(now)
	if len(r.order) == maxPromises {
		r.drop()
	}
	r.promised[caller] = at
	r.order = append(r.order, promise{caller, at})
}

func (r *Returns) expire(now time.Time) {
	for len(r.order) > 0 && now.Sub(r.order[0].at) > promiseGrace {
		r.drop()
	}
}

func (r *Returns) drop() {
	if first := r.order[0]; r.promised[first.caller].Equal(first.at) {
		delete(r.promised, first.caller)
	}
	r.order = r.order[1:]
}

// Redeem reports whether the caller was told to return about now, and ends the promise.
func (r *Returns) Redeem(now time.Time, caller string) bool {
	r.expire(now)
	_, promised := r.promised[caller]
	delete(r.promised, caller)
	return promised
}

const (
	// usualQuantile is the quantile of the time limits of a class's callers that counts as usual: the
	// others may have returned.
	usualQuantile = 0.9
	// limitStep is the relative step by which one caller moves the usual limit.
	limitStep = 0.04
	// returnedShare is the part of the usual limit below which a caller counts as one that returns.
	returnedShare = 0.9
)

// UsualLimit learns the time limit with which the callers of a class start. A caller that returns to
// another instance than the one that refused it has less time left.
type UsualLimit struct{ seconds float64 }

// Observe records the time that a caller has left, and reports whether it has probably returned.
func (u *UsualLimit) Observe(left time.Duration) bool {
	if u.seconds == 0 {
		u.seconds = left.Seconds()
	}
	u.seconds = quantileStep(u.seconds, left.Seconds(), limitStep, usualQuantile)
	return left.Seconds() < returnedShare*u.seconds
}
