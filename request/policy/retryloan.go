package policy

import (
	"slices"
	"time"
)

// The parts of a large fleet are small, and a server that fails takes many requests of one
// instance with it. An instance without a retry for a failed request asks a few others for one,
// and the request waits for their answers.

const (
	// asksPerRequest is how many others are asked for each request that waits, up to maxAsked:
	// some have none left.
	asksPerRequest = 2
	maxAsked       = 16
	// maxLoan is how many retries an instance lends at most when asked.
	maxLoan = 4
	// loanWait is how long a request waits for a loan: several times the latency between regions.
	loanWait = 150 * time.Millisecond
	// minLoanPause and maxLoanPause bound the pause after a round in which nobody had any left.
	// It doubles with each further one.
	minLoanPause = 250 * time.Millisecond
	maxLoanPause = 2 * time.Second
)

// BorrowRetries tells the shell to ask other instances for retries, each for the wanted number,
// and to report each answer by a RetriesBorrowed event.
type BorrowRetries struct {
	Pool   string
	From   []Instance
	Wanted int
}

func (BorrowRetries) action() {}

// RetriesBorrowed reports how many retries another instance has lent; 0 if it has none left or did
// not answer.
type RetriesBorrowed struct {
	Pool  string
	Count int
	// AskedAt is a time before the request for the loan was sent.
	AskedAt time.Time
}

func (RetriesBorrowed) event() {}

// borrower is a failed request that waits for a loan.
type borrower struct {
	request *request
	until   time.Time
}

// retryLoans is the state of borrowing for one pool.
type retryLoans struct {
	// waiting are in the order in which they are served.
	waiting []borrower
	// unanswered counts the instances asked that did not answer yet. Their answers are awaited
	// until roundEnds.
	unanswered int
	roundEnds  time.Time
	// lent is true if one of the instances asked last had any left.
	lent bool
	// pause is the length of the last pause, which ended or ends at pausedUntil.
	pause       time.Duration
	pausedUntil time.Time
}

// awaitLoan makes a failed request wait for a borrowed retry, and reports whether it does.
func (c *core) awaitLoan(now time.Time, r *request) bool {
	loans, until := &r.pool.retryLoans, now.Add(loanWait)
	if !c.fleet.anyLive() || now.Before(loans.pausedUntil) || !r.Deadline.IsZero() && !until.Before(r.Deadline) {
		return false
	}
	// The more urgent go first, and of one position those that can still be in time.
	i := slices.IndexFunc(loans.waiting, func(b borrower) bool { return r.retriedBefore(b.request, now) })
	if i < 0 {
		i = len(loans.waiting)
	}
	loans.waiting = slices.Insert(loans.waiting, i, borrower{r, until})
	return true
}

// retriedBefore reports whether a retry goes to the request rather than to the other one.
func (r *request) retriedBefore(other *request, now time.Time) bool {
	position, otherPosition := positionOf(r.class), positionOf(other.class)
	if position != otherPosition {
		return position < otherPosition
	}
	return r.slack(now) > 0 && other.slack(now) <= 0
}

// askForLoans asks other instances for as many retries as requests wait, unless a round is open.
func (c *core) askForLoans(now time.Time, p *pool) {
	loans := &p.retryLoans
	waiting := len(loans.waiting)
	if waiting == 0 || loans.unanswered > 0 && now.Before(loans.roundEnds) {
		return
	}
	from := c.fleet.sample(c.random, min(asksPerRequest*waiting, maxAsked))
	if len(from) == 0 {
		c.denyBorrowers(now, p, func(borrower) bool { return true })
		return
	}
	loans.unanswered, loans.lent, loans.roundEnds = len(from), false, now.Add(loanWait)
	c.emit(BorrowRetries{Pool: p.name, From: from, Wanted: min((waiting+len(from)-1)/len(from), maxLoan)})
}

func (c *core) retriesBorrowed(now time.Time, e RetriesBorrowed) {
	p := c.pools[e.Pool]
	if p == nil {
		return
	}
	loans := &p.retryLoans
	loans.unanswered = max(loans.unanswered-1, 0)
	if e.Count > 0 {
		loans.lent, loans.pause = true, 0
		p.retryBudget.Borrow(e.AskedAt, e.Count)
		p.retries.Borrowed += uint64(e.Count)
	}
	c.serveBorrowers(now, p)
	if loans.unanswered > 0 {
		return
	}
	if !loans.lent {
		loans.pause = min(max(2*loans.pause, minLoanPause), maxLoanPause)
		loans.pausedUntil = now.Add(loans.pause)
	}
	if !loans.lent {
		c.denyBorrowers(now, p, func(borrower) bool { return true })
	}
	c.askForLoans(now, p)
}

// serveBorrowers retries waiting requests while retries are left.
func (c *core) serveBorrowers(now time.Time, p *pool) {
	for len(p.retryLoans.waiting) > 0 {
		r := p.retryLoans.waiting[0].request
		r.grant = p.retryBudget.Take(now, 0)
		if r.grant == nil {
			return
		}
		p.retryLoans.waiting = slices.Delete(p.retryLoans.waiting, 0, 1)
		c.stats.Retries++
		c.enqueue(now, r)
		c.dispatch(now, p)
	}
}

// borrow serves waiting requests from what the own budget has regained, denies those that have
// waited for long enough and asks for loans for the others. It runs at each tick, so that requests
// that fail together are asked for together.
func (c *core) borrow(now time.Time, p *pool) {
	c.serveBorrowers(now, p)
	c.denyBorrowers(now, p, func(b borrower) bool { return !now.Before(b.until) })
	c.askForLoans(now, p)
}

// denyBorrowers ends the waiting requests that match.
func (c *core) denyBorrowers(now time.Time, p *pool, match func(borrower) bool) {
	for _, b := range slices.Clone(p.retryLoans.waiting) {
		if match(b) {
			c.stopBorrowing(b.request)
			c.endWithoutRetry(now, b.request, RetryDeniedByBudget)
		}
	}
}

// stopBorrowing removes the request from those that wait for a loan.
func (c *core) stopBorrowing(r *request) {
	loans := &r.pool.retryLoans
	loans.waiting = slices.DeleteFunc(loans.waiting, func(b borrower) bool { return b.request == r })
}

// borrowing reports whether the request waits for a loan.
func (r *request) borrowing() bool {
	return slices.ContainsFunc(r.pool.retryLoans.waiting, func(b borrower) bool { return b.request == r })
}

// LendRetries implements Core.
func (c *core) LendRetries(now time.Time, pool string, wanted int) int {
	p := c.pools[pool]
	if p == nil || len(p.retryLoans.waiting) > 0 {
		return 0
	}
	count := p.retryBudget.Lend(now, min(wanted, maxLoan))
	p.retries.Lent += uint64(count)
	return count
}
