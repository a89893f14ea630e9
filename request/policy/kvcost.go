package policy

import (
	"math"
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
)

const (
	// kvFixedTokens expresses the fixed time of a move, that of its calls, in tokens.
	kvFixedTokens = 400
	// kvNearPerToken and kvFarPerToken are the initial estimates of the time for one token, in
	// seconds, within a region and between two: 128 KB a token at 3 and 1 GB/s.
	kvNearPerToken = 0.00004
	kvFarPerToken  = 0.00013
	// kvSampleWeight is the weight of one measured move. It is high since moves are rare.
	kvSampleWeight = 0.4
	// kvHalfLife is the time in which a measurement loses half of its weight, so that moves are
	// tried again after a bad one.
	kvHalfLife = 10 * time.Minute
	// kvMaxSampleRatio bounds one measurement, relative to the initial estimate.
	kvMaxSampleRatio = 50
)

// kvCost predicts the time to move an answer by KV export and import from the moves that this
// instance made, separately for moves within the region and others.
type kvCost struct{ near, far kvRate }

func newKVCost() kvCost {
	return kvCost{near: kvRate{initial: kvNearPerToken}, far: kvRate{initial: kvFarPerToken}}
}

// rate returns the estimate that applies to a move between the two servers. The cache passes
// through this instance, so one remote server makes the move a remote one.
func (k *kvCost) rate(from, to *server) *kvRate {
	if from.remote || to.remote {
		return &k.far
	}
	return &k.near
}

// kvRate estimates the time to move one token, in seconds.
type kvRate struct {
	initial float64
	// offset is the learned difference from initial, as of at.
	offset float64
	at     time.Time
}

// perToken returns the current estimate. The learned offset decays over time.
func (k *kvRate) perToken(now time.Time) float64 {
	age := max(now.Sub(k.at), 0)
	return k.initial + k.offset*math.Exp2(-age.Seconds()/kvHalfLife.Seconds())
}

// expect returns the expected time to move an answer with so many tokens held.
func (k *kvRate) expect(now time.Time, held float64) time.Duration {
	return number.Seconds(k.perToken(now) * (held + kvFixedTokens))
}

// observe records the time that a move took.
func (k *kvRate) observe(now time.Time, held float64, took time.Duration) {
	sample := min(max(took.Seconds(), 0)/(held+kvFixedTokens), kvMaxSampleRatio*k.initial)
	previous := k.perToken(now)
	k.offset = previous + kvSampleWeight*(sample-previous) - k.initial
	k.at = now
}
