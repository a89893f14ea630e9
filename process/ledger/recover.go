package ledger

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Recover makes sure of all that a lost majority may have known. margin is how
// far the clock of a caller that makes keys may be ahead. It returns the time
// that a key must carry to be taken, and when keys without a time are taken again.
//
// It guards against a request that runs twice because its claim was synced by
// the lost processes alone, or because they granted a key again that stands
// here as not run. It holds because every key that may have run by then is
// refused: those here that had not ended for good are unknown, those not here
// are in doubt.
func (l *Ledger) Recover(nowUnixMs int64, margin time.Duration) (timed, untimed int64) {
	l.nowMs = max(l.nowMs, nowUnixMs)
	for e := l.order.oldest; e != nil; e = e.next {
		switch e.state {
		case lilacv1.ClaimState_CLAIM_STATE_CLAIMED:
			l.finish(e, lilacv1.ClaimState_CLAIM_STATE_UNKNOWN, nil)
		case lilacv1.ClaimState_CLAIM_STATE_NOT_RUN:
			e.end(lilacv1.ClaimState_CLAIM_STATE_UNKNOWN)
		}
	}
	for _, incarnation := range l.Incarnations() {
		l.incarnations.retire(incarnation, l.markUnknown)
	}
	l.recovery = &lilacv1.LedgerRecovery{
		AtUnixMs: l.nowMs,
		// A second recovery with a shorter margin must not end the doubt of the first.
		TimedUntilUnixMs:   max(l.recovery.GetTimedUntilUnixMs(), l.nowMs+margin.Milliseconds()),
		UntimedUntilUnixMs: l.nowMs + l.retentionMs(),
	}
	return l.recovery.GetTimedUntilUnixMs(), l.recovery.GetUntimedUntilUnixMs()
}

// inDoubt tells whether a key that is not known here may have run before the
// last recovery.
func (l *Ledger) inDoubt(key string) bool {
	if l.recovery == nil {
		return false
	}
	if createdMs, timed := keyTime(key); timed {
		return createdMs < l.recovery.GetTimedUntilUnixMs()
	}
	return l.nowMs < l.recovery.GetUntimedUntilUnixMs()
}

// doubtful refuses a claim of a key that is in doubt.
func (l *Ledger) refuseInDoubt(key string) *lilacv1.ClaimReply {
	l.inDoubtClaims++
	reply := &lilacv1.ClaimReply{State: lilacv1.ClaimState_CLAIM_STATE_UNKNOWN, InDoubt: true}
	if !isTimed(key) {
		reply.TakenAgainUnixMs = l.recovery.GetUntimedUntilUnixMs()
	}
	return reply
}
