package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	claimed = lilacv1.ClaimState_CLAIM_STATE_CLAIMED
	ran     = lilacv1.ClaimState_CLAIM_STATE_RAN
	unknown = lilacv1.ClaimState_CLAIM_STATE_UNKNOWN
	notRun  = lilacv1.ClaimState_CLAIM_STATE_NOT_RUN

	hour  = int64(time.Hour / time.Millisecond)
	start = 1_764_700_000_000
)

func digest(b byte) []byte {
	d := make([]byte, digestBytes)
	d[0] = b
	return d
}

func newClaim(key, attempt string, nowMs int64) *lilacv1.ClaimRequest {
	return &lilacv1.ClaimRequest{Team: "coop", Key: key, Digest: digest(1), Instance: "entry-1", Incarnation: "one", Attempt: attempt, NowUnixMs: nowMs}
}

func newOutcome(key, attempt string, state lilacv1.ClaimState, body string) *lilacv1.OutcomeRequest {
	return &lilacv1.OutcomeRequest{Team: "coop", Key: key, Attempt: attempt, State: state, NowUnixMs: start,
		Answer: &lilacv1.StoredAnswer{Status: 200, Body: []byte(body)}}
}

func timedKey(ms int64, n int) string {
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}

// mustGrant fails the test unless the claim is granted.
func mustGrant(t *testing.T, l *Ledger, r *lilacv1.ClaimRequest) {
	t.Helper()
	reply, err := l.Claim(r)
	is := is.New(t)
	is.NoErr(err)
	is.True(reply.GetGranted())
}

func TestSecondClaimReportsStateOfFirst(t *testing.T) {
	for _, c := range []struct {
		name    string
		end     lilacv1.ClaimState
		granted bool
		state   lilacv1.ClaimState
	}{
		{"in progress", claimed, false, claimed},
		{"ran", ran, false, ran},
		{"unknown", unknown, false, unknown},
		{"not run", notRun, true, claimed},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := New(Limits{})
			mustGrant(t, l, newClaim("k", "a1", start))
			mustGrant(t, l, newClaim("k", "a1", start))
			if c.end != claimed {
				_, err := l.Outcome(newOutcome("k", "a1", c.end, "filed"))
				is.NoErr(err)
			}
			final, isFinal := l.FinalReply(newClaim("k", "a2", start))
			is.Equal(isFinal, c.end == ran || c.end == unknown)
			is.True(!final.GetGranted())
			other := newClaim("k", "a2", start)
			other.Digest = digest(2)
			reply, err := l.Claim(other)
			is.NoErr(err)
			is.True(reply.GetBodyDiffers() && !reply.GetGranted())
			reply, err = l.Claim(newClaim("k", "a2", start))
			is.NoErr(err)
			is.Equal(reply.GetGranted(), c.granted)
			is.Equal(reply.GetState(), c.state)
			is.Equal(string(reply.GetAnswer().GetBody()) == "filed", c.end == ran)
		})
	}
}

// An instance dies with a request in flight and is replaced. A retry must get
// unknown and never run. A claim of the dead incarnation that arrives later must be
// refused.
func TestClaimOfDeadInstanceBecomesUnknown(t *testing.T) {
	for name, endIncarnation := range map[string]func(l *Ledger) error{
		"declared gone": func(l *Ledger) error {
			l.MarkGone(&lilacv1.IncarnationsGone{Incarnations: []string{"one"}, NowUnixMs: start})
			return nil
		},
		"restarted": func(l *Ledger) error {
			r := newClaim("other", "b", start)
			r.Incarnation = "two"
			_, err := l.Claim(r)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := New(Limits{})
			mustGrant(t, l, newClaim("k", "a1", start))
			is.NoErr(endIncarnation(l))
			again := newClaim("k", "a2", start)
			again.Instance, again.Incarnation = "entry-2", "three"
			reply, err := l.Claim(again)
			is.NoErr(err)
			is.True(!reply.GetGranted())
			is.Equal(reply.GetState(), unknown)
			_, err = l.Claim(newClaim("late", "a3", start))
			is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_CONFLICT))
			late, err := l.Outcome(newOutcome("k", "a1", notRun, ""))
			is.NoErr(err)
			is.Equal(late.GetState(), unknown)
			is.Equal(l.LateOutcomes(), uint64(1))
		})
	}
}

// An instance releases a claim that got no reply, and the delayed claim arrives
// afterwards. It must not stay open, or the caller's retry would get "in progress"
// forever.
func TestClaimArrivingAfterItsReleaseIsNotGranted(t *testing.T) {
	is := is.New(t)
	l := New(Limits{})
	_, err := l.Outcome(newOutcome("k", "a1", notRun, ""))
	is.NoErr(err)
	reply, err := l.Claim(newClaim("k", "a1", start))
	is.NoErr(err)
	is.True(!reply.GetGranted())
	mustGrant(t, l, newClaim("k", "a2", start))
}

