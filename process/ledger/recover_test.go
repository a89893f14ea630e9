package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// A dossier is submitted; the claim is synced by two processes whose disks are
// then lost, and the third founds a new group without it. The caller sends the
// dossier again. It must not reach the service twice, whatever its key is, and
// dossiers made after the recovery must be taken.
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

// A second majority is lost shortly after the first, and the operator states a
// shorter margin. Keys that the first one may have known stay in doubt.
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

// The survivor holds a claim as open, or as given up unsent, while the lost
// majority saw it end or granted it again. The resend must not run.
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
	is.Equal(l.BrokenInvariants(), uint64(0))
}

// One attempt at a request ran by a claim that is lost; another one, which never
// got its grant, is given up as not run after the recovery. That must not free
// the key.
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
