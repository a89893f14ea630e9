// Package retry bounds the retries of a fleet, so that they do not amplify an outage.
//
// All instances together may make Bound.Share retries per request and Bound.Extra more in any
// Bound.Window, for each pool of servers. Each instance keeps to a part of this without asking
// the others: retries that its own requests earned, of which it saves up to a capacity, and a
// number of extra ones in any window. In an interval as long as the window an instance makes at
// most as many retries as its requests earn in the interval, plus what it had saved, plus the
// extra ones. The last two are at most its part, and the parts of all instances add up to
// Bound.Extra.
//
// A process does not know what an earlier one of its instance used. It begins without savings
// and, for one window, with a share of its part that is used for nothing else. The bound holds if
// an instance starts once in a window.
package retry

import (
	"slices"
	"time"
)

const (
	// savedShare is the share of a part that is for saved earnings; the rest is for extra
	// retries.
	savedShare = 0.5
	// minSaved and minExtra are the least capacities for either, if the part has room for them: a
	// fraction of a retry can't be used by itself.
	minSaved = 1
	minExtra = 1
	// startShare is the share of a part that only a process which has just started uses, and
	// maxStart the number of retries that it is at most.
	startShare = 0.1
	maxStart   = 1
	// earnedShare is the share of Bound.Share that a request earns. Requests and retries reach
	// an instance and a server at different times, so that those of one interval may be counted
	// in two.
	earnedShare = 0.9
	// arrivalDelay is added to the window, since retries reach a server later than they are
	// counted here.
	arrivalDelay = time.Second
	// tolerance is the rounding error of sums of fractions.
	tolerance = 1e-6
)

// Bound limits the retries of all instances together.
type Bound struct {
	// Share is the number of retries per request, Extra what is allowed beyond in any Window.
	Share, Extra float64
	Window       time.Duration
}

// Grant is permission for one retry. It consists of earned and extra fractions, or it is borrowed
// and may be used until a time.
type Grant struct {
	earned, extra float64
	until         time.Time
}

// spend is an extra fraction that was used.
type spend struct {
	at    time.Time
	extra float64
}

// Budget is one instance's part of a Bound for one pool. It is not safe for concurrent use.
type Budget struct {
	bound Bound
	// part is this instance's part of the extra retries. savedCapacity and extraCapacity are what
	// of it is for saved earnings and for extra retries.
	part, savedCapacity, extraCapacity float64
	// saved is what was earned and not granted. heldSaved and heldExtra are the fractions of
	// grants that are not used yet.
	saved, heldSaved, heldExtra float64
	// spends are the extra fractions used in the last window, oldest first; spent is their sum.
	spends []spend
	spent  float64
	// lent holds loans to other instances, borrowed the ends of the terms of loans from them, the
	// earliest first.
	lent     []loan
	borrowed []time.Time
}

// New returns a budget without a part, which allows no retries.
func New(bound Bound) *Budget { return &Budget{bound: bound} }

// SetPart sets this instance's part of the bound's extra retries. starting is true while an
// earlier process of this instance may have used the part in the same window.
func (b *Budget) SetPart(part float64, starting bool) {
	reserve := min(startShare*part, maxStart, max(part-minSaved-minExtra, 0))
	rest := part - reserve
	b.part, b.savedCapacity = part, min(max(savedShare*rest, minSaved), rest)
	b.extraCapacity = rest - b.savedCapacity
	if starting {
		b.savedCapacity, b.extraCapacity = min(b.savedCapacity, minSaved), reserve
	}
	b.save(0)
}

// Part returns the part set by SetPart.
func (b *Budget) Part() float64 { return b.part }

// save adds to the saved earnings, up to the capacity. Grants that are not used yet count,
// since they may all be used within one interval.
func (b *Budget) save(earned float64) {
	b.saved = min(b.saved+earned, max(b.savedCapacity-b.heldSaved, 0))
}

// Earn adds the earnings of one request.
func (b *Budget) Earn() { b.save(earnedShare * b.bound.Share) }

// Left returns the number of retries that could be granted now, borrowed ones included.
func (b *Budget) Left(now time.Time) float64 { return b.ownLeft(now) + float64(len(b.borrowed)) }

func (b *Budget) ownLeft(now time.Time) float64 {
	b.endLoans(now)
	return b.saved + b.extraLeft(now)
}

func (b *Budget) extraLeft(now time.Time) float64 {
	for len(b.spends) > 0 && now.Sub(b.spends[0].at) >= b.bound.Window+arrivalDelay {
		b.spent -= b.spends[0].extra
		b.spends = b.spends[1:]
	}
	if len(b.spends) == 0 {
		b.spent = 0
	}
	return max(b.extraCapacity-b.heldExtra-b.spent, 0)
}

// Take grants a retry and leaves at least reserve retries; it returns nil if fewer are left. The
// grant must be passed to Use when the retry reaches a server, or to Return.
func (b *Budget) Take(now time.Time, reserve float64) *Grant {
	if b.Left(now)+tolerance < 1+reserve {
		return nil
	}
	if g := b.takeBorrowed(now); g != nil {
		return g
	}
	return b.takeOwn(now)
}

// takeOwn is like Take without borrowed retries.
func (b *Budget) takeOwn(now time.Time) *Grant {
	if b.ownLeft(now)+tolerance < 1 {
		return nil
	}
	g := &Grant{earned: min(b.saved, 1)}
	g.extra = 1 - g.earned
	b.saved -= g.earned
	b.heldSaved += g.earned
	b.heldExtra += g.extra
	return g
}

// Use records that the granted retry has reached a server.
func (b *Budget) Use(now time.Time, g *Grant) {
	b.release(g)
	if g.extra > tolerance {
		b.spends = append(b.spends, spend{now, g.extra})
		b.spent += g.extra
	}
}

// Return gives back a grant that was not used.
func (b *Budget) Return(g *Grant) {
	if !g.until.IsZero() {
		b.borrowed = slices.Insert(b.borrowed, 0, g.until)
		return
	}
	b.release(g)
	b.save(g.earned)
}

func (b *Budget) release(g *Grant) {
	b.heldSaved = max(b.heldSaved-g.earned, 0)
	b.heldExtra = max(b.heldExtra-g.extra, 0)
}
