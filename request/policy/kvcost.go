package policy

import (
	"math"
	"time"
)

const (
	// kvFixedTokens is the number of tokens whose transfer takes as long as the calls
	// of a move themselves; it stands for the fixed part of the time.
	kvFixedTokens = 400
	// kvNearPerToken and kvFar are the seconds for a token held, within a data centre and
	// between two, before any move was measured: 128 KB a token at 3 and 1 GB/s.
	kvNearPerToken = 0.00004
	kvFarPerToken  = 0.00013
	// kvSampleWeight is the weight of one measured move: moves are few.
	kvSampleWeight = 0.4
	// kvHalfLife is the time after which a measurement counts half, so that an
	// engine that moved badly once is tried again some day.
	kvHalfLife = 10 * time.Minute
	// kvMaxSampleRatio bounds one measurement, in times of the value before any.
	kvMaxSampleRatio = 50
)

// kvCost predicts what moving an answer by KV export and import takes, from
// the moves that this instance made, apart for moves between data centres.
type kvCost struct{ near, far kvRate }

func newKVCost() kvCost {
	return kvCost{near: kvRate{initial: kvNearPerToken}, far: kvRate{initial: kvFarPerToken}}
}

// rate returns what fits a move between the two servers. The cache goes through
// this instance, so one remote end makes the move a remote one.
func (k *kvCost) rate(from, to *server) *kvRate {
	if from.remote || to.remote {
		return &k.far
	}
	return &k.near
}

// kvRate is seconds for a token held.
type kvRate struct {
	initial float64
	// offset is the difference from initial that was measured, as of at.
	offset float64
	at     time.Time
}

// perToken is the rate now: what was measured fades to the initial value.
func (k *kvRate) perToken(now time.Time) float64 {
	age := max(now.Sub(k.at), 0)
	return k.initial + k.offset*math.Exp2(-age.Seconds()/kvHalfLife.Seconds())
}

// expect is the time to move the answer with so many tokens.
func (k *kvRate) expect(now time.Time, held float64) time.Duration {
	return time.Duration(k.perToken(now) * (held + kvFixedTokens) * float64(time.Second))
}

// observe takes in one move.
func (k *kvRate) observe(now time.Time, held float64, took time.Duration) {
	sample := min(max(took.Seconds(), 0)/(held+kvFixedTokens), kvMaxSampleRatio*k.initial)
	previous := k.perToken(now)
	k.offset = previous + kvSampleWeight*(sample-previous) - k.initial
	k.at = now
}
