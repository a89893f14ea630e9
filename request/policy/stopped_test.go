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
