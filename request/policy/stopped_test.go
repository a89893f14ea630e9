package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// stopBooking sends a request that must run once and has it stopped, as a suspect, before the
// word of its first byte has come.
func stopBooking(t *testing.T) *core {
	c := coreWithPool(4)
	a := arrival(1, "alerts")
	a.Digest, a.Idempotent = "same", false
	start := only[Start](t, c.Step(epoch, a))
	stop := only[Stop](t, c.Step(epoch, suspectDigest("e9", 1, "", "r9")))
	is.New(t).Equal(stop.Attempt, start.Attempt)
	return c
}

// startsUntil returns the starts while time passes.
func startsUntil(c *core, from, until time.Time) []Start {
	var starts []Start
	for now := from; now.Before(until); now = now.Add(slowTick) {
		starts = append(starts, all[Start](c.Step(now, Tick{}))...)
	}
	return starts
}

// Guards against a second run of a request whose first attempt was stopped while its first byte
// was being written.
func TestStoppedAttemptIsNotRepeatedBeforeItsOutcomeIsKnown(t *testing.T) {
	is := is.New(t)
	c := stopBooking(t)
	later := epoch.Add(4 * time.Second)
	is.Equal(len(startsUntil(c, epoch, later)), 0)
	refusal := only[Refuse](t, c.Step(later, Sent{ID: 1, Attempt: 1}))
	is.Equal(refusal.NotRun, lilacv1.NotRun_NOT_RUN_UNKNOWN)
}

// Guards against a request that never ends since nothing takes it up after its stop, and against
// one that is given up although it did not run.
func TestStoppedRequestGoesOnOnceItsAttemptIsKnownNotToHaveRun(t *testing.T) {
	for name, outcome := range map[string]Event{
		"stopped":                  Stopped{ID: 1, Attempt: 1},
		"refused at the same time": Failed{ID: 1, Attempt: 1, Sent: true, Refused: true},
		"unsent at the same time":  Failed{ID: 1, Attempt: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := stopBooking(t)
			c.Step(epoch, outcome)
			starts := startsUntil(c, epoch, epoch.Add(4*time.Second))
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Attempt, 2)
			is.Equal(len(c.stats.Violations), 0)
		})
	}
}

// Guards against a second run after an attempt that ended by itself just as it was stopped.
func TestStoppedRequestEndsIfItsAttemptMayHaveRun(t *testing.T) {
	for name, outcome := range map[string]Event{
		"stopped":                 Stopped{ID: 1, Attempt: 1, MayHaveRun: true},
		"failed at the same time": Failed{ID: 1, Attempt: 1, Sent: true, Crashed: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := stopBooking(t)
			refusal := only[Refuse](t, c.Step(epoch, outcome))
			is.Equal(refusal.Kind, lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN)
			is.Equal(refusal.NotRun, lilacv1.NotRun_NOT_RUN_UNKNOWN)
			is.Equal(len(startsUntil(c, epoch, epoch.Add(4*time.Second))), 0)
		})
	}
}

// Guards against the outcome of an earlier attempt that is taken for that of the last one.
func TestOutcomeOfAnotherAttemptSettlesNothing(t *testing.T) {
	is := is.New(t)
	c := stopBooking(t)
	c.Step(epoch, Stopped{ID: 1, Attempt: 2})
	is.Equal(len(startsUntil(c, epoch, epoch.Add(4*time.Second))), 0)
}

// Guards against a request that the policy keeps, and starts again for nobody, since its answer
// was complete just as its attempt was stopped.
func TestRequestFinishedAsItWasStoppedIsForgotten(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "not idempotent": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := coreWithPool(4)
			a := arrival(1, "alerts")
			a.Digest, a.Idempotent = "same", idempotent
			c.Step(epoch, a)
			only[Stop](t, c.Step(epoch, suspectDigest("e9", 1, "", "r9")))
			c.Step(epoch, Finished{ID: 1, Attempt: 1})
			is.Equal(len(c.requests), 0)
			is.Equal(len(startsUntil(c, epoch, epoch.Add(4*time.Second))), 0)
			is.Equal(c.running, 0)
		})
	}
}
