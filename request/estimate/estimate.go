// Package estimate predicts how long answers get, which nobody knows in
// advance: running histograms by class and team, asked again as an answer grows.
package estimate

import "math"

const (
	// bucketsPerDoubling sets the resolution: about 19 % from bucket to bucket.
	bucketsPerDoubling = 4
	// buckets cover answers from 1 to 65,536 tokens.
	buckets = 16 * bucketsPerDoubling
	// halfLife is the number of answers after which an old one counts half.
	halfLife = 200
	// maxTeams bounds the histograms kept by team; further teams use the class's.
	maxTeams = 4096
	// enough is the number of a team's answers that outweighs the class's own.
	enough = 12
	// unknown is the estimate before any answer was seen, in tokens.
	unknown = 200
)

// histogram counts answers by the logarithm of their length, with decay.
type histogram struct {
	weight [buckets]float64
	sum    float64
	// unit is the weight of the next answer; it grows in place of decaying all.
	unit float64
}

func bucketOf(tokens int) int {
	if tokens < 1 {
		return 0
	}
	return min(buckets-1, int(math.Log2(float64(tokens))*bucketsPerDoubling))
}

func middle(bucket int) float64 {
	return math.Exp2((float64(bucket) + 0.5) / bucketsPerDoubling)
}

var growth = math.Exp2(1.0 / halfLife)

// rescaleAt keeps the growing unit far from overflow.
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

// count is the number of answers that the histogram stands for.
func (h *histogram) count() float64 {
	if h.unit == 0 {
		return 0
	}
	return h.sum / h.unit
}

// left returns the mean rest of answers that are longer than got.
func (h *histogram) left(got int) (tokens float64, known bool) {
	weight, sum := 0.0, 0.0
	for i := bucketOf(got + 1); i < buckets; i++ {
		if m := middle(i); m > float64(got) {
			weight += h.weight[i]
			sum += h.weight[i] * (m - float64(got))
		}
	}
	if weight <= 0 {
		return 0, false
	}
	return sum / weight, true
}

// quantile returns the length below which the share q of answers stays.
func (h *histogram) quantile(q float64) float64 {
	seen := 0.0
	for i, weight := range h.weight {
		seen += weight
		if weight > 0 && seen >= q*h.sum {
			return middle(i)
		}
	}
	return unknown
}

// Key names whose answers a histogram holds.
type Key struct{ Class, Team string }

// Table holds the histograms of one pool or instance.
type Table struct {
	classes map[string]*histogram
	teams   map[Key]*histogram
	errors  ErrorStats
}

// ErrorStats sums up how far estimates were off.
type ErrorStats struct {
	// Answers that were compared.
	Answers int
	// Absolute is the sum of |estimate - tokens|, Tokens the sum of tokens.
	Absolute, Tokens float64
}

// Add takes in another table's errors.
func (e *ErrorStats) Add(other ErrorStats) {
	e.Answers += other.Answers
	e.Absolute += other.Absolute
	e.Tokens += other.Tokens
}

// Relative is the mean absolute error as a share of the mean length.
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

// Remaining estimates how many more tokens an answer gets that has got so far.
func (t *Table) Remaining(key Key, got int) float64 {
	class, known := 0.0, false
	if h := t.classes[key.Class]; h != nil {
		class, known = h.left(got)
	}
	if !known {
		// Longer than any answer seen: such answers tend to double.
		class = max(float64(got), unknown)
	}
	h := t.teams[key]
	if h == nil {
		return class
	}
	team, known := h.left(got)
	if !known {
		return class
	}
	trust := h.count() / (h.count() + enough)
	return trust*team + (1-trust)*class
}

// Quantile returns a quantile of the class's lengths.
func (t *Table) Quantile(class string, q float64) float64 {
	if h := t.classes[class]; h != nil {
		return h.quantile(q)
	}
	return unknown
}

// Observe learns from a whole answer; estimated is what was predicted at its start.
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

// Errors returns how far the estimates made at the start were off.
func (t *Table) Errors() ErrorStats { return t.errors }
