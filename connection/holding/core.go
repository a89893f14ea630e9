// Package holding accounts for the memory that an instance uses on behalf of others: headers
// and bodies of requests, answers that are read whole, and answers that their callers have not read yet.
//
// Core decides who gets room; it has no locks, clocks or goroutines. Store is the shell
// around it.
package holding

import (
	"cmp"
	"slices"
	"time"
)

// Reason is what bytes are held for.
type Reason int

const (
	// Body is the body of a request.
	Body Reason = iota
	// Answer is an answer that is read whole before its first byte is sent.
	Answer
	// Unread is the part of a stream that was read from its server and not sent yet.
	Unread
	// Head is the header of a request, as it was parsed and as it is forwarded.
	Head
	reasons
)

// Reasons lists all reasons.
var Reasons = [reasons]Reason{Body, Answer, Unread, Head}

// String returns the reason's label.
func (r Reason) String() string { return [reasons]string{"body", "answer", "unread", "head"}[r] }

// Owner is on whose behalf bytes are held.
type Owner struct {
	// Team is the name of the team; empty if it isn't known.
	Team string
	// Caller is the address of the caller's host.
	Caller string
}

// ID identifies a holder, which is one request.
type ID uint64

const (
	// teamDivisor and callerDivisor bound the part of one team and of one caller while
	// less than the reserve is free.
	teamDivisor   = 4
	callerDivisor = 8
	// reserveDivisor is the part of the room that only owners within their parts get.
	reserveDivisor = 4
	// giveUpDivisor is the part of its wait after which a waiter may cost an unread answer.
	giveUpDivisor = 2
)

// Verdict is the result of a request for room.
type Verdict int

const (
	// Granted means that the bytes are held from now on.
	Granted Verdict = iota
	// Waiting means that a Decision follows.
	Waiting
	// Refused means that there is no room.
	Refused
)

// Decision is an action that the shell must carry out.
type Decision struct {
	ID ID
	// Verdict is Granted or Refused for a holder that waits.
	Verdict Verdict
	// GiveUp is set if the holder's answer must end; Verdict has no meaning then.
	GiveUp bool
}

// holder is one request that bytes are held for.
type holder struct {
	owner Owner
	bytes [reasons]int64
	// blockedSince is when its caller stopped reading; zero while it reads.
	blockedSince time.Time
	givenUp      bool
}

// answerBytes returns the bytes that are free once the answer is given up.
func (h *holder) answerBytes() int64 { return h.bytes[Answer] + h.bytes[Unread] }

// waiter is a request for room that has no decision yet.
type waiter struct {
	id           ID
	reason       Reason
	bytes        int64
	since, until time.Time
}

// Stats are the counts and the present state of a Core.
type Stats struct {
	// Held is the number of bytes held, by Reason.
	Held [reasons]int64
	// Waiting is the number of holders that wait for room.
	Waiting int
	// Blocked is the number of answers whose callers don't read.
	Blocked int
	// OldestBlocked is when the first of them stopped; zero without one.
	OldestBlocked time.Time
	// Waited, Refused and GivenUp count decisions since the start.
	Waited, Refused, GivenUp uint64
}

// Core is the account of one instance.
type Core struct {
	limit   int64
	total   int64
	held    [reasons]int64
	holders map[ID]*holder
	teams   map[string]int64
	callers map[Owner]int64
	// waiters are in the order of their arrival.
	waiters []waiter
	blocked int
	stats   Stats
	// decisions is reused between calls.
	decisions []Decision
}

// NewCore returns a Core that grants at most limit bytes.
func NewCore(limit int64) *Core {
	return &Core{limit: limit, holders: make(map[ID]*holder), teams: make(map[string]int64), callers: make(map[Owner]int64)}
}

// Open adds a holder.
func (c *Core) Open(id ID, owner Owner) { c.holders[id] = &holder{owner: owner} }

// fits reports whether the owner may hold more bytes. An owner above its part leaves the
// reserve free, so that others find room at once.
func (c *Core) fits(owner Owner, bytes int64) bool {
	after := c.total + bytes
	if after > c.limit {
		return false
	}
	return c.withinPart(owner, bytes) || after <= c.largest()
}

func (c *Core) withinPart(owner Owner, bytes int64) bool {
	return c.teams[owner.Team]+bytes <= c.limit/teamDivisor && c.callers[owner]+bytes <= c.limit/callerDivisor
}

// excess returns by how much an owner is above its part; at most 0 within it.
func (c *Core) excess(owner Owner) int64 {
	return max(c.teams[owner.Team]-c.limit/teamDivisor, c.callers[owner]-c.limit/callerDivisor)
}

func (c *Core) add(h *holder, reason Reason, bytes int64) {
	h.bytes[reason] += bytes
	c.held[reason] += bytes
	c.total += bytes
	addOrDelete(c.teams, h.owner.Team, bytes)
	addOrDelete(c.callers, h.owner, bytes)
}

func addOrDelete[K comparable](sums map[K]int64, key K, bytes int64) {
	if sum := sums[key] + bytes; sum != 0 {
		sums[key] = sum
	} else {
		delete(sums, key)
	}
}

// Take holds bytes if there is room and nobody waits for it.
func (c *Core) Take(id ID, reason Reason, bytes int64) bool {
	h := c.holders[id]
	if h == nil || h.givenUp || len(c.waiters) > 0 || !c.fits(h.owner, bytes) {
		return false
	}
	c.add(h, reason, bytes)
	return true
}

// Force holds bytes whether or not there is room. It is for what is in memory already and
// can't be given back.
func (c *Core) Force(id ID, reason Reason, bytes int64) {
	if h := c.holders[id]; h != nil {
		c.add(h, reason, bytes)
	}
}

