package ledger

import (
	"container/list"
	"unique"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// record is what is remembered of one request. It is replaced by a changed
// copy, never changed itself, once its command has returned: a capture that is
// being encoded shares it. Hundreds of thousands are held, so it is kept small.
type record struct {
	team, key, attempt string
	// holder is who holds the claim; nil once it has ended.
	holder *holder
	// digest is all zero for one that was released before its claim arrived.
	digest        [digestBytes]byte
	answer        *answer
	claimedUnixMs int64
	state         lilacv1.ClaimState
}

type holder struct{ instance, incarnation string }

// answer is the first answer of a request; it is replaced, never changed.
type answer struct {
	contentType string
	body        []byte
	status      uint32
	tooLarge    bool
}

func answerFromMessage(m *lilacv1.StoredAnswer) *answer {
	if m == nil {
		return nil
	}
	// Few types are in use; callers' copies of them would weigh more than the rest.
	contentType := unique.Make(m.GetContentType()).Value()
	return &answer{contentType: contentType, body: m.GetBody(), status: m.GetStatus(), tooLarge: m.GetTooLarge()}
}

func (a *answer) toMessage() *lilacv1.StoredAnswer {
	if a == nil {
		return nil
	}
	return &lilacv1.StoredAnswer{Status: a.status, ContentType: a.contentType, Body: a.body, TooLarge: a.tooLarge}
}

// size is the length of the kept body.
func (a *answer) size() int {
	if a == nil {
		return 0
	}
	return len(a.body)
}

// entry is the place of a record in the ledger's lists.
type entry struct {
	*record
	// before and after are its neighbours in the order of claims.
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

// fresh replaces the entry's record by a copy, which may then be changed.
//
// It guards against a snapshot that holds the effect of a command after its
// index: a process that starts from it would apply that command twice and
// differ from the others. It holds because a record is never changed once its
// command has returned, only replaced.
func (e *entry) copyRecord() {
	changed := *e.record
	e.record = &changed
}

// end moves the entry out of the state claimed.
func (e *entry) end(state lilacv1.ClaimState) {
	e.copyRecord()
	e.state, e.holder = state, nil
}

// claimOrder lists entries from the oldest claim on; its links stand in the
// entries, which saves a third of what an entry weighs.
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
