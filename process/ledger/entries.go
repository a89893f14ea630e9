package ledger

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// fullRetryAfter is when a caller that met a full ledger may come back.
const fullRetryAfter = 30 * time.Second

// invariant counts a step that must never happen; the caller then does not make it.
func (l *Ledger) invariant(holds bool) bool {
	if !holds {
		l.broken++
	}
	return holds
}

func (l *Ledger) add(message *lilacv1.LedgerEntry) {
	e := &entry{LedgerEntry: message}
	e.place = l.order.PushBack(e)
	l.entries[id{e.GetTeam(), e.GetKey()}] = e
	if !isTimed(e.GetKey()) {
		l.untimed++
	}
	if e.GetState() == lilacv1.ClaimState_CLAIM_STATE_CLAIMED {
		l.instances.open(e)
	}
	l.keepAnswer(e)
}

// reopen grants a key whose earlier attempt is proved not to have run. It
// counts as a new claim, so that its retention begins now.
func (l *Ledger) reopen(e *entry, r *lilacv1.ClaimRequest) bool {
	if !l.invariant(e.GetState() == lilacv1.ClaimState_CLAIM_STATE_NOT_RUN) {
		return false
	}
	e.fresh()
	e.Instance, e.Incarnation, e.Attempt = r.GetInstance(), r.GetIncarnation(), r.GetAttempt()
	e.State = lilacv1.ClaimState_CLAIM_STATE_CLAIMED
	e.ClaimedUnixMs = l.nowMs
	l.order.MoveToBack(e.place)
	l.instances.open(e)
	return true
}

// finish is the only step out of the state claimed.
func (l *Ledger) finish(e *entry, state lilacv1.ClaimState, answer *lilacv1.StoredAnswer) {
	if !l.invariant(e.GetState() == lilacv1.ClaimState_CLAIM_STATE_CLAIMED) {
		return
	}
	l.instances.close(e)
	e.fresh()
	e.State = state
	if state != lilacv1.ClaimState_CLAIM_STATE_RAN || answer == nil {
		return
	}
	e.Answer = answer
	if len(answer.GetBody()) > l.limits.AnswerBytes {
		dropBody(e)
	}
	l.keepAnswer(e)
}

// fresh replaces the entry's message by a copy, which may then be changed: a
// capture that is being encoded shares the old one.
//
// It guards against a snapshot that holds the effect of a command after its
// index: a process that starts from it would apply that command twice and
// differ from the others. It holds because a message is never changed once its
// command has returned, only replaced.
func (e *entry) fresh() {
	old := e.LedgerEntry
	e.LedgerEntry = &lilacv1.LedgerEntry{
		Team: old.GetTeam(), Key: old.GetKey(), Digest: old.GetDigest(),
		Instance: old.GetInstance(), Incarnation: old.GetIncarnation(), Attempt: old.GetAttempt(),
		State: old.GetState(), ClaimedUnixMs: old.GetClaimedUnixMs(), Answer: old.GetAnswer(),
	}
}

// dropBody keeps the status of the answer without its body. The message is
// replaced, not changed, since a reply that is being sent may share it.
func dropBody(e *entry) {
	e.fresh()
	e.Answer = &lilacv1.StoredAnswer{Status: e.GetAnswer().GetStatus(), ContentType: e.GetAnswer().GetContentType(), TooLarge: true}
}

// keepAnswer counts the entry's body and drops the oldest bodies past the bound.
func (l *Ledger) keepAnswer(e *entry) {
	size := len(e.GetAnswer().GetBody())
	if size == 0 {
		return
	}
	e.answerPlace = l.answers.PushBack(e)
	l.answerBytes += size
	for l.answerBytes > l.limits.TotalAnswerBytes {
		oldest := l.answers.Front().Value.(*entry)
		l.forgetAnswer(oldest)
		dropBody(oldest)
	}
}

func (l *Ledger) forgetAnswer(e *entry) {
	if e.answerPlace == nil {
		return
	}
	l.answers.Remove(e.answerPlace)
	e.answerPlace = nil
	l.answerBytes -= len(e.GetAnswer().GetBody())
}

