package choose

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func chooser() *Chooser {
	return &Chooser{Filters: []Filter{Available{}, WithinCapacity{}, Quarantine{}, OnTime{}}, Scorers: []Scorer{CompletionTime{}, Remote{Cost: 50 * time.Millisecond}, Contention{Weight: 0.5}}, Picker: LowestCost{}}
}

func TestFilters(t *testing.T) {
	ms := time.Millisecond
	req := Request{FirstTokenBudget: 400 * ms, TokenGapTarget: 65 * ms, RemainingTokens: 100, Avoid: "failed", ReservedSlots: 1, Suspect: true}
	good := Candidate{Name: "good", Load: 3, Limit: 8, FirstToken: 100 * ms, TokenGap: 40 * ms}
	cases := map[string]func(*Candidate){
		"barred":                                func(c *Candidate) { c.Unavailable = true },
		"just failed":                           func(c *Candidate) { c.Name = "failed" },
		"no capacity beside the reserved slots": func(c *Candidate) { c.Load = 7 },
		"another suspect":                       func(c *Candidate) { c.HasTrial = true },
		"first token late":                      func(c *Candidate) { c.FirstToken = 500 * ms },
		"gap too long":                          func(c *Candidate) { c.TokenGap = 70 * ms },
	}
	for name, modify := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bad := good
			modify(&bad)
			random := rand.New(rand.NewPCG(1, 1))
			is.Equal(chooser().Choose(&req, []Candidate{bad}, random), -1)
			is.Equal(chooser().Choose(&req, []Candidate{bad, good}, random), 1)
		})
	}
}

func TestRemoteServerIsChosenOnlyIfItOutweighsItsCost(t *testing.T) {
	is := is.New(t)
	ms := time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	req := Request{FirstTokenBudget: time.Second, RemainingTokens: 100}
	near := Candidate{Load: 6, Limit: 16, FirstToken: 100 * ms, TokenGap: 30 * ms}
	far := Candidate{Remote: true, Load: 6, Limit: 16, FirstToken: 100 * ms, TokenGap: 30 * ms}
	is.Equal(chooser().Choose(&req, []Candidate{far, near}, random), 1)
	far.TokenGap, far.Load = 20*ms, 2
	is.Equal(chooser().Choose(&req, []Candidate{far, near}, random), 0)
}

func TestSubsetIsStableAndEven(t *testing.T) {
	is := is.New(t)
	var servers []string
	for i := range 590 {
		servers = append(servers, fmt.Sprintf("r%04d", i))
	}
	used := map[string]int{}
	for i := range 110 {
		for _, name := range Subset(fmt.Sprint("e", i), servers, 50) {
			used[name]++
		}
	}
	is.True(len(used) > 580) // nearly all are used by some instance
	first := Subset("e1", servers, 50)
	second := Subset("e1", servers[1:], 50)
	common := 0
	for _, name := range second {
		for _, other := range first {
			if name == other {
				common++
			}
		}
	}
	is.True(common >= 49)
}

// Copies of one request arrive at instances with slightly different views of the load.
// They must still choose the same server if costs are close.
func TestNearLowestCostPicksTheHighestHashAmongCloseCosts(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	near := NearLowestCost{FirstMargin: 1, SecondMargin: 0.4, Margin: 0.1}
	for _, c := range []struct {
		scores []float64
		ranks  Hashes
		want   int
	}{
		{[]float64{10, 12, 20}, Hashes{[]uint64{1, 2, 3}, 3, 2}, 2},
		{[]float64{10, 12, 21}, Hashes{[]uint64{1, 2, 3}, 3, 2}, 1},
		{[]float64{12, 10, 21}, Hashes{[]uint64{2, 1, 3}, 3, 2}, 0},
		{[]float64{10, 15, 21}, Hashes{[]uint64{1, 2, 3}, 3, 2}, 0},
		{[]float64{10, 11, 12}, Hashes{[]uint64{1, 2, 3}, 9, 8}, 1}, // the first two are filtered
		{nil, Hashes{}, -1},
	} {
		is.Equal(near.Pick(c.scores, &c.ranks, random), c.want)
	}
}
