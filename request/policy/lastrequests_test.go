package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Guards against a request that may not be repeated, comes while its instance is being stopped and
// is broken off at the end of the stop; and against refusing those that end before or may be
// repeated.
func TestRequestThatOutlivesItsInstanceIsRefused(t *testing.T) {
	const left = 5 * time.Second
	long := func(change func(*Arrival)) Arrival {
		a := arrival(1, "batch")
		a.Idempotent, a.Hint, a.Deadline = false, 1000, epoch.Add(3*left)
		change(&a)
		return a
	}
	for name, c := range map[string]struct {
		arrival Arrival
		refused bool
	}{
		"long":            {long(func(*Arrival) {}), true},
		"short":           {long(func(a *Arrival) { a.Hint = 10 }), false},
		"deadline before": {long(func(a *Arrival) { a.Deadline = epoch.Add(left) }), false},
		"idempotent":      {long(func(a *Arrival) { a.Idempotent = true }), false},
		"resumable":       {long(func(a *Arrival) { a.Resumable = true }), false},
	} {
		t.Run(name, func(t *testing.T) {
			is, core := is.New(t), newCore()
			core.Step(epoch, Leaving{Until: epoch.Add(left)})
			actions := core.Step(epoch, c.arrival)
			if !c.refused {
				is.Equal(only[Start](t, actions).ID, ID(1))
				return
			}
			refusal := only[Refuse](t, actions)
			is.Equal(refusal.Kind, lilacv1.ErrorKind_ERROR_KIND_DRAINING)
			is.Equal(refusal.NotRun, lilacv1.NotRun_NOT_RUN_TRUE)
		})
	}
}

// Guards against a request that waits when the stop begins and is started although its answer is
// going to be broken off; and against refusing one that ends before.
func TestWaitingRequestThatOutlivesItsInstanceIsRefused(t *testing.T) {
	is, c := is.New(t), newCore()
	for id := ID(1); id <= 4; id++ {
		c.Step(epoch, arrival(id, "batch"))
	}
	for id, hint := range map[ID]int{5: 1000, 6: 10} {
		waiting := arrival(id, "batch")
		waiting.Idempotent, waiting.Hint = false, hint
		is.Equal(len(c.Step(epoch, waiting)), 0)
	}
	actions := c.Step(epoch, Leaving{Until: epoch.Add(5 * time.Second)})
	is.Equal(only[Refuse](t, actions).ID, ID(5))
}
