package retry

import (
	"testing"

	"github.com/matryer/is"
)

func TestBudgetAllowsABurstAndThenItsShare(t *testing.T) {
	is := is.New(t)
	b := New(0.1)
	taken := 0
	for range 1000 {
		b.Earn()
		for range 2 * Burst {
			if b.Take() {
				taken++
			}
		}
		is.True(b.WithinBudget())
	}
	is.True(taken >= Burst+99 && taken <= Burst+100)
}
