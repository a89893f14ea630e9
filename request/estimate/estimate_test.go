package estimate

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

func TestEstimateFollowsTheTeamsLengthsAndTheAnswersProgress(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	random := rand.New(rand.NewPCG(1, 1))
	for range 400 {
		table.Observe(Key{"c", "short"}, 40+random.IntN(20), 50)
		table.Observe(Key{"c", "long"}, 800+random.IntN(400), 1000)
	}
	is.True(table.Remaining(Key{"c", "short"}, 0) < 150)
	is.True(table.Remaining(Key{"c", "long"}, 0) > 700)
	is.True(table.Remaining(Key{"c", "new"}, 0) > 300) // the class's mean
	is.True(table.Remaining(Key{"c", "short"}, 200) > 300)
	is.True(table.Remaining(Key{"c", "long"}, 900) < 300)
	is.True(table.Quantile("c", 0.9) > 700)
	is.True(table.Errors().Answers == 800)
}

func TestOldAnswersDecay(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for range 1000 {
		table.Observe(Key{"c", "a"}, 1000, 0)
	}
	for range 2000 {
		table.Observe(Key{"c", "a"}, 100, 0)
	}
	is.True(table.Remaining(Key{"c", "a"}, 0) < 130)
}
