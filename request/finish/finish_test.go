package finish

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

var epoch = time.Unix(0, 0)

// An answer that its caller's limit cuts off must not start, however early its first token.
func TestAnswersAreJudgedByTheirEnd(t *testing.T) {
	is := is.New(t)
	spread := NewSpread()
	budget := Budget{First: 2 * time.Second, End: 10 * time.Second}
	answer := Expectation{First: time.Second, Gap: 40 * ms, Tokens: 120}
	is.Equal(Judge(answer, budget, spread), OnTime)
	answer.Tokens = 300
	is.Equal(Judge(answer, budget, spread), TooLate)
	is.Equal(Judge(answer, Budget{First: 2 * time.Second, Unlimited: true}, spread), OnTime)
	answer = Expectation{First: 3 * time.Second, Gap: 10 * ms, Tokens: 120}
	is.Equal(Judge(answer, budget, spread), Late)
	answer.Gap = 35 * ms
	is.Equal(Judge(answer, budget, spread), TooLate) // a late answer must be likely to end in time
}

// While a server reads prompts, tokens come several times slower than the batch alone would allow.
func TestEndCountsTheTimeThatTheServerReads(t *testing.T) {
	is := is.New(t)
	answer := Expectation{First: time.Second, Gap: 5 * ms, BusyGap: 50 * ms, Tokens: 100}
	is.Equal(answer.End(), 1500*ms)
	answer.Busy = 2 * time.Second
	is.Equal(answer.End(), 3300*ms) // 40 tokens in 2 s, 60 in 300 ms
	answer.Busy = time.Minute
	is.Equal(answer.End(), 6*time.Second)
}

// Hints are right at the median only: margins come from the observed spread.
func TestSpreadLearnsItsQuantiles(t *testing.T) {
	is := is.New(t)
	spread, random := NewSpread(), rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		spread.Observe(time.Second, time.Duration((1+random.Float64())*float64(time.Second)))
	}
	answer := Expectation{First: time.Second}
	is.True(spread.Even(answer) > 1350*ms && spread.Even(answer) < 1650*ms)
	is.True(spread.Likely(answer) > 1650*ms && spread.Likely(answer) < 1950*ms)
	spread.Observe(0, time.Second) // nothing was expected of it
}

// Refused callers that return at the same moment are the next burst.
func TestRefusedCallersReturnInOrderAndSpread(t *testing.T) {
	is := is.New(t)
	r, last := NewReturns(), time.Duration(0)
	for i := range 10 {
		now := epoch.Add(time.Duration(i) * ms)
		after := r.Assign(now, fmt.Sprint(i), 500*ms, time.Second, 9*time.Second, 10, 0)
		at := now.Add(after).Sub(epoch)
		is.True(at >= 500*ms && at >= last+100*ms)
		last = at
	}
	is.True(r.Redeem(epoch.Add(600*ms), "1"))
	is.True(!r.Redeem(epoch.Add(600*ms), "1")) // a promise counts once
}

// A caller whose turn comes after it stops waiting must not hold back the others, and one that
// returns much later than told is like any other.
func TestPromisesAreBounded(t *testing.T) {
	is := is.New(t)
	r := NewReturns()
	is.Equal(r.Assign(epoch, "short", 2*time.Second, 0, 3*time.Second, 10, 0), 2*time.Second)
	is.True(!r.Redeem(epoch.Add(2*time.Second), "short"))
	is.Equal(r.Assign(epoch, "hopeless", time.Second, 9*time.Second, 9*time.Second, 10, 0), 9*time.Second)
	is.True(!r.Redeem(epoch.Add(9*time.Second), "hopeless"))
	is.Equal(r.Assign(epoch, "long", 200*ms, time.Second, 9*time.Second, 10, 0), 200*ms)
	is.True(!r.Redeem(epoch.Add(time.Minute), "long"))
	for i := range 2 * maxPromises {
		r.Assign(epoch, fmt.Sprint(i), 0, 0, time.Hour, 1e6, 0)
	}
	is.Equal(len(r.promised), maxPromises)
}

// Long prompts are the first to miss their time: without a count of their own, the largest tenth of
// a class would get nothing in a long overload.
func TestLargestTenthIsOwedService(t *testing.T) {
	is := is.New(t)
	var served Served
	for i := range 2000 {
		tokens := 1000 + float64(i%10)*1000
		served.Record(tokens, 1, tokens < 10000 || served.Owed(tokens))
		served.Decay(0.005)
	}
	is.True(!served.Owed(1000))
	is.True(served.tenth.rate() >= 0.5*served.all.rate())
}

// The histogram of actual over expected durations has every answer in one bucket at most.
func TestAccuracyCountsAnswers(t *testing.T) {
	is := is.New(t)
	var a Accuracy
	for _, actual := range []time.Duration{100 * ms, time.Second, 3 * time.Second, 9 * time.Second} {
		a.Observe(time.Second, actual)
	}
	is.Equal(a.Count, uint64(4))
	is.Equal(a.Buckets, [len(AccuracyBounds)]uint64{1, 0, 0, 1, 0, 0, 1})
}

// A caller that returns to another instance has no promise there, and must not be refused again.
func TestReturnedCallersAreKnownByTheirTimeLeft(t *testing.T) {
	is := is.New(t)
	var usual UsualLimit
	for i := range 200 {
		is.True(!usual.Observe(10 * time.Second))
		if i%5 == 0 {
			is.True(usual.Observe(8 * time.Second))
		}
	}
	usual.Observe(time.Minute)
	is.True(!usual.Observe(10 * time.Second)) // one caller with much time does not change the others
}

// Guards against an answer that starts although it can't end in time, since its time was too long
// to be represented and passed for a short one.
func TestAnswerTooLongToBeTimedIsTooLate(t *testing.T) {
	is := is.New(t)
	const mostTokens = 1 << 30
	budget := Budget{First: 2 * time.Second, End: 10 * time.Second}
	answer := Expectation{First: time.Second, Gap: 20 * time.Second, Tokens: mostTokens}
	is.Equal(Judge(answer, budget, NewSpread()), TooLate)
	answer.Busy, answer.BusyGap = time.Second, 30*time.Second
	is.Equal(Judge(answer, budget, NewSpread()), TooLate)
}
