// Package tiers makes shedding and the split of slots a joint decision of all
// instances that share a pool, with nothing but their digests.
//
// An instance that wants to shed tier t says so (held back). Each instance
// that hears it cuts its own least urgent tier off, one tier for each round of
// digests, and says what it still admits. Tier t is shed only while every
// reachable instance says that it admits nothing less urgent than t.
//
// While an instance's digests are lost, its last word is not counted for
// longer than Fresh: nothing but the least urgent tier is shed until it is
// heard again or is given up as unreachable. A cut-off tier is admitted again
// only LiftDelay after the others were told, so that nobody sheds on a word
// that holds no longer; that holds for digests that travel less than
// LiftDelay - Fresh.
package tiers

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	// Fresh is how old a peer's word may be to shed on it.
	Fresh = 1200 * time.Millisecond
	// LiftDelay is the time from saying that a tier is admitted again to admitting it.
	LiftDelay = 2 * time.Second
	// settle is how long a new instance sheds nothing but the least urgent tier:
	// it has not heard all others yet.
	settle = 3 * time.Second
	// holdFor is how long an instance goes on holding back after its last need.
	holdFor = 2 * time.Second
	// lowest is the least urgent tier.
	lowest = model.Tiers - 1
	// none stands for no tier.
	none = model.Tiers
)

// Demand is the number of requests that run or wait, by tier.
type Demand [model.Tiers]float64

type peer struct {
	at       time.Time
	admitted int
	heldBack int
	demand   Demand
}

// Table is what one instance knows of one pool.
type Table struct {
	pool  string
	peers map[string]*peer
	// said is the least urgent tier that this instance tells it admits;
	// admitted is what it does admit.
	said, admitted int
	saidAt         time.Time
	need           int
	needAt         time.Time
	born           time.Time
}

// NewTable returns a table that admits all tiers.
func NewTable(pool string, now time.Time) *Table {
	return &Table{pool: pool, born: now, peers: make(map[string]*peer), said: lowest, admitted: lowest, need: none}
}

// Observe takes in what a peer said of the pool; nil means it said nothing.
func (t *Table) Observe(name string, cutoff *lilacv1.PoolCutoff, now time.Time) {
	p := t.peers[name]
	if p == nil {
		p = &peer{}
		t.peers[name] = p
	}
	*p = peer{at: now, admitted: lowest, heldBack: none}
	if cutoff == nil {
		return
	}
	p.admitted = int(cutoff.GetAdmittedTier()) - 1
	if held := cutoff.GetHeldBackTier(); held > 0 {
		p.heldBack = int(held) - 1
	}
	for tier, count := range cutoff.GetDemand() {
		if tier < model.Tiers {
			p.demand[tier] = float64(count)
		}
	}
}

// Gone forgets a peer that is no longer reached.
func (t *Table) Gone(name string) { delete(t.peers, name) }

// HoldBack notes that this instance wants to shed the tier.
func (t *Table) HoldBack(tier int, now time.Time) {
	t.need = min(t.need, tier)
	t.needAt = now
}

// Update moves the own cutoff by at most one tier down, or up after LiftDelay.
// It returns true where the others must hear of it at once.
func (t *Table) Update(now time.Time) bool {
	if t.need != none && now.Sub(t.needAt) > holdFor {
		t.need = none
	}
	want := lowest
	if t.need != none {
		want = t.need
	}
	for _, p := range t.peers {
		if p.heldBack != none {
			want = min(want, p.heldBack)
		}
	}
	switch {
	case want < t.said && t.cutElsewhere(t.said, now):
		t.said--
		t.admitted = min(t.admitted, t.said)
		t.saidAt = now
		return true
	case want > t.said:
		t.said = want
		t.saidAt = now
		return true
	case t.admitted < t.said && now.Sub(t.saidAt) >= LiftDelay:
		t.admitted = t.said
	}
	return false
}

// cutElsewhere tells whether every reachable peer has cut off all tiers less
// urgent than tier, by a word that is fresh.
func (t *Table) cutElsewhere(tier int, now time.Time) bool {
	if tier >= lowest {
		return true
	}
	if now.Sub(t.born) < settle {
		return false
	}
	for _, p := range t.peers {
		if p.admitted > tier || now.Sub(p.at) > Fresh {
			return false
		}
	}
	return true
}

// MayShed tells whether a request of the tier may be given up for load, as
// far as the other instances and the own cutoff go.
func (t *Table) MayShed(tier int, now time.Time) bool {
	return t.admitted <= tier && t.cutElsewhere(tier, now)
}

// Admits tells whether the tier is let in here.
func (t *Table) Admits(tier int) bool { return tier <= t.admitted }

// Admitted returns the least urgent tier that is let in here.
func (t *Table) Admitted() int { return t.admitted }

// Tell returns the pool's part of the digest; waiting is the least urgent
// tier that waits, or -1.
func (t *Table) Tell(demand Demand, waiting int) *lilacv1.PoolCutoff {
	cutoff := &lilacv1.PoolCutoff{Pool: t.pool, AdmittedTier: uint32(t.said + 1), WaitingTier: uint32(waiting + 1)}
	if t.need != none {
		cutoff.HeldBackTier = uint32(t.need + 1)
	}
	for _, count := range demand {
		cutoff.Demand = append(cutoff.Demand, uint32(count))
	}
	return cutoff
}

// Peers returns how many instances share the pool, besides this one.
func (t *Table) Peers() int { return len(t.peers) }

// Others returns what all reachable peers run and hold.
func (t *Table) Others() Demand {
	var sum Demand
	for _, p := range t.peers {
		for tier, count := range p.demand {
			sum[tier] += count
		}
	}
	return sum
}

// Quota returns how many requests this instance may run at once: capacity is
// given out tier by tier, within a tier in proportion to demand, and what
// nobody asks for is split evenly.
func (t *Table) Quota(capacity float64, own Demand) float64 {
	others := t.Others()
	left, quota := capacity, 0.0
	for tier := range own {
		total := own[tier] + others[tier]
		if total <= left {
			left -= total
			quota += own[tier]
			continue
		}
		if total > 0 {
			quota += left * own[tier] / total
		}
		left = 0
	}
	return max(1, quota+left/float64(len(t.peers)+1))
}