// A key resent after its retention must be refused as expired and never run again,
// with or without a time in the key, after any sweep and after a restart from a
// snapshot.
func TestExpiredKeyIsNeverGranted(t *testing.T) {
	is := is.New(t)
	l := New(Limits{Retention: time.Hour})
	keys := []string{"plain", timedKey(start, 1), timedKey(start-hour/2, 2)}
	for i, key := range keys {
		mustGrant(t, l, newClaim(key, fmt.Sprint("a", i), start))
		_, err := l.Outcome(newOutcome(key, fmt.Sprint("a", i), ran, "x"))
		is.NoErr(err)
	}
	for after := int64(1); after < 50; after++ {
		mustGrant(t, l, newClaim(fmt.Sprint("filler", after), "f", start+after*hour))
		for _, key := range keys {
			reply, err := l.Claim(newClaim(key, "again", start+after*hour))
			is.NoErr(err)
			is.True(!reply.GetGranted() && reply.GetExpired())
		}
		restored := New(Limits{Retention: time.Hour})
		restored.Restore(l.Snapshot())
		l = restored
	}
	// The untimed keys are remembered; the timed ones need no tombstone.
	is.Equal(l.Len()+l.Tombstones(), 1+49)
}

func TestFullLedgerRefusesNewKeys(t *testing.T) {
	is := is.New(t)
	l := New(Limits{Retention: time.Hour, Entries: 4, Tombstones: 6})
	for i := range 6 {
		mustGrant(t, l, newClaim(fmt.Sprint(i), "a", start))
		_, err := l.Outcome(newOutcome(fmt.Sprint(i), "a", ran, "x"))
		is.NoErr(err)
	}
	_, err := l.Claim(newClaim("one more", "a", start))
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_LIMIT))
	is.Equal(fault.NotRunOf(err), lilacv1.NotRun_NOT_RUN_TRUE)
	for i := range 6 {
		reply, err := l.Claim(newClaim(fmt.Sprint(i), "b", start))
		is.NoErr(err)
		is.True(!reply.GetGranted())
	}
	mustGrant(t, l, newClaim(timedKey(start, 1), "a", start))
	_, err = l.Claim(newClaim(timedKey(start+2*hour, 1), "a", start))
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST))
}

func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	l := New(Limits{AnswerBytes: 4, TotalAnswerBytes: 8})
	for i, body := range []string{"large", "aaaa", "bbbb", "cccc"} {
		key := fmt.Sprint(i)
		mustGrant(t, l, newClaim(key, "a", start))
		_, err := l.Outcome(newOutcome(key, "a", ran, body))
		is.NoErr(err)
	}
	for key, tooLarge := range map[string]bool{"0": true, "1": true, "2": false, "3": false} {
		reply, err := l.Claim(newClaim(key, "b", start))
		is.NoErr(err)
		is.Equal(reply.GetAnswer().GetTooLarge(), tooLarge)
		is.Equal(reply.GetAnswer().GetStatus(), uint32(200))
	}
	is.Equal(l.answerBytes, 8)
}

func TestSnapshotRestoresState(t *testing.T) {
	is := is.New(t)
	l := New(Limits{Retention: time.Hour})
	for i := range 20 {
		mustGrant(t, l, newClaim(fmt.Sprint(i), fmt.Sprint(i), start+int64(i)*hour/8))
	}
	l.MarkGone(&lilacv1.IncarnationsGone{Incarnations: []string{"one"}})
	restored := New(Limits{Retention: time.Hour})
	restored.Restore(proto.CloneOf(l.Snapshot()))
	is.True(proto.Equal(l.Snapshot(), restored.Snapshot()))
	is.Equal(restored.OpenClaims(), 0)
}

// Guards against a stored answer whose service did not say that it was complete, and that says
// so when it is sent again.
func TestUnframedAnswerStaysUnframed(t *testing.T) {
	is := is.New(t)
	l := New(Limits{})
	mustGrant(t, l, newClaim("k", "a1", start))
	done := newOutcome("k", "a1", ran, "filed")
	done.Answer.Unframed = true
	_, err := l.Outcome(done)
	is.NoErr(err)
	reply, err := l.Claim(newClaim("k", "a2", start))
	is.NoErr(err)
	is.True(reply.GetAnswer().GetUnframed())
}

func TestMalformedClaimsAreRefused(t *testing.T) {
	for name, corrupt := range map[string]func(*lilacv1.ClaimRequest){
		"no team":     func(r *lilacv1.ClaimRequest) { r.Team = "" },
		"no key":      func(r *lilacv1.ClaimRequest) { r.Key = "" },
		"long key":    func(r *lilacv1.ClaimRequest) { r.Key = string(make([]byte, 257)) },
		"no digest":   func(r *lilacv1.ClaimRequest) { r.Digest = nil },
		"no instance": func(r *lilacv1.ClaimRequest) { r.Instance = "" },
		"no attempt":  func(r *lilacv1.ClaimRequest) { r.Attempt = "" },
	} {
		t.Run(name, func(t *testing.T) {
			r := newClaim("k", "a", start)
			corrupt(r)
			_, err := New(Limits{}).Claim(r)
			is.New(t).True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST))
		})
	}
}