// endOpenClaims marks claims of a gone incarnation: whether they ran is not known.
func (l *Ledger) endOpenClaims(open []*entry) {
	for _, e := range open {
		e.fresh()
		e.State = lilacv1.ClaimState_CLAIM_STATE_UNKNOWN
	}
}

// Gone marks incarnations as gone: their open claims become unknown and later
// claims of theirs are refused.
func (l *Ledger) Gone(g *lilacv1.IncarnationsGone) {
	l.advance(g.GetNowUnixMs())
	for _, incarnation := range g.GetIncarnations() {
		l.instances.gone(incarnation, l.endOpenClaims)
	}
}

// Incarnations returns the incarnations that have claimed and are not known to
// be gone, in order of their instances' names.
func (l *Ledger) Incarnations() []string {
	var list []string
	for _, i := range l.instances.all() {
		list = append(list, i.GetIncarnation())
	}
	return list
}

// OpenClaims returns how many requests are claimed and not ended.
func (l *Ledger) OpenClaims() int { return l.instances.openCount() }

func (l *Ledger) retentionMs() int64 { return l.limits.Retention.Milliseconds() }

// sweep turns the oldest entries whose retention has passed into tombstones.
func (l *Ledger) sweep() {
	for range sweepStep {
		front := l.order.Front()
		if front == nil || l.nowMs < front.Value.(*entry).GetClaimedUnixMs()+l.retentionMs() {
			break
		}
		if !l.retire(front.Value.(*entry)) {
			break
		}
	}
	l.tombstones.sweep(l.nowMs)
}

// retire replaces an entry by a tombstone. It tells false where there is no
// room for one: the entry then stays, so that the key is not forgotten.
func (l *Ledger) retire(e *entry) bool {
	key := id{e.GetTeam(), e.GetKey()}
	until := int64(0)
	if made, timed := keyTime(e.GetKey()); timed {
		until = made + l.retentionMs()
	}
	// The key's own time refuses it already, or it is proved not to have run.
	forget := until != 0 && until <= l.nowMs || e.GetState() == lilacv1.ClaimState_CLAIM_STATE_NOT_RUN
	if until == 0 {
		l.untimed--
	} else if !forget && l.tombstones.timedSize() >= l.limits.Tombstones {
		return false
	}
	l.instances.close(e)
	l.forgetAnswer(e)
	l.order.Remove(e.place)
	delete(l.entries, key)
	if !forget {
		l.tombstones.add(key, until)
	}
	return true
}

// makeRoom refuses a new key that could not be remembered as long as it must.
func (l *Ledger) makeRoom(key string) error {
	if !isTimed(key) && l.tombstones.untimedSize()+l.untimed >= l.limits.Tombstones {
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_LIMIT,
			"the ledger can remember no more keys without a time; send a UUID of version 7 as Idempotency-Key",
			fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))
	}
	if len(l.entries) >= l.limits.Entries && !l.retireOldest() {
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_LIMIT,
			"the ledger of non-idempotent requests is full; come back later, or shorten claim_retention",
			fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE), fault.WithRetryAfter(fullRetryAfter))
	}
	return nil
}

// retireOldest makes room for a new claim before the oldest entry's retention
// is over. An open claim is not retired: its outcome is still to come.
func (l *Ledger) retireOldest() bool {
	front := l.order.Front()
	for range sweepStep {
		if front == nil {
			return false
		}
		e := front.Value.(*entry)
		if e.GetState() != lilacv1.ClaimState_CLAIM_STATE_CLAIMED {
			return l.retire(e)
		}
		front = front.Next()
	}
	return false
}

// expired tells whether the key's retention has passed, so that it must never
// run again whether or not it ran.
func (l *Ledger) expired(key id) bool {
	if made, timed := keyTime(key.key); timed && made+l.retentionMs() <= l.nowMs {
		return true
	}
	if l.tombstones.has(key) {
		return true
	}
	e, ok := l.entries[key]
	return ok && e.GetState() != lilacv1.ClaimState_CLAIM_STATE_NOT_RUN && e.GetClaimedUnixMs()+l.retentionMs() <= l.nowMs
}

// Limits returns the bounds in force, defaults filled in.
func (l *Ledger) Limits() Limits { return l.limits }
