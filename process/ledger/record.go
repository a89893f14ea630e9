package ledger

import (
	"container/list"
	"unique"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// record is the stored state of one request. Once its command has returned it is
// never modified, only replaced by a modified copy, because a capture being encoded
// may share it. Hundreds of thousands are held in memory, so it is kept small.
type record struct {
	team, key, attempt string
	// holder holds the claim; nil once it has ended.
	holder *holder
	// digest is all zero if the claim was released before it arrived.
	digest        [digestBytes]byte
	answer        *answer
	claimedUnixMs int64
	state         lilacv1.ClaimState
}

type holder struct{ instance, incarnation string }

// answer is the first answer to a request. It is replaced, never modified.
type answer struct {
	contentType string
	body        []byte
	status      uint32
	tooLarge    bool
	unframed    bool
}

func answerFromMessage(m *lilacv1.StoredAnswer) *answer {
	if m == nil {
		return nil
	}
	// Few content types are in use, so they are interned: a copy per answer would
	// take more memory than the rest of the answer.
	contentType := unique.Make(m.GetContentType()).Value()
	return &answer{contentType: contentType, body: m.GetBody(), status: m.GetStatus(), tooLarge: m.GetTooLarge(), unframed: m.GetUnframed()}
}

func (a *answer) toMessage() *lilacv1.StoredAnswer {
	if a == nil {
		return nil
	}
	return &lilacv1.StoredAnswer{Status: a.status, ContentType: a.contentType, Body: a.body, TooLarge: a.tooLarge, Unframed: a.unframed}
}

// size returns the length of the kept body.
func (a *answer) size() int {
	if a == nil {
		return 0
	}
	return len(a.body)
}

// entry links a record into the ledger's lists.
type entry struct {
	*record
	// prev and next are the neighbours in claim order.
	prev, next    *entry
	answerElement *list.Element
}

func recordFromMessage(m *lilacv1.LedgerEntry) *record {
	r := &record{
		team: m.GetTeam(), key: m.GetKey(), attempt: m.GetAttempt(),
		state: m.GetState(), claimedUnixMs: m.GetClaimedUnixMs(), answer: answerFromMessage(m.GetAnswer()),
	}
	copy(r.digest[:], m.GetDigest())
	if r.state == lilacv1.ClaimState_CLAIM_STATE_CLAIMED {
		r.holder = &holder{m.GetInstance(), m.GetIncarnation()}
	}
	return r
}

func (r *record) toMessage() *lilacv1.LedgerEntry {
	m := &lilacv1.LedgerEntry{
		Team: r.team, Key: r.key, Attempt: r.attempt,
		State: r.state, ClaimedUnixMs: r.claimedUnixMs, Answer: r.answer.toMessage(),
	}
	if r.hasDigest() {
		m.Digest = r.digest[:]
	}
	if r.holder != nil {
		m.Instance, m.Incarnation = r.holder.instance, r.holder.incarnation
	}
	return m
}

func (r *record) hasDigest() bool { return r.digest != [digestBytes]byte{} }

// copyRecord replaces the entry's record by a copy that may be modified.
//
// Otherwise a snapshot could contain the effect of a command after its index, and a
// process that starts from it would apply that command twice and diverge. A record
// is therefore never modified once its command has returned.
func (e *entry) copyRecord() {
	changed := *e.record
	e.record = &changed
}

// endAs moves the entry to an end state and releases its holder.
func (e *entry) endAs(state lilacv1.ClaimState) {
	e.copyRecord()
	e.state, e.holder = state, nil
}

// claimOrder is a list of entries, oldest claim first. Its links are stored in the
// entries, which saves a third of the memory per entry.
type claimOrder struct {
	oldest, newest *entry
	count          int
}

func (o *claimOrder) add(e *entry) {
	e.prev, e.next = o.newest, nil
	if o.newest == nil {
		o.oldest = e
	} else {
		o.newest.next = e
	}
	o.newest = e
	o.count++
}

func (o *claimOrder) remove(e *entry) {
	if e.prev == nil {
		o.oldest = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		o.newest = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
	o.count--
}
