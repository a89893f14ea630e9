// Package shares divides the service of a pool among teams, over all instances.
//
// Each instance counts the work that it starts for each team and the work that the team asks
// for; both decay within a few seconds. It adds what the others tell of theirs. If together they
// serve less than they are asked for, the service is divided by weight: a team that asks for less
// than its part gets what it asks for, and the others divide what is left. A team that was
// served more than its share has an excess; its requests wait behind those of the others and are
// refused before them. A team that asks for much may thus be served rarely, but not less than
// MinServed times as often as all.
//
// The package has no clock and no I/O. A Table is not safe for concurrent use.
package shares

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/process/loadboard"
)

const (
	// Window is the time constant of the decay. It spans several messages of the other instances,
	// and is the most that an idle team saves up.
	Window = 4 * time.Second
	// MinServed is the least part of the service of a team that is not held against it, relative
	// to the part that all teams get of what they ask for. Teams must not be served less than a
	// quarter as often as all; started requests may still fail.
	MinServed = 0.5
	// shortage is the part of the asked work that may wait or be refused before the pool counts
	// as short of room: requests wait a moment in any case.
	shortage = 0.05
	// forgotten is the work in tokens below which a team is dropped.
	forgotten = 0.01
)

// Key returns the key of a team in messages.
func Key(team string) uint32 { return loadboard.Key(team) }

// Standing is a team's use and what it is due.
type Standing struct {
	// Here and Elsewhere are the use at this instance and at all others.
	Here, Elsewhere loadboard.TeamUse
	// Share is the service that the team is due, in tokens; infinite while there is room for all.
	Share float64
	// Excess is the service beyond the share relative to the share; 0 if there is none.
	Excess float64
}

// Total is the use at all instances.
func (s Standing) Total() loadboard.TeamUse { return s.Here.Add(s.Elsewhere) }

// Table counts the service of teams in one pool.
type Table struct {
	// own and others are the uses as of at and of othersAt; heardAt is when others was told, zero if
	// it is not known.
	own, others  loadboard.TeamUses
	at, othersAt time.Time
	heardAt      time.Time
	// weight returns the weight of a team.
	weight func(key uint32) float64
	// level is the service per weight that no team exceeds without an excess, and ratio the part
	// of the asked work that is served, as of the last Update.
	level, ratio float64
	excess       map[uint32]float64
}

// NewTable returns an empty table. weight returns the weight of the team with the given key.
func NewTable(weight func(key uint32) float64) *Table {
	return &Table{own: make(loadboard.TeamUses), excess: make(map[uint32]float64), weight: weight, level: math.Inf(1)}
}

// decay returns what is left of a use after the given time.
func decay(elapsed time.Duration) float64 {
	return math.Exp(-max(elapsed, 0).Seconds() / Window.Seconds())
}

// Aged returns the uses as they are after the given time without any further work.
func Aged(uses loadboard.TeamUses, elapsed time.Duration) loadboard.TeamUses {
	keep, aged := decay(elapsed), make(loadboard.TeamUses, len(uses))
	for key, use := range uses {
		aged[key] = use.Scale(keep)
	}
	return aged
}

// advance decays the own uses up to now.
func (t *Table) advance(now time.Time) {
	if !now.After(t.at) {
		return
	}
	keep := decay(now.Sub(t.at))
	t.at = now
	for key, use := range t.own {
		use = use.Scale(keep)
		if use.Asked < forgotten && use.Served < forgotten {
			delete(t.own, key)
			continue
		}
		t.own[key] = use
	}
}

// Ask records that a request of the team arrived.
func (t *Table) Ask(now time.Time, team uint32, tokens float64) {
	t.add(now, team, loadboard.TeamUse{Asked: tokens})
}

// Serve records that work of the team started, or with a negative number that it was less than
// expected.
func (t *Table) Serve(now time.Time, team uint32, tokens float64) {
	t.add(now, team, loadboard.TeamUse{Served: tokens})
}

// Settle corrects the service of a request that started at the given time, in tokens.
func (t *Table) Settle(now time.Time, team uint32, tokens float64, started time.Time) {
	t.Serve(now, team, tokens*decay(now.Sub(started)))
}

