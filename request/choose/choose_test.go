package choose

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func chooser() *Chooser {
	return &Chooser{Filters: []Filter{Open{}, Room{}, Quarantine{}, OnTime{}}, Scorers: []Scorer{Finish{}, Remote{Price: 50 * time.Millisecond}, Crowd{Weight: 0.5}}, Picker: Least{}}
}

func TestFilters(t *testing.T) {
	ms := time.Millisecond
	ask := Request{FirstBy: 400 * ms, Between: 65 * ms, Left: 100, Avoid: "failed", Reserve: 1, Alone: true}
	good := Candidate{Name: "good", Load: 3, Limit: 8, First: 100 * ms, Gap: 40 * ms}
	cases := map[string]func(*Candidate){
		"barred":                     func(c *Candidate) { c.Barred = true },
		"failed just now":            func(c *Candidate) { c.Name = "failed" },
		"no room beside the reserve": func(c *Candidate) { c.Load = 7 },
		"another suspect":            func(c *Candidate) { c.Trial = true },
		"first token late":           func(c *Candidate) { c.First = 500 * ms },
		"gap too long":               func(c *Candidate) { c.Gap = 70 * ms },
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bad := good
			spoil(&bad)
			random := rand.New(rand.NewPCG(1, 1))
			is.Equal(chooser().Choose(&ask, []Candidate{bad}, random), -1)
			is.Equal(chooser().Choose(&ask, []Candidate{bad, good}, random), 1)
		})
	}
}

func TestRemoteServerIsTakenOnlyWhereItIsWorthItsPrice(t *testing.T) {
	is := is.New(t)
	ms := time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	ask := Request{FirstBy: time.Second, Left: 100}
	near := Candidate{Load: 6, Limit: 16, First: 100 * ms, Gap: 30 * ms}
	far := Candidate{Remote: true, Load: 6, Limit: 16, First: 100 * ms, Gap: 30 * ms}
	is.Equal(chooser().Choose(&ask, []Candidate{far, near}, random), 1)
	far.Gap, far.Load = 20*ms, 2
	is.Equal(chooser().Choose(&ask, []Candidate{far, near}, random), 0)
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
	is.True(len(used) > 580) // nearly all are used by someone
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

// Copies of one request come to instances that see the loads a little
// differently: they shall still take the same server where costs are close.
func TestNearTakesTheHighestRankAmongCloseCosts(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	near := Near{First: 1, Second: 0.4, Share: 0.1}
	for _, c := range []struct {
		scores []float64
		ranks  Ranks
		want   int
	}{
		{[]float64{10, 12, 20}, Ranks{[]uint64{1, 2, 3}, 3, 2}, 2},
		{[]float64{10, 12, 21}, Ranks{[]uint64{1, 2, 3}, 3, 2}, 1},
		{[]float64{12, 10, 21}, Ranks{[]uint64{2, 1, 3}, 3, 2}, 0},
		{[]float64{10, 15, 21}, Ranks{[]uint64{1, 2, 3}, 3, 2}, 0},
		{[]float64{10, 11, 12}, Ranks{[]uint64{1, 2, 3}, 9, 8}, 1}, // the first two are filtered
		{nil, Ranks{}, -1},
	} {
		is.Equal(near.Pick(c.scores, &c.ranks, random), c.want)
	}
}
