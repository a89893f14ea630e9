package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	epoch = time.Unix(1_700_000_000, 0)
	bound = Bound{Share: 0.1, Extra: 20, Window: 10 * time.Second}
)

func TestBudgetAllowsABurstAndThenItsShare(t *testing.T) {
	is := is.New(t)
	b := New(bound)
	b.SetPart(21, false)
	taken := 0
	for request := range 1000 {
		b.Earn()
		for range 40 {
			if g := b.Take(epoch, 0); g != nil {
				b.Use(epoch, g)
				taken++
			}
		}
		is.True(float64(taken) <= 21+0.1*float64(request+1))
	}
	// 10 extra ones and 0.09 for each request.
	is.True(taken >= 99 && taken <= 100)
}

func TestExtraRetriesReturnAfterTheWindow(t *testing.T) {
	is := is.New(t)
	b := New(bound)
	b.SetPart(21, false)
	use := func(now time.Time) (used int) {
		for g := b.Take(now, 0); g != nil; g = b.Take(now, 0) {
			b.Use(now, g)
			used++
		}
		return used
	}
	is.Equal(use(epoch), 10)
	is.Equal(use(epoch.Add(bound.Window)), 0)
	is.Equal(use(epoch.Add(bound.Window+arrivalDelay)), 10)
}

func TestUnusedGrantIsReturned(t *testing.T) {
	is := is.New(t)
	b := New(bound)
	b.SetPart(2, false)
	for range 20 {
		b.Earn()
	}
	before := b.Left(epoch)
	g := b.Take(epoch, 0)
	is.Equal(b.Take(epoch, 1), nil) // one is left, and one must remain
	b.Return(g)
	is.Equal(b.Left(epoch), before)
}

// Guards against retries that wait long before they reach a server and are then counted in a
// window in which the instance made as many others.
func TestGrantsThatWaitCountInTheWindowOfTheirUse(t *testing.T) {
	is := is.New(t)
	b := New(bound)
	b.SetPart(21, false)
	for range 1000 {
		b.Earn()
	}
	var waiting []*Grant
	for g := b.Take(epoch, 0); g != nil; g = b.Take(epoch, 0) {
		waiting = append(waiting, g)
	}
	later := epoch.Add(3 * bound.Window)
	for range 1000 {
		b.Earn()
	}
	used := len(waiting)
	for g := b.Take(later, 0); g != nil; g = b.Take(later, 0) {
		waiting = append(waiting, g)
	}
	is.True(used >= 18)
	is.True(len(waiting) <= 21)
}

// Guards against processes that use the part of their instance again after a restart.
func TestRestartedProcessesStayWithinThePart(t *testing.T) {
	for _, part := range []float64{1, 2, 7.7, 50} {
		is := is.New(t)
		used := 0
		for _, starting := range []bool{false, true} {
			b := New(bound)
			b.SetPart(part, starting)
			for range 1000 {
				if !starting {
					b.Earn()
				}
			}
			for g := b.Take(epoch, 0); g != nil; g = b.Take(epoch, 0) {
				b.Use(epoch, g)
				used++
			}
		}
		is.True(float64(used) <= part)
	}
}

// usage is what several budgets did.
type usage struct{ requests, retries []time.Time }

func (u *usage) count(times []time.Time, from, to time.Time) (n int) {
	for _, at := range times {
		if !at.Before(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// Guards against budgets that keep to their parts and exceed the bound together, with grants that
// wait, are returned, lent or lost with their process.
func TestBudgetsTogetherStayWithinTheBound(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		limit := Bound{Share: 0.2, Extra: float64(5 + random.IntN(60)), Window: 10 * time.Second}
		n := 1 + random.IntN(int(limit.Extra))
		budgets, waiting := make([]*Budget, n), make([][]*Grant, n)
		startedAt := make([]time.Time, n)
		for i := range budgets {
			budgets[i] = New(limit)
		}
		part := limit.Extra / float64(n)
		var all usage
		lent := 0
		now := epoch
		for range 4000 {
			now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			i := random.IntN(n)
			b := budgets[i]
			b.SetPart(part, now.Sub(startedAt[i]) < limit.Window+LoanTerm)
			switch action := random.IntN(23); {
			case action < 8:
				all.requests = append(all.requests, now)
				b.Earn()
			case action < 13:
				if g := b.Take(now, 0); g != nil {
					waiting[i] = append(waiting[i], g)
				}
			case action < 18 && len(waiting[i]) > 0:
				g := waiting[i][0]
				waiting[i] = waiting[i][1:]
				if g.Expired(now) {
					b.Return(g)
					continue
				}
				all.retries = append(all.retries, now)
				b.Use(now, g)
			case action == 18 && len(waiting[i]) > 0:
				b.Return(waiting[i][0])
				waiting[i] = waiting[i][1:]
			case action == 19 && now.Sub(startedAt[i]) > limit.Window+LoanTerm:
				budgets[i], waiting[i], startedAt[i] = New(limit), nil, now
			case action >= 20 && n > 1:
				askedAt := now.Add(-time.Duration(random.IntN(100)) * time.Millisecond)
				count := budgets[(i+1)%n].Lend(now, 1+random.IntN(3))
				b.Borrow(askedAt, count)
				lent += count
			}
		}
		for _, from := range all.retries {
			to := from.Add(limit.Window)
			retries, requests := all.count(all.retries, from, to), all.count(all.requests, from, to)
			if allowed := limit.Share*float64(requests) + limit.Extra; float64(retries) > allowed {
				t.Fatalf("seed %d: %d retries in a window of %d requests, %.1f allowed", seed, retries, requests, allowed)
			}
		}
		if n > 1 && lent == 0 {
			t.Errorf("seed %d: nothing was lent", seed)
		}
	}
}

// Guards against a loan that the lender counts no longer while the borrower still uses it.
func TestLoanEndsAtTheBorrowerFirst(t *testing.T) {
	is := is.New(t)
	lender, borrower := New(bound), New(bound)
	lender.SetPart(4, false)
	count := lender.Lend(epoch.Add(30*time.Millisecond), 9)
	is.True(count >= 1)
	borrower.Borrow(epoch, count)
	waiting := borrower.Take(epoch.Add(time.Second), 0)
	is.True(!waiting.Expired(epoch.Add(time.Second)))
	is.True(waiting.Expired(epoch.Add(LoanTerm - loanMargin)))
	is.Equal(borrower.Take(epoch.Add(LoanTerm), 0), nil)
	termEnds := epoch.Add(LoanTerm + 30*time.Millisecond)
	is.Equal(lender.Lend(termEnds, 9), 0) // used from the lender's view
	is.Equal(lender.Lend(termEnds.Add(bound.Window), 9), 0)
	is.Equal(lender.Lend(termEnds.Add(bound.Window+arrivalDelay), 9), count)
}
