package ledger

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// fullLedgerRetryAfter is the retry delay sent with a refusal because of a full
// ledger.
const fullLedgerRetryAfter = 30 * time.Second

// checkInvariant counts a violated invariant. The caller must not take the step if
// it returns false.
func (l *Ledger) checkInvariant(holds bool) bool {
	if !holds {
		l.invariantsViolated++
	}
	return holds
}

func (l *Ledger) addEntry(message *lilacv1.LedgerEntry) {
	e := &entry{record: recordFromMessage(message)}
	l.order.add(e)
	l.entries[keyID{e.team, e.key}] = e
	if !isTimed(e.key) {
		l.untimed++
	}
	if e.state == lilacv1.ClaimState_CLAIM_STATE_CLAIMED {
		l.incarnations.addOpen(e)
	}
	l.retainAnswer(e)
}

// reopen grants a key whose earlier attempt is known not to have run. It counts as
// a new claim, so its retention starts now.
func (l *Ledger) reopen(e *entry, r *lilacv1.ClaimRequest) bool {
	if !l.checkInvariant(e.state == lilacv1.ClaimState_CLAIM_STATE_NOT_RUN) {
		return false
	}
	e.copyRecord()
	e.holder, e.attempt = &holder{r.GetInstance(), r.GetIncarnation()}, r.GetAttempt()
	e.state = lilacv1.ClaimState_CLAIM_STATE_CLAIMED
	e.claimedUnixMs = l.nowMs
	l.order.remove(e)
	l.order.add(e)
	l.incarnations.addOpen(e)
	return true
}

// finish moves a claimed entry to an end state and stores its answer.
func (l *Ledger) finish(e *entry, state lilacv1.ClaimState, stored *lilacv1.StoredAnswer) {
	if !l.checkInvariant(e.state == lilacv1.ClaimState_CLAIM_STATE_CLAIMED) {
		return
	}
	l.incarnations.removeOpen(e)
	e.endAs(state)
	if state != lilacv1.ClaimState_CLAIM_STATE_RAN || stored == nil {
		return
	}
	e.answer = answerFromMessage(stored)
	if e.answer.size() > l.limits.AnswerBytes {
		dropBody(e)
	}
	l.retainAnswer(e)
}

// dropBody keeps the status of the answer without its body. The answer is replaced
// rather than modified, since a reply being sent may share it.
func dropBody(e *entry) {
	e.copyRecord()
	e.answer = &answer{status: e.answer.status, contentType: e.answer.contentType, tooLarge: true}
}

// retainAnswer accounts for the entry's body and drops the oldest bodies beyond the
// limit.
func (l *Ledger) retainAnswer(e *entry) {
	size := e.answer.size()
	if size == 0 {
		return
	}
	e.answerElement = l.answers.PushBack(e)
	l.answerBytes += size
	for l.answerBytes > l.limits.TotalAnswerBytes {
		oldest := l.answers.Front().Value.(*entry)
		l.releaseAnswer(oldest)
		dropBody(oldest)
	}
}

func (l *Ledger) releaseAnswer(e *entry) {
	if e.answerElement == nil {
		return
	}
	l.answers.Remove(e.answerElement)
	e.answerElement = nil
	l.answerBytes -= e.answer.size()
}

// markUnknown ends the open claims of a dead incarnation: it is not known whether
// they ran.
func (l *Ledger) markUnknown(open []*entry) {
	for _, e := range open {
		e.endAs(lilacv1.ClaimState_CLAIM_STATE_UNKNOWN)
	}
}

// MarkGone declares incarnations dead: their open claims become unknown and their
// later claims are refused.
func (l *Ledger) MarkGone(g *lilacv1.IncarnationsGone) {
	l.advance(g.GetNowUnixMs())
	for _, incarnation := range g.GetIncarnations() {
		l.incarnations.retire(incarnation, l.markUnknown)
	}
}

// Incarnations returns the incarnations that have claimed and are not known to be
// dead, sorted by instance name.
func (l *Ledger) Incarnations() []string {
	var list []string
	for _, i := range l.incarnations.currentIncarnations() {
		list = append(list, i.GetIncarnation())
	}
	return list
}

// OpenClaims returns the number of claims without an outcome.
func (l *Ledger) OpenClaims() int { return l.incarnations.openCount() }

func (l *Ledger) retentionMs() int64 { return l.limits.Retention.Milliseconds() }

// sweep replaces the oldest entries by tombstones once their retention has passed.
func (l *Ledger) sweep() {
	for range maxSweptPerCommand {
		front := l.order.oldest
		if front == nil || l.nowMs < front.claimedUnixMs+l.retentionMs() {
			break
		}
		if !l.retireToTombstone(front) {
			break
		}
	}
	l.tombstones.sweep(l.nowMs)
	l.continueForgetting()
}

// retireToTombstone replaces an entry by a tombstone. It returns false if there is
// no room for one; the entry then stays, so that the key is not forgotten.
func (l *Ledger) retireToTombstone(e *entry) bool {
	key := keyID{e.team, e.key}
	untilMs := int64(0)
	if createdMs, timed := keyTime(e.key); timed {
		untilMs = createdMs + l.retentionMs()
	}
	// The key's own time already refuses it, or it is known not to have run.
	drop := untilMs != 0 && untilMs <= l.nowMs || e.state == lilacv1.ClaimState_CLAIM_STATE_NOT_RUN
	if untilMs == 0 {
		l.untimed--
	} else if !drop && l.tombstones.timedSize() >= l.limits.Tombstones {
		return false
	}
	l.incarnations.removeOpen(e)
	l.releaseAnswer(e)
	l.order.remove(e)
	delete(l.entries, key)
	switch {
	case drop:
	case untilMs == 0:
		l.tombstones.add(key, -e.claimedUnixMs)
	default:
		l.tombstones.add(key, untilMs)
	}
	return true
}

// reserveCapacity refuses a new key that could not be remembered for as long as
// required.
func (l *Ledger) reserveCapacity(key string) error {
	if !isTimed(key) && l.tombstones.untimedSize()+l.untimed >= l.limits.Tombstones {
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_LIMIT,
			"the ledger can remember no more keys without a time; send a UUID of version 7 as Idempotency-Key, or ask the operators to FORGET KEYS",
			fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))
	}
	if len(l.entries) >= l.limits.Entries && !l.retireOldest() {
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_LIMIT,
			"the ledger of non-idempotent requests is full; come back later, or shorten claim_retention",
			fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE), fault.WithRetryAfter(fullLedgerRetryAfter))
	}
	return nil
}

// retireOldest makes room for a new claim before the oldest entry's retention has
// passed. An open claim is not retired, since its outcome is still to come.
func (l *Ledger) retireOldest() bool {
	front := l.order.oldest
	for range maxSweptPerCommand {
		if front == nil {
			return false
		}
		if front.state != lilacv1.ClaimState_CLAIM_STATE_CLAIMED {
			return l.retireToTombstone(front)
		}
		front = front.next
	}
	return false
}

// expired reports whether the key's retention has passed, so that it must never run
// again, whether or not it ran.
func (l *Ledger) expired(key keyID) bool {
	if createdMs, timed := keyTime(key.key); timed && createdMs+l.retentionMs() <= l.nowMs {
		return true
	}
	if l.tombstones.has(key) {
		return true
	}
	e, ok := l.entries[key]
	return ok && e.state != lilacv1.ClaimState_CLAIM_STATE_NOT_RUN && e.claimedUnixMs+l.retentionMs() <= l.nowMs
}

// Limits returns the limits in force, with defaults filled in.
func (l *Ledger) Limits() Limits { return l.limits }
