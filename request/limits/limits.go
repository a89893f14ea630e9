// Package limits holds each team's limit of tokens a second over all
// instances without a message for each request.
//
// Every instance keeps a copy of the team's one bucket. It takes its own
// spending out at once, and that of the others as their digests tell it. So
// the copies differ only by what was spent within the age of a digest. While
// some instances are out of reach, their spending is unknown: the copy then
// refills only at the reachable instances' share, so that both sides of a cut
// together stay within the limit.
package limits

import (
	"slices"
	"time"
)

// burstSeconds is the bucket's size in seconds of the rate, if the team states none.
const burstSeconds = 2

// Limit is a team's setting.
type Limit struct {
	// Rate is in tokens a second; 0 means no limit.
	Rate float64
	// Burst is in tokens; 0 means two seconds of the rate.
	Burst float64
}

func (l Limit) burst() float64 {
	if l.Burst > 0 {
		return l.Burst
	}
	return l.Rate * burstSeconds
}

type bucket struct {
	level   float64
	at      time.Time
	spent   uint64
	spentAt time.Time
}

type peerTeam struct{ peer, team string }

// Table holds the buckets of teams that have a limit.
type Table struct {
	buckets map[string]*bucket
	// told is the last cumulative spending that each peer told of.
	told  map[peerTeam]uint64
	share float64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{buckets: make(map[string]*bucket), told: make(map[peerTeam]uint64), share: 1}
}

// SetShare sets the part of each rate that may be used here: reachable
// instances over all known ones.
func (t *Table) SetShare(reachable, known int) {
	t.share = 1
	if known > 0 {
		t.share = float64(reachable) / float64(known)
	}
}

func (t *Table) refill(team string, limit Limit, now time.Time) *bucket {
	b := t.buckets[team]
	if b == nil {
		b = &bucket{level: limit.burst() * t.share, at: now}
		t.buckets[team] = b
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(b.level+elapsed.Seconds()*limit.Rate*t.share, limit.burst()*t.share)
		b.at = now
	}
	return b
}

// Allow tells whether the team may spend now; if not, when it may again. A
// request is let in while the bucket isn't empty, so that a large one can't
// be barred for ever.
func (t *Table) Allow(team string, limit Limit, now time.Time) (wait time.Duration, ok bool) {
	if limit.Rate <= 0 {
		return 0, true
	}
	b := t.refill(team, limit, now)
	if b.level > 0 {
		return 0, true
	}
	rate := max(limit.Rate*t.share, 1)
	return time.Duration((1 - b.level) / rate * float64(time.Second)), false
}

// Spend takes tokens out of the team's bucket; a negative number gives back.
func (t *Table) Spend(team string, limit Limit, tokens float64, now time.Time) {
	if limit.Rate <= 0 {
		return
	}
	b := t.refill(team, limit, now)
	b.level -= tokens
	if tokens > 0 {
		b.spent += uint64(tokens)
		b.spentAt = now
	}
}

// ObserveSpent takes in a peer's cumulative spending. A smaller number than before
// means that the peer started afresh.
func (t *Table) ObserveSpent(peer, team string, limit Limit, total uint64, now time.Time) {
	key := peerTeam{peer, team}
	before, known := t.told[key]
	t.told[key] = total
	if !known || limit.Rate <= 0 {
		return
	}
	if total < before {
		before = 0
	}
	t.refill(team, limit, now).level -= float64(total - before)
}

const (
	// recent is how long a team's spending is told to the others: many digests,
	// since a lost one is made good by the next cumulative number.
	recent = 10 * time.Second
	// idle is after what time without spending a bucket is dropped; by then it
	// is full again at any rate worth a limit.
	idle = 10 * time.Minute
)

// RecentSpenders returns the teams that spent here lately, in order of name.
func (t *Table) RecentSpenders(now time.Time) []string {
	var names []string
	for name, b := range t.buckets {
		if b.spent > 0 && now.Sub(b.spentAt) < recent {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Expire drops what is idle; call it now and then.
func (t *Table) Expire(now time.Time) {
	for name, b := range t.buckets {
		if now.Sub(b.at) > idle {
			delete(t.buckets, name)
		}
	}
	for key := range t.told {
		if t.buckets[key.team] == nil {
			delete(t.told, key)
		}
	}
}

// Spent returns the team's spending at this instance since its start.
func (t *Table) Spent(team string) uint64 {
	if b := t.buckets[team]; b != nil {
		return b.spent
	}
	return 0
}
