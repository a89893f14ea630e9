package ledger

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Recover makes the ledger safe after the loss of a majority, which may have known
// claims that are missing here. margin is how far the clock of a caller that
// creates keys may be ahead. Recover returns the earliest time that a timed key
// must carry to be accepted, and the time from which keys without a time are
// accepted again, both in Unix milliseconds.
//
// A request must not run twice because its claim was synced only by the lost
// processes, or because they granted a key again that is recorded here as not_run.
// Every key that may have run is therefore refused: known keys without a final
// state become unknown, and unknown keys are in doubt.
func (l *Ledger) Recover(nowUnixMs int64, margin time.Duration) (timed, untimed int64) {
	l.nowMs = max(l.nowMs, nowUnixMs)
	for e := l.order.oldest; e != nil; e = e.next {
		switch e.state {
		case lilacv1.ClaimState_CLAIM_STATE_CLAIMED:
			l.finish(e, lilacv1.ClaimState_CLAIM_STATE_UNKNOWN, nil)
		case lilacv1.ClaimState_CLAIM_STATE_NOT_RUN:
			e.endAs(lilacv1.ClaimState_CLAIM_STATE_UNKNOWN)
		}
	}
	for _, incarnation := range l.Incarnations() {
		l.incarnations.retire(incarnation, l.markUnknown)
	}
	l.recovery = &lilacv1.LedgerRecovery{
		AtUnixMs: l.nowMs,
		// A second recovery with a shorter margin must not shorten the in-doubt
		// period of the first.
		TimedUntilUnixMs:   max(l.recovery.GetTimedUntilUnixMs(), l.nowMs+margin.Milliseconds()),
		UntimedUntilUnixMs: l.nowMs + l.retentionMs(),
	}
	return l.recovery.GetTimedUntilUnixMs(), l.recovery.GetUntimedUntilUnixMs()
}

// inDoubt reports whether a key that is not known here may have run before the last
// recovery.
func (l *Ledger) inDoubt(key string) bool {
	if l.recovery == nil {
		return false
	}
	if createdMs, timed := keyTime(key); timed {
		return createdMs < l.recovery.GetTimedUntilUnixMs()
	}
	return l.nowMs < l.recovery.GetUntimedUntilUnixMs()
}

// refuseInDoubt returns the refusal of a claim whose key is in doubt.
func (l *Ledger) refuseInDoubt(key string) *lilacv1.ClaimReply {
	l.inDoubtClaims++
	reply := &lilacv1.ClaimReply{State: lilacv1.ClaimState_CLAIM_STATE_UNKNOWN, InDoubt: true}
	if !isTimed(key) {
		reply.TakenAgainUnixMs = l.recovery.GetUntimedUntilUnixMs()
	}
	return reply
}
