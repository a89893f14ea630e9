package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// A claim was synced by two processes whose disks are then lost, and the third
// recovers without it. A retry with the same key must be refused, whatever kind of
// key it is, and keys created after the recovery must be accepted.
func TestKeysPossiblyClaimedByLostMajorityAreRefused(t *testing.T) {
	const margin = time.Hour
	for _, c := range []struct {
		name    string
		key     string
		after   int64
		granted bool
		again   int64
	}{
		{"time before the recovery", timedKey(start-hour, 1), 0, false, 0},
		{"clock ahead, within the margin", timedKey(start+hour-1, 2), 0, false, 0},
		{"time within the margin, sent later", timedKey(start+hour-1, 3), 3 * hour, false, 0},
		{"time after the margin", timedKey(start+hour, 4), hour, true, 0},
		{"no time", "dossier", hour, false, start + 24*hour},
		{"no time, after the retention", "dossier", 24 * hour, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := New(Limits{})
			l.Recover(start, margin)
			restored := New(Limits{})
			restored.Restore(l.Snapshot())
			reply, err := restored.Claim(newClaim(c.key, "a", start+c.after))
			is.NoErr(err)
			is.Equal(reply.GetGranted(), c.granted)
			is.Equal(reply.GetInDoubt(), !c.granted)
			is.Equal(reply.GetTakenAgainUnixMs(), c.again)
		})
	}
}

// A second recovery with a shorter margin follows the first. Keys that the first
// lost majority may have granted stay in doubt.
func TestSecondRecoveryKeepsFirstInDoubtPeriod(t *testing.T) {
	is := is.New(t)
	l := New(Limits{})
	l.Recover(start, time.Hour)
	l.Recover(start+hour/6, time.Minute)
	reply, err := l.Claim(newClaim(timedKey(start+hour-1, 1), "a", start+hour))
	is.NoErr(err)
	is.True(!reply.GetGranted() && reply.GetInDoubt())
	mustGrant(t, l, newClaim(timedKey(start+hour, 2), "b", start+hour))
}

// A claim that is open or not_run at the survivor may have ended or been granted
// again at the lost majority. A retry must not run.
func TestUnfinishedClaimsBecomeUnknownOnRecovery(t *testing.T) {
	is := is.New(t)
	l := New(Limits{})
	mustGrant(t, l, newClaim("open", "1", start))
	mustGrant(t, l, newClaim("given up", "2", start))
	_, err := l.Outcome(newOutcome("given up", "2", notRun, ""))
	is.NoErr(err)
	mustGrant(t, l, newClaim("ended", "3", start))
	_, err = l.Outcome(newOutcome("ended", "3", ran, "done"))
	is.NoErr(err)
	l.Recover(start, time.Hour)
	is.Equal(l.OpenClaims(), 0)
	for key, state := range map[string]lilacv1.ClaimState{"open": unknown, "given up": unknown, "ended": ran} {
		again := newClaim(key, "new", start)
		again.Incarnation = "two"
		reply, err := l.Claim(again)
		is.NoErr(err)
		is.True(!reply.GetGranted())
		is.Equal(reply.GetState(), state)
	}
	is.Equal(l.InvariantsViolated(), uint64(0))
}

// One attempt ran under a claim that was lost. Another attempt, which was never
// granted, is reported as not_run after the recovery. That must not release the
// key.
func TestNotRunOutcomeDoesNotReleaseKeyInDoubt(t *testing.T) {
	is := is.New(t)
	l := New(Limits{})
	l.Recover(start, time.Hour)
	_, err := l.Outcome(newOutcome(timedKey(start-1, 1), "second", notRun, ""))
	is.NoErr(err)
	reply, err := l.Claim(newClaim(timedKey(start-1, 1), "third", start))
	is.NoErr(err)
	is.True(!reply.GetGranted() && reply.GetInDoubt())
}
