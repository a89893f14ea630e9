package retry

import "time"

// An instance lends retries that it has left. The lender counts a loan as waiting until its
// term is over and as used then, whether the borrower used it or not. So no message has to arrive
// for the bound to hold, and a loan is lost if either process ends.

const (
	// LoanTerm is how long a loan may be used, from before it was asked for. Processes that have
	// just started wait longer before they use what an earlier one may have lent.
	LoanTerm = 2 * time.Second
	// loanMargin is the time that a borrowed retry may take to reach a server.
	loanMargin = 500 * time.Millisecond
)

// loan is a granted retry that another instance may use until the end of its term.
type loan struct {
	until time.Time
	grant *Grant
}

// Lend lends up to the wanted number of retries for LoanTerm and returns how many.
func (b *Budget) Lend(now time.Time, wanted int) (count int) {
	for ; count < wanted; count++ {
		g := b.takeOwn(now)
		if g == nil {
			break
		}
		b.lent = append(b.lent, loan{now.Add(LoanTerm), g})
	}
	return count
}

// Borrow adds retries that were lent when asked for at the given time.
func (b *Budget) Borrow(askedAt time.Time, count int) {
	for range count {
		b.borrowed = append(b.borrowed, askedAt.Add(LoanTerm-loanMargin))
	}
}

// endLoans applies the ends of terms.
func (b *Budget) endLoans(now time.Time) {
	for len(b.lent) > 0 && !now.Before(b.lent[0].until) {
		b.Use(now, b.lent[0].grant)
		b.lent = b.lent[1:]
	}
	for len(b.borrowed) > 0 && !now.Before(b.borrowed[0]) {
		b.borrowed = b.borrowed[1:]
	}
}

// takeBorrowed grants a borrowed retry, or returns nil.
func (b *Budget) takeBorrowed(now time.Time) *Grant {
	b.endLoans(now)
	if len(b.borrowed) == 0 {
		return nil
	}
	g := &Grant{until: b.borrowed[0]}
	b.borrowed = b.borrowed[1:]
	return g
}

// Expired reports whether the grant was borrowed and its term is over.
func (g *Grant) Expired(now time.Time) bool { return !g.until.IsZero() && !now.Before(g.until) }
