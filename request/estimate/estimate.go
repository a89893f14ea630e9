// Package estimate predicts the length of answers, which is not known in advance. It
// keeps histograms by class and team with exponential decay; estimates are refined as an
// answer grows.
package estimate

import (
	"math"

	"github.com/lilacbridge/lilacbridge/process/number"
)

const (
	// bucketsPerDoubling sets the resolution: adjacent buckets differ by about 19 %.
	bucketsPerDoubling = 4
	// bucketCount covers answers from 1 to 65,536 tokens.
	bucketCount = 16 * bucketsPerDoubling
	// halfLife is the number of newer answers after which an answer has half its weight.
	halfLife = 200
	// maxTeams bounds the histograms by class and team; further ones use the class's.
	maxTeams = 4096
	// teamPriorAnswers is the number of a team's answers at which its own estimate has
	// the same weight as the class's.
	teamPriorAnswers = 12
	// defaultTokens is the estimate before any answer was observed, in tokens.
	defaultTokens = 200
)

// histogram counts answers by the logarithm of their length, with exponential decay.
type histogram struct {
	weight [bucketCount]float64
	sum    float64
	// unit is the weight of the next answer. It grows with each answer, which is
	// equivalent to decaying all older ones.
	unit float64
}

func bucketOf(tokens int) int {
	if tokens < 1 {
		return 0
	}
	return min(bucketCount-1, number.Int(math.Log2(float64(tokens))*bucketsPerDoubling))
}

func bucketCenter(bucket int) float64 {
	return math.Exp2((float64(bucket) + 0.5) / bucketsPerDoubling)
}

var growth = math.Exp2(1.0 / halfLife)

// rescaleAt is the unit at which weights are rescaled, far below overflow.
const rescaleAt = 1e12

func (h *histogram) add(tokens int) {
	if h.unit == 0 {
		h.unit = 1
	}
	h.weight[bucketOf(tokens)] += h.unit
	h.sum += h.unit
	h.unit *= growth
	if h.unit > rescaleAt {
		for i := range h.weight {
			h.weight[i] /= h.unit
		}
		h.sum /= h.unit
		h.unit = 1
	}
}

// count returns the decayed number of answers in the histogram.
func (h *histogram) count() float64 {
	if h.unit == 0 {
		return 0
	}
	return h.sum / h.unit
}

// remaining returns the mean number of remaining tokens over the answers that are longer
// than generated; known is false if there are none.
func (h *histogram) remaining(generated int) (tokens float64, known bool) {
	weight, sum := 0.0, 0.0
	for i := bucketOf(generated + 1); i < bucketCount; i++ {
		if center := bucketCenter(i); center > float64(generated) {
			weight += h.weight[i]
			sum += h.weight[i] * (center - float64(generated))
		}
	}
	if weight <= 0 {
		return 0, false
	}
	return sum / weight, true
}

// quantile returns the length that a fraction q of the answers does not exceed.
func (h *histogram) quantile(q float64) float64 {
	seen := 0.0
	for i, weight := range h.weight {
		seen += weight
		if weight > 0 && seen >= q*h.sum {
			return bucketCenter(i)
		}
	}
	return defaultTokens
}

// Key identifies the answers of a team in a class.
type Key struct{ Class, Team string }

// Table holds the histograms of one pool or instance. It is not safe for concurrent use.
type Table struct {
	classes map[string]*histogram
	teams   map[Key]*histogram
	errors  ErrorStats
}

// ErrorStats sums the errors of estimates.
type ErrorStats struct {
	// Answers is the number of answers compared.
	Answers int
	// Absolute is the sum of |estimate - tokens|, Tokens the sum of tokens.
	Absolute, Tokens float64
}

// Add adds the sums of another table.
func (e *ErrorStats) Add(other ErrorStats) {
	e.Answers += other.Answers
	e.Absolute += other.Absolute
	e.Tokens += other.Tokens
}

// Relative returns the mean absolute error divided by the mean length, or 0 without data.
func (e ErrorStats) Relative() float64 {
	if e.Tokens == 0 {
		return 0
	}
	return e.Absolute / e.Tokens
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{classes: make(map[string]*histogram), teams: make(map[Key]*histogram)}
}

// Remaining estimates how many more tokens an answer gets after generated tokens.
func (t *Table) Remaining(key Key, generated int) float64 {
	class, known := 0.0, false
	if h := t.classes[key.Class]; h != nil {
		class, known = h.remaining(generated)
	}
	if !known {
		// Longer than any answer observed: such answers tend to double in length.
		class = max(float64(generated), defaultTokens)
	}
	h := t.teams[key]
	if h == nil {
		return class
	}
	team, known := h.remaining(generated)
	if !known {
		return class
	}
	teamShare := h.count() / (h.count() + teamPriorAnswers)
	return teamShare*team + (1-teamShare)*class
}

// Quantile returns the q-quantile of the class's answer lengths, in tokens.
func (t *Table) Quantile(class string, q float64) float64 {
	if h := t.classes[class]; h != nil {
		return h.quantile(q)
	}
	return defaultTokens
}

// Observe records the length of a complete answer; estimated is the prediction made at
// its start.
func (t *Table) Observe(key Key, tokens int, estimated float64) {
	class := t.classes[key.Class]
	if class == nil {
		class = &histogram{}
		t.classes[key.Class] = class
	}
	class.add(tokens)
	team := t.teams[key]
	if team == nil && len(t.teams) < maxTeams {
		team = &histogram{}
		t.teams[key] = team
	}
	if team != nil {
		team.add(tokens)
	}
	t.errors.Answers++
	t.errors.Absolute += math.Abs(estimated - float64(tokens))
	t.errors.Tokens += float64(tokens)
}

// Errors returns the error sums of the estimates made at the start of answers.
func (t *Table) Errors() ErrorStats { return t.errors }
