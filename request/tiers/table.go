// Package tiers makes shedding and the split of slots a joint decision of all
// instances that share a pool, with nothing but their digests.
//
// An instance that wants to shed tier t says so (held back). Each instance
// that hears it cuts its own least urgent tier off, one tier for each round of
// digests, and says what it still admits. Tier t is shed only while every
// reachable instance says that it admits nothing less urgent than t.
//
// What an instance says it admits is a promise for a stated time, and a cut-off
// tier is admitted again only when all promises that forbid it have ended. So
// nobody sheds on a word that holds no longer, whatever time the word took:
// the membership takes its age off, and a late or lost one only makes sheds wait.
// When no word of an instance binds any more, nothing but the least urgent tier
// is shed until it is heard again or is given up as unreachable.
//
// A digest that comes without a stated time (none passed through a membership)
// counts for Fresh; that holds if it travels less than LiftDelay - Fresh.
package tiers

import (
	"math"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	// DefaultValidity is how long a peer's word without a stated time counts after it was heard.
	DefaultValidity = 1200 * time.Millisecond
	// DefaultPromise is how long an own word binds until SetPromise says otherwise.
	DefaultPromise = 2 * time.Second
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

// Demand is the number of slots that are asked for, by place.
type Demand [model.Places]float64

// LastPlace is the last place that anything is asked for at, or -1.
func (d Demand) LastPlace() int {
	last := len(d) - 1
	for last >= 0 && d[last] == 0 {
		last--
	}
	return last
}

// LastTier is the least urgent tier that anything is asked for by, or 0.
func (d Demand) LastTier() int {
	last := 0
	for place, count := range d {
		if count > 0 {
			last = max(last, model.TierOf(place))
		}
	}
	return last
}

// byTier sums up the places of each tier.
func (d Demand) byTier() (sums [model.Tiers]float64) {
	for place, count := range d {
		sums[model.TierOf(place)] += count
	}
	return sums
}

// Shares are the parts of the capacity, 0 to 1 together, that the classes of each
// place are guaranteed. Instances that count different classes split a little
// differently; servers' limits hold all the same.
type Shares [model.Places]float64

type peer struct {
	// until is when the peer's word binds no longer.
	until    time.Time
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
	promise        time.Duration
	need           int
	needAt         time.Time
	born           time.Time
	// told is what all others ask for where that is told beside digests, and
	// toldPeers how many they are; 0 where it isn't.
	told      Demand
	toldPeers int
}

// NewTable returns a table that admits all tiers.
func NewTable(pool string, now time.Time) *Table {
	return &Table{pool: pool, born: now, peers: make(map[string]*peer), said: lowest, admitted: lowest, promise: DefaultPromise, need: none}
}

// SetPromise sets how long own words are to bind. A shorter time counts when no
// word of a longer one binds any more.
func (t *Table) SetPromise(promise time.Duration) {
	if promise > t.promise || t.said == lowest && t.admitted == lowest {
		t.promise = promise
	}
}

// Promise returns how long own words bind from when they are told.
func (t *Table) Promise() time.Duration { return t.promise }

// Observe takes in what a peer said of the pool without a stated time; nil
// means it said nothing.
func (t *Table) Observe(name string, cutoff *lilacv1.PoolCutoff, now time.Time) {
	t.ObserveUntil(name, cutoff, now.Add(DefaultValidity))
}

// ObserveUntil takes in what a peer said of the pool, which binds until then.
func (t *Table) ObserveUntil(name string, cutoff *lilacv1.PoolCutoff, until time.Time) {
	p := t.peers[name]
	if p == nil {
		p = &peer{}
		t.peers[name] = p
	}
	*p = peer{until: until, admitted: lowest, heldBack: none}
	if cutoff == nil {
		return
	}
	p.admitted = int(cutoff.GetAdmittedTier()) - 1
	if held := cutoff.GetHeldBackTier(); held > 0 {
		p.heldBack = int(held) - 1
	}
	p.demand = demandOf(cutoff)
}

// demandOf reads a peer's demand.
func demandOf(cutoff *lilacv1.PoolCutoff) (demand Demand) {
	for place, count := range cutoff.GetPlaceDemand() {
		if place < model.Places {
			demand[place] = float64(count)
		}
	}
	if len(cutoff.GetPlaceDemand()) > 0 {
		return demand
	}
	for tier, count := range cutoff.GetDemand() {
		if tier < model.Tiers {
			demand[model.Place(tier, 0)] = float64(count)
		}
	}
	return demand
}

// RemovePeer forgets a peer that is no longer reached.
func (t *Table) RemovePeer(name string) { delete(t.peers, name) }

// HoldBack notes that this instance wants to shed the tier.
func (t *Table) HoldBack(tier int, now time.Time) {
	t.need = min(t.need, tier)
	t.needAt = now
}

// Update moves the own cutoff by at most one tier down, or up when no promise
// that was told forbids it any more.
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
	case t.admitted < t.said && now.Sub(t.saidAt) >= t.promise:
		t.admitted = t.said
	}
	return false
}

