package loadboard

import (
	"cmp"
	"maps"
	"math"
	"slices"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/number"
)

// PoolWork is the work of instances in one pool and what they have measured there.
type PoolWork struct {
	// Rates are the prompt tokens per second that they start, by lane.
	Rates [Lanes]uint32
	// Claims are the slots that they request by position, LaneClaims by lane.
	Claims     [Positions]float64
	LaneClaims [Lanes]float64
	// Engine is what they have measured of the pool's engines.
	Engine EngineSums
	// Plan is the plan of the highest-ranked instance among them.
	Plan LanePlan
	// Teams is the recent service of teams; nil unless the pool is contended.
	Teams TeamUses
}

// EngineSums holds weighted sums of engine measurements. An instance that sees one
// response per second has too few of its own and relies on those of the others.
type EngineSums struct {
	Weight float64
	// Speed sums the fourth power of the prefill speed in tokens per millisecond.
	// Engines seem slow when responses waited behind unreported work, so high
	// speeds are closer to the truth and weigh more.
	Speed float64
	// EmptyStep is the duration of a step with an empty batch, PerRequest what each
	// further request adds, in microseconds.
	EmptyStep, PerRequest float64
}

func (e *EngineSums) add(other EngineSums) {
	e.Weight += other.Weight
	e.Speed += other.Speed
	e.EmptyStep += other.EmptyStep
	e.PerRequest += other.PerRequest
}

// LanePlan divides a pool's engines into lanes.
type LanePlan struct {
	// Author is the instance that made the plan; empty for no plan.
	Author string
	// InterTokenGapUs is the gap between tokens while long prompts run on the same
	// engine, in microseconds.
	InterTokenGapUs uint32
	// Sizes holds the number of engines per lane by data centre key.
	Sizes map[uint32]LaneSizes
}

// LaneSizes holds the number of a data centre's engines in the lane for short
// inter-token gaps (Tight) and in the lane for early responses (Quick).
type LaneSizes struct{ Tight, Quick uint32 }

// Precedes reports whether the plan takes precedence over another: that of the
// higher-ranked author does.
func (p LanePlan) Precedes(other LanePlan) bool {
	return p.Author != "" && (other.Author == "" || member.CompareRank(p.Author, other.Author) < 0)
}

// Add adds the work of other instances.
func (w *PoolWork) Add(other PoolWork) {
	for l, rate := range other.Rates {
		w.Rates[l] += rate
	}
	for position, slots := range other.Claims {
		w.Claims[position] += slots
	}
	for lane, slots := range other.LaneClaims {
		w.LaneClaims[lane] += slots
	}
	w.Engine.add(other.Engine)
	w.Teams = w.Teams.Plus(other.Teams)
	if other.Plan.Precedes(w.Plan) {
		w.Plan = other.Plan
	}
}

// Encode returns the work as a message for the pool with the given key.
func (w *PoolWork) Encode(pool uint32) *lilacv1.PoolWork {
	message := &lilacv1.PoolWork{Pool: pool, Rates: slices.Clone(w.Rates[:])}
	message.Claims, message.LaneClaims = encodeClaims(w.Claims[:]), encodeClaims(w.LaneClaims[:])
	message.Teams = w.Teams.encode()
	if e := w.Engine; e.Weight > 0 {
		message.Engine = []float32{float32(e.Weight), float32(e.Speed), float32(e.EmptyStep), float32(e.PerRequest)}
	}
	if w.Plan.Author != "" {
		message.Plan = &lilacv1.LanePlan{By: w.Plan.Author, BesideUs: w.Plan.InterTokenGapUs}
		for _, key := range slices.Sorted(maps.Keys(w.Plan.Sizes)) {
			size := w.Plan.Sizes[key]
			message.Plan.Sizes = append(message.Plan.Sizes, &lilacv1.LaneSizes{DataCenter: key, Tight: size.Tight, Quick: size.Quick})
		}
	}
	return message
}

// DecodeWork decodes a pool's work. Unknown positions and lanes are ignored.
func DecodeWork(message *lilacv1.PoolWork) PoolWork {
	w := PoolWork{Teams: decodeTeams(message.GetTeams())}
	copy(w.Rates[:], message.GetRates())
	decodeClaims(w.Claims[:], message.GetClaims())
	decodeClaims(w.LaneClaims[:], message.GetLaneClaims())
	if e := message.GetEngine(); len(e) >= 4 && allFiniteNonNegative(e[:4]) && e[0] > 0 {
		w.Engine = EngineSums{float64(e[0]), float64(e[1]), float64(e[2]), float64(e[3])}
	}
	if plan := message.GetPlan(); plan.GetBy() != "" {
		w.Plan = LanePlan{Author: plan.GetBy(), InterTokenGapUs: plan.GetBesideUs(), Sizes: make(map[uint32]LaneSizes)}
		for _, size := range plan.GetSizes() {
			w.Plan.Sizes[size.GetDataCenter()] = LaneSizes{size.GetTight(), size.GetQuick()}
		}
	}
	return w
}

// encodeClaims omits trailing zeros.
func encodeClaims(claims []float64) []uint32 {
	var units []uint32
	for _, slots := range claims {
		units = append(units, number.Uint32(math.Round(slots/slotClaimUnit)))
	}
	for len(units) > 0 && units[len(units)-1] == 0 {
		units = units[:len(units)-1]
	}
	return units
}

func decodeClaims(claims []float64, units []uint32) {
	for i, count := range units[:min(len(units), len(claims))] {
		claims[i] = slotClaimUnit * float64(count)
	}
}

// allFiniteNonNegative reports whether the values are finite and not negative. It
// guards against values sent by peers of another version. cmp.Compare orders NaN
// before all other values.
func allFiniteNonNegative(values []float32) bool {
	return !slices.ContainsFunc(values, func(v float32) bool { return cmp.Compare(v, 0) < 0 || math.IsInf(float64(v), 0) })
}
