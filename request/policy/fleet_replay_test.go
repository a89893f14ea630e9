package policy

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// largeFleetKinds is the load of a workshop whose teams differ in priority, on 48 engines of
// 12 slots, which do it with a third of them.
func largeFleetKinds() []requestKind {
	var kinds []requestKind
	for tier, share := range []float64{0.2, 0.6, 0.2} {
		class := func(name string, rank, first, between uint32) *lilacv1.Class {
			return &lilacv1.Class{
				Name: name + string(rune('0'+tier)), Tier: uint32(tier), Rank: rank, FirstTokenMs: first, BetweenTokensMs: between,
				MaxAttempts: 1, Late: withRoom, SharePermille: 22,
			}
		}
		kinds = append(kinds,
			requestKind{class: class("query", 0, 400, 25), perSecond: 31 * share, shared: 200, own: 630, subjects: 330, answer: 290, deadline: 10 * time.Second},
			requestKind{class: class("scan", 1, 600, 40), perSecond: 110 * share, shared: 570, own: 1800, subjects: 1100, answer: 22, deadline: 3 * time.Second},
			requestKind{class: class("note", 2, 2000, 100), perSecond: 72 * share, shared: 5400, own: 6600, subjects: 260, answer: 380, deadline: 12 * time.Second},
		)
	}
	return kinds
}

var largeFleetSpeed = engineSpeed{step: 3 * ms, perRequest: 120 * time.Microsecond, prefill: 11 * time.Microsecond, fixed: 60 * ms}

// rankTally sums up the kinds of a rank.
func (r *replay) rankTally(rank uint32, from, to time.Duration) (sum tally) {
	for kind, k := range r.kinds {
		if k.class.GetRank() == rank {
			t := r.tally(kind, from, to)
			sum.arrived, sum.inTime, sum.unanswered, sum.started = sum.arrived+t.arrived, sum.inTime+t.inTime, sum.unanswered+t.unanswered, sum.started+t.started
		}
	}
	return sum
}

// priorityInversions counts the requests that were put back while a less urgent kind ran on.
func (r *replay) priorityInversions() (count int) {
	for _, e := range r.engines {
		count += e.priorityInversions
	}
	return count
}

// firstSeed is added to a replay's seeds: the number in FIRST_SEED, for runs by hand.
func firstSeed(t *testing.T) uint64 {
	text := os.Getenv("FIRST_SEED")
	if text == "" {
		return 0
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	is.New(t).NoErr(err)
	return seed
}

// checkUrgent checks that few queries and scans of any five seconds got nothing, and that few
// were put back while a less urgent kind ran on.
func (r *replay) checkUrgent(is *is.I) {
	is.Helper()
	for from := 2 * time.Second; from+5*time.Second <= 14*time.Second; from += time.Second {
		for rank := range uint32(2) {
			span := r.rankTally(rank, from, from+5*time.Second)
			is.True(span.unanswered < 10 || span.unanswered*12 <= span.arrived)
		}
	}
	is.True(r.priorityInversions() < 10)
}

func runLargeFleet(seed uint64, length time.Duration, loadFactor func(time.Duration) float64) *replay {
	r := newReplay(seed, 24, 16, 12, largeFleetSpeed, largeFleetKinds()).withBoards()
	r.callersRetry = true
	r.run(length, loadFactor)
	return r
}

// Three times the traffic came to a large fleet before engines of few slots. Queries and
// scans waited beside engines with room and got nothing while notes, ten times as long,
// began; or they were put back for them.
func TestUrgentRequestsAreServedInALargeFleet(t *testing.T) {
	for seed := range uint64(2) {
		is := is.New(t)
		r := runLargeFleet(seed, 15*time.Second, surge(3))
		r.checkUrgent(is)
		notes := r.rankTally(2, 2*time.Second, 12*time.Second)
		is.True(notes.unanswered < notes.arrived) // the least urgent kind isn't shut out
	}
}

// Four times the traffic: a quarter to a third of the scans got nothing in five seconds,
// while notes began.
func TestUrgentRequestsAreServedInALargeFleetAtFourTimes(t *testing.T) {
	for seed := range uint64(4) {
		runLargeFleet(firstSeed(t)+seed, 15*time.Second, surge(4)).checkUrgent(is.New(t))
	}
}

// Five times: more than half of the scans got nothing.
func TestUrgentRequestsAreServedInALargeFleetAtFiveTimes(t *testing.T) {
	for seed := range uint64(4) {
		runLargeFleet(firstSeed(t)+seed, 15*time.Second, surge(5)).checkUrgent(is.New(t))
	}
}

// With the usual traffic everything is served, in a large fleet too, and in time once its
// engines are learned.
func TestALargeFleetServesItsUsualLoad(t *testing.T) {
	is := is.New(t)
	r := runLargeFleet(3, 10*time.Second, steady)
	for rank := range uint32(3) {
		is.Equal(r.rankTally(rank, 0, 8*time.Second).unanswered, 0)
		warm := r.rankTally(rank, 3*time.Second, 8*time.Second)
		is.True(warm.inTime*10 >= warm.arrived*9)
	}
}

// The same from the first second on: while engines are not learned yet, queries pause for too
// long beside other prompts.
func TestALargeFleetServesItsUsualLoadWhileCold(t *testing.T) {
	is := is.New(t)
	r := runLargeFleet(3, 10*time.Second, steady)
	for rank := range uint32(3) {
		all := r.rankTally(rank, time.Second, 8*time.Second)
		is.Equal(all.unanswered, 0)
		is.True(all.inTime*10 >= all.arrived*9)
	}
}

// In the first second scans, which bear longer pauses, were taken for answers with short ones by
// an estimate from one sample, and filled the queries' lane.
func TestALargeFleetServesItsUsualLoadInItsFirstSecond(t *testing.T) {
	is := is.New(t)
	r := runLargeFleet(7+firstSeed(t), 3*time.Second, steady)
	for rank := range uint32(3) {
		all := r.rankTally(rank, 0, time.Second)
		is.Equal(all.unanswered, 0)
		is.True(all.inTime*10 >= all.arrived*9)
	}
}
