package loadboard

import (
	"cmp"
	"maps"
	"math"
	"slices"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/member"
)

// PoolWork is what instances do in one pool and know of it.
type PoolWork struct {
	// Rates are the prompt tokens a second that they start, by lane.
	Rates [Lanes]uint32
	// Claims are the slots that they ask for, by place, LaneClaims the same by lane.
	Claims     [Positions]float64
	LaneClaims [Lanes]float64
	// Engine is what they learned of the pool's engines.
	Engine EngineSums
	// Plan is that of the instance of the best rank among them.
	Plan LanePlan
}

// EngineSums are weighted sums of what instances learned of a pool's engines: one that
// sees one answer a second must know it from the others.
type EngineSums struct {
	Weight float64
	// Speed sums the fourth power of the prompt tokens read in a millisecond: where
	// answers waited behind work that nobody told of, engines seem slow, and quick ones
	// are nearer the truth.
	Speed float64
	// Step is the time of an empty batch's step, Each what one more request adds to it,
	// in microseconds.
	EmptyStep, PerRequest float64
}

func (e *EngineSums) add(other EngineSums) {
	e.Weight += other.Weight
	e.Speed += other.Speed
	e.EmptyStep += other.EmptyStep
	e.PerRequest += other.PerRequest
}

// LanePlan is how an instance divides a pool's engines into lanes.
type LanePlan struct {
	// By is the instance; empty for no plan.
	Author string
	// Beside is the gap between tokens beside long prompts, in microseconds.
	InterTokenGapUs uint32
	// Sizes are the numbers of engines by the key of their data centre.
	Sizes map[uint32]LaneSizes
}

// LaneSizes is the number of a data centre's engines in the lanes for short pauses and
// for answers that are wanted soon.
type LaneSizes struct{ Tight, Quick uint32 }

// Before tells whether the plan goes before another one.
func (p LanePlan) Precedes(other LanePlan) bool {
	return p.Author != "" && (other.Author == "" || member.CompareRank(p.Author, other.Author) < 0)
}

// Add puts what other instances do on top.
func (w *PoolWork) Add(other PoolWork) {
	for l, rate := range other.Rates {
		w.Rates[l] += rate
	}
	for place, slots := range other.Claims {
		w.Claims[place] += slots
	}
	for lane, slots := range other.LaneClaims {
		w.LaneClaims[lane] += slots
	}
	w.Engine.add(other.Engine)
	if other.Plan.Precedes(w.Plan) {
		w.Plan = other.Plan
	}
}

// Encode makes the message of the pool's work.
func (w *PoolWork) Encode(pool uint32) *lilacv1.PoolWork {
	message := &lilacv1.PoolWork{Pool: pool, Rates: slices.Clone(w.Rates[:])}
	message.Claims, message.LaneClaims = encodeClaims(w.Claims[:]), encodeClaims(w.LaneClaims[:])
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

// DecodeWork reads the message of a pool's work; places and lanes that it doesn't know are
// left out.
func DecodeWork(message *lilacv1.PoolWork) PoolWork {
	var w PoolWork
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

// encodeClaims leaves out the last ones that are none.
func encodeClaims(claims []float64) []uint32 {
	var units []uint32
	for _, slots := range claims {
		units = append(units, uint32(math.Round(slots/slotClaimUnit)))
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

// finite guards against sums that another build could not represent.
func allFiniteNonNegative(values []float32) bool {
	return !slices.ContainsFunc(values, func(v float32) bool { return cmp.Compare(v, 0) < 0 || math.IsInf(float64(v), 0) })
}
