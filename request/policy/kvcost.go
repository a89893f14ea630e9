package policy

import (
	"math"
	"time"
)

const (
	// kvBase is the number of tokens whose transfer takes as long as the calls
	// of a move themselves; it stands for the fixed part of the time.
	kvBase = 400
	// kvNear and kvFar are the seconds for a token held, within a data centre and
	// between two, before any move was measured: 128 KB a token at 3 and 1 GB/s.
	kvNear = 0.00004
	kvFar  = 0.00013
	// kvLearn is the weight of one measured move: moves are few.
	kvLearn = 0.4
	// kvHalfLife is the time after which a measurement counts half, so that an
	// engine that moved badly once is tried again some day.
	kvHalfLife = 10 * time.Minute
	// kvWorst bounds one measurement, in times of the value before any.
	kvWorst = 50
)

// kvCost predicts what moving an answer by KV export and import takes, from
// the moves that this instance made, apart for moves between data centres.
type kvCost struct{ near, far kvRate }

func newKVCost() kvCost {
	return kvCost{near: kvRate{initial: kvNear}, far: kvRate{initial: kvFar}}
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
	// learned is the difference from initial that was measured, as of at.
	learned float64
	at      time.Time
}

// perToken is the rate now: what was measured fades to the initial value.
func (k *kvRate) perToken(now time.Time) float64 {
	age := max(now.Sub(k.at), 0)
	return k.initial + k.learned*math.Exp2(-age.Seconds()/kvHalfLife.Seconds())
}

// expect is the time to move the answer with so many tokens.
func (k *kvRate) expect(now time.Time, held float64) time.Duration {
	return time.Duration(k.perToken(now) * (held + kvBase) * float64(time.Second))
}

// measured takes in one move.
func (k *kvRate) measured(now time.Time, held float64, took time.Duration) {
	sample := min(max(took.Seconds(), 0)/(held+kvBase), kvWorst*k.initial)
	before := k.perToken(now)
	k.learned = before + kvLearn*(sample-before) - k.initial
	k.at = now
}