func (t *Table) add(now time.Time, team uint32, use loadboard.TeamUse) {
	if now.Sub(t.at) > Window {
		t.advance(now)
	}
	// All uses are as of t.at.
	use = use.Scale(1 / decay(now.Sub(t.at)))
	sum := t.own[team].Add(use)
	sum.Served, sum.Asked = max(sum.Served, 0), max(sum.Asked, 0)
	t.own[team] = sum
	t.updateExcess(team)
}

// SetOthers sets the use at all other instances, as of now; nil if it is not known.
func (t *Table) SetOthers(now time.Time, uses loadboard.TeamUses) {
	t.others, t.othersAt, t.heardAt = uses, now, now
	if uses == nil {
		t.heardAt = time.Time{}
	}
}

// Age returns the age of what the others told; false if nothing is known.
func (t *Table) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(t.heardAt), !t.heardAt.IsZero()
}

// Own returns a copy of the use at this instance, for the messages to other instances.
func (t *Table) Own(now time.Time) loadboard.TeamUses {
	t.advance(now)
	return maps.Clone(t.own)
}

// Update divides the service anew. Call it often compared to Window.
func (t *Table) Update(now time.Time) {
	t.advance(now)
	if t.othersAt.Before(now) && t.others != nil {
		t.others, t.othersAt = Aged(t.others, now.Sub(t.othersAt)), now
	}
	t.divide()
	clear(t.excess)
	for key := range t.own {
		t.updateExcess(key)
	}
	for key := range t.others {
		t.updateExcess(key)
	}
}

// claim is what a team asks for.
type claim struct {
	key           uint32
	asked, weight float64
}

// claims returns what all teams ask for, those that ask for the least by weight first, and the
// service that all of them got.
func (t *Table) claims() (claims []claim, served float64) {
	add := func(key uint32, use loadboard.TeamUse) {
		served += use.Served
		claims = append(claims, claim{key, max(use.Asked, use.Served), t.weightOf(key)})
	}
	for key, use := range t.own {
		add(key, use.Add(t.others[key]))
	}
	for key, use := range t.others {
		if _, own := t.own[key]; !own {
			add(key, use)
		}
	}
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.asked/a.weight, b.asked/b.weight), cmp.Compare(a.key, b.key))
	})
	return claims, served
}

// divide computes the level: the service per weight at which all teams together get what is
// served, if none gets more than it asks for.
func (t *Table) divide() {
	claims, served := t.claims()
	asked, weight := 0.0, 0.0
	for _, c := range claims {
		asked, weight = asked+c.asked, weight+c.weight
	}
	t.level, t.ratio = math.Inf(1), 1
	if served >= (1-shortage)*asked {
		return
	}
	t.ratio = served / asked
	left := served
	for _, c := range claims {
		if c.asked/c.weight > left/weight {
			t.level = max(left, 0) / weight
			return
		}
		left, weight = left-c.asked, weight-c.weight
	}
}

func (t *Table) weightOf(key uint32) float64 { return max(t.weight(key), 1) }

// shareOf returns the service that a team with this use is due.
func (t *Table) shareOf(key uint32, use loadboard.TeamUse) float64 {
	return max(t.weightOf(key)*t.level, MinServed*t.ratio*use.Asked)
}

func (t *Table) updateExcess(key uint32) {
	use := t.own[key].Add(t.others[key])
	share := t.shareOf(key, use)
	if use.Served <= share {
		delete(t.excess, key)
		return
	}
	t.excess[key] = use.Served/share - 1
}

// Excess returns by how much the team's service exceeds its share, relative to the share; 0 if
// it does not.
func (t *Table) Excess(team uint32) float64 { return max(t.excess[team], 0) }

// Of returns the standing of a team.
func (t *Table) Of(team uint32) Standing {
	s := Standing{Here: t.own[team], Elsewhere: t.others[team], Excess: t.Excess(team)}
	s.Share = t.shareOf(team, s.Total())
	return s
}

// Over returns the number of teams with an excess.
func (t *Table) Over() int { return len(t.excess) }