// cutElsewhere tells whether every reachable peer has cut off all tiers less
// urgent than tier, by a word that still binds.
func (t *Table) cutElsewhere(tier int, now time.Time) bool {
	if tier >= lowest {
		return true
	}
	if now.Sub(t.born) < settle {
		return false
	}
	for _, p := range t.peers {
		if p.admitted > tier || now.After(p.until) {
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

// Cutoff returns the pool's part of the digest; waiting is the least urgent
// tier that waits, or -1.
func (t *Table) Cutoff(demand Demand, waiting int) *lilacv1.PoolCutoff {
	cutoff := &lilacv1.PoolCutoff{Pool: t.pool, AdmittedTier: uint32(t.said + 1), WaitingTier: uint32(waiting + 1)}
	if t.need != none {
		cutoff.HeldBackTier = uint32(t.need + 1)
	}
	for _, count := range demand.byTier() {
		cutoff.Demand = append(cutoff.Demand, uint32(math.Round(count)))
	}
	for _, count := range demand[:demand.LastPlace()+1] {
		cutoff.PlaceDemand = append(cutoff.PlaceDemand, uint32(math.Round(count)))
	}
	return cutoff
}

// PeerCount returns how many instances share the pool, besides this one.
func (t *Table) PeerCount() int { return len(t.peers) }

// SetOthersDemand takes in what all other instances ask for and how many they are, where that is
// told beside digests; no instances where it isn't known any more.
func (t *Table) SetOthersDemand(demand Demand, instances int) {
	t.told, t.toldPeers = demand, instances
}

// others is how many instances Others speaks for.
func (t *Table) others() int {
	if t.toldPeers > 0 {
		return t.toldPeers
	}
	return len(t.peers)
}

// InstanceCount is how many share the pool, this one included.
func (t *Table) InstanceCount() int { return t.others() + 1 }

// OthersDemand returns what all reachable peers run and hold.
func (t *Table) OthersDemand() Demand {
	if t.toldPeers > 0 {
		return t.told
	}
	var sum Demand
	for _, p := range t.peers {
		for place, count := range p.demand {
			sum[place] += count
		}
	}
	return sum
}

// Split returns how many requests of each place this instance may run at once, and how
// many in all. Of capacity each place gets its share first, as far as it is asked for;
// the rest is given out place by place. Within a place slots go in proportion to
// demand. What nobody asks for is split evenly, and open to each place.
func (t *Table) Split(capacity float64, own Demand, shares Shares) (split Demand, quota float64) {
	total := t.OthersDemand()
	left := capacity
	var given Demand
	for place := range own {
		total[place] += own[place]
		given[place] = min(total[place], shares[place]*capacity)
		left -= given[place]
	}
	for place := range own {
		more := min(total[place]-given[place], max(left, 0))
		left -= more
		if total[place] > 0 {
			split[place] = (given[place] + more) * own[place] / total[place]
			quota += split[place]
		}
	}
	even := max(left, 0) / float64(t.others()+1)
	for place := range split {
		split[place] += even
	}
	return split, max(1, quota+even)
}