// Ask holds bytes, or has the holder wait for them until the given time. What would not fit
// into an empty account is refused at once.
func (c *Core) Ask(now time.Time, id ID, reason Reason, bytes int64, until time.Time) Verdict {
	h := c.holders[id]
	if h == nil || h.givenUp {
		return Refused
	}
	if !c.teamWaits(h.owner.Team) && c.fits(h.owner, bytes) {
		c.add(h, reason, bytes)
		return Granted
	}
	if bytes > c.largest() || !now.Before(until) {
		c.stats.Refused++
		return Refused
	}
	c.stats.Waited++
	c.waiters = append(c.waiters, waiter{id: id, reason: reason, bytes: bytes, since: now, until: until})
	return Waiting
}

// largest returns the most bytes that one owner may hold.
func (c *Core) largest() int64 { return c.limit - c.limit/reserveDivisor }

// teamWaits reports whether a holder of the team waits; those after it don't overtake it.
func (c *Core) teamWaits(team string) bool {
	return slices.ContainsFunc(c.waiters, func(w waiter) bool { return c.holders[w.id].owner.Team == team })
}

// CancelWait removes the holder from those that wait.
func (c *Core) CancelWait(id ID) {
	c.waiters = slices.DeleteFunc(c.waiters, func(w waiter) bool { return w.id == id })
}

// Free returns bytes of a holder. The decisions are valid until the next call.
func (c *Core) Free(now time.Time, id ID, reason Reason, bytes int64) []Decision {
	if h := c.holders[id]; h != nil {
		c.add(h, reason, -min(bytes, h.bytes[reason]))
	}
	return c.Tick(now)
}

// Close removes a holder with all that it holds or waits for. The decisions are valid until
// the next call.
func (c *Core) Close(now time.Time, id ID) []Decision {
	h := c.holders[id]
	if h == nil {
		return nil
	}
	for _, reason := range Reasons {
		c.add(h, reason, -h.bytes[reason])
	}
	c.SetBlocked(id, time.Time{})
	c.CancelWait(id)
	delete(c.holders, id)
	return c.Tick(now)
}

// SetBlocked states since when a holder's caller has not read; zero means that it reads.
func (c *Core) SetBlocked(id ID, since time.Time) {
	h := c.holders[id]
	if h == nil {
		return
	}
	if h.blockedSince.IsZero() != since.IsZero() {
		if since.IsZero() {
			c.blocked--
		} else {
			c.blocked++
		}
	}
	h.blockedSince = since
}

// Tick decides about the holders that wait. The decisions are valid until the next call.
func (c *Core) Tick(now time.Time) []Decision {
	c.decisions = c.decisions[:0]
	if len(c.waiters) == 0 {
		return nil
	}
	passed := make(map[string]bool)
	c.waiters = slices.DeleteFunc(c.waiters, func(w waiter) bool {
		h := c.holders[w.id]
		switch {
		case !passed[h.owner.Team] && c.fits(h.owner, w.bytes):
			c.add(h, w.reason, w.bytes)
			c.decisions = append(c.decisions, Decision{ID: w.id, Verdict: Granted})
			return true
		case !now.Before(w.until):
			c.stats.Refused++
			c.decisions = append(c.decisions, Decision{ID: w.id, Verdict: Refused})
			return true
		}
		passed[h.owner.Team] = true
		return false
	})
	c.giveUp(now)
	return c.decisions
}

// giveUp ends unread answers of owners above their parts, as many as the waiters within
// theirs need, once these have spent half of their wait.
func (c *Core) giveUp(now time.Time) {
	var needed int64
	for _, w := range c.waiters {
		if now.Sub(w.since) >= w.until.Sub(w.since)/giveUpDivisor && c.withinPart(c.holders[w.id].owner, w.bytes) {
			needed += w.bytes
		}
	}
	if needed == 0 {
		return
	}
	for _, h := range c.holders {
		if h.givenUp {
			needed -= h.answerBytes()
		}
	}
	for needed > 0 {
		id, h := c.victim()
		if h == nil {
			return
		}
		h.givenUp = true
		needed -= h.answerBytes()
		c.stats.GivenUp++
		c.decisions = append(c.decisions, Decision{ID: id, GiveUp: true})
	}
}

// victim returns the holder whose answer is given up first: of the owner most above its part
// the one that has not been read for the longest time.
func (c *Core) victim() (ID, *holder) {
	var best ID
	var victim *holder
	for id, h := range c.holders {
		if h.givenUp || h.blockedSince.IsZero() || h.answerBytes() == 0 || c.excess(h.owner) <= 0 {
			continue
		}
		if victim == nil || c.before(id, h, best, victim) {
			best, victim = id, h
		}
	}
	return best, victim
}

func (c *Core) before(id ID, h *holder, otherID ID, other *holder) bool {
	return cmp.Or(cmp.Compare(c.excess(other.owner), c.excess(h.owner)), h.blockedSince.Compare(other.blockedSince), cmp.Compare(id, otherID)) < 0
}

// Held returns the bytes that a holder holds, by Reason.
func (c *Core) Held(id ID) [reasons]int64 {
	if h := c.holders[id]; h != nil {
		return h.bytes
	}
	return [reasons]int64{}
}

// Waiting returns the number of holders that wait for room.
func (c *Core) Waiting() int { return len(c.waiters) }

// Stats returns the counts and the present state.
func (c *Core) Stats() Stats {
	stats := c.stats
	stats.Held, stats.Waiting, stats.Blocked = c.held, len(c.waiters), c.blocked
	for _, h := range c.holders {
		if at := h.blockedSince; !at.IsZero() && (stats.OldestBlocked.IsZero() || at.Before(stats.OldestBlocked)) {
			stats.OldestBlocked = at
		}
	}
	return stats
}
