// Package limits enforces each team's limit in tokens a second across all instances
// without a message per request.
//
// Every instance keeps its own copy of the team's token bucket. It deducts its own
// spending at once, and that of its peers as their digests report it, so the copies
// differ only by what was spent within the age of a digest. While some instances are
// unreachable, their spending is unknown: the copy then refills only at the reachable
// instances' share of the rate, so that both sides of a partition together stay within
// the limit.
package limits

import (
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
)

// burstSeconds is the default size of a bucket, in seconds of the rate.
const burstSeconds = 2

// Limit is the configured limit of a team.
type Limit struct {
	// Rate is in tokens a second; 0 means no limit.
	Rate float64
	// Burst is the bucket size in tokens; 0 means two seconds of the rate.
	Burst float64
}

func (l Limit) burst() float64 {
	if l.Burst > 0 {
		return l.Burst
	}
	return l.Rate * burstSeconds
}

// bucket is the local copy of a team's bucket. level is negative while the team is
// overdrawn; spent is the cumulative spending at this instance only.
type bucket struct {
	level      float64
	refilledAt time.Time
	spent      uint64
	spentAt    time.Time
}

type peerTeam struct{ peer, team string }

// Table holds the buckets of teams that have a limit. It is not safe for concurrent
// use.
type Table struct {
	buckets map[string]*bucket
	// reported is the last cumulative spending reported by each peer.
	reported map[peerTeam]uint64
	// share is the part of each rate that this instance may use, 0 to 1.
	share float64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{buckets: make(map[string]*bucket), reported: make(map[peerTeam]uint64), share: 1}
}

// SetShare sets the part of each rate that may be used here to reachable over known
// instances.
func (t *Table) SetShare(reachable, known int) {
	t.share = 1
	if known > 0 {
		t.share = float64(reachable) / float64(known)
	}
}

func (t *Table) refill(team string, limit Limit, now time.Time) *bucket {
	b := t.buckets[team]
	if b == nil {
		b = &bucket{level: limit.burst() * t.share, refilledAt: now}
		t.buckets[team] = b
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.level = min(b.level+elapsed.Seconds()*limit.Rate*t.share, limit.burst()*t.share)
		b.refilledAt = now
	}
	return b
}

// Allow reports whether the team may spend now; if not, wait is the time until it may
// again. A request is admitted while the bucket isn't empty, whatever its size, so that
// a large request can't be refused forever.
func (t *Table) Allow(team string, limit Limit, now time.Time) (wait time.Duration, ok bool) {
	if limit.Rate <= 0 {
		return 0, true
	}
	b := t.refill(team, limit, now)
	if b.level > 0 {
		return 0, true
	}
	rate := max(limit.Rate*t.share, 1)
	return number.Seconds((1 - b.level) / rate), false
}

// Spend deducts tokens from the team's bucket; a negative number is a refund.
func (t *Table) Spend(team string, limit Limit, tokens float64, now time.Time) {
	if limit.Rate <= 0 {
		return
	}
	b := t.refill(team, limit, now)
	b.level -= tokens
	if tokens > 0 {
		b.spent += number.Uint64(tokens)
		b.spentAt = now
	}
}

// ObserveSpent records a peer's cumulative spending. The first report of a peer is only
// a baseline. A total below the previous one means that the peer was restarted.
func (t *Table) ObserveSpent(peer, team string, limit Limit, total uint64, now time.Time) {
	key := peerTeam{peer, team}
	before, known := t.reported[key]
	t.reported[key] = total
	if !known || limit.Rate <= 0 {
		return
	}
	if total < before {
		before = 0
	}
	t.refill(team, limit, now).level -= float64(total - before)
}

const (
	// reportFor is how long a team's spending is reported to peers after it last spent.
	// It spans many digests, so that the cumulative total gets through even if some
	// are lost.
	reportFor = 10 * time.Second
	// idleTimeout is the time since its last refill after which a bucket is dropped; by
	// then it is full again at any practical rate.
	idleTimeout = 10 * time.Minute
)

// RecentSpenders returns the teams that spent here recently, sorted by name.
func (t *Table) RecentSpenders(now time.Time) []string {
	var names []string
	for name, b := range t.buckets {
		if b.spent > 0 && now.Sub(b.spentAt) < reportFor {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Expire drops idle buckets, and the peer reports that belong to them. Call it periodically.
func (t *Table) Expire(now time.Time) {
	for name, b := range t.buckets {
		if now.Sub(b.refilledAt) > idleTimeout {
			delete(t.buckets, name)
		}
	}
	for key := range t.reported {
		if t.buckets[key.team] == nil {
			delete(t.reported, key)
		}
	}
}

// Spent returns the team's cumulative spending at this instance, in tokens.
func (t *Table) Spent(team string) uint64 {
	if b := t.buckets[team]; b != nil {
		return b.spent
	}
	return 0
}
