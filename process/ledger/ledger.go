// Package ledger implements the deterministic state machine that runs each
// non-idempotent request at most once.
//
// A request is claimed by team and key before its first byte is sent, and its
// outcome is recorded when it has ended. States only move forward: claimed, then
// ran, unknown or not_run; only not_run allows a new claim. Time is supplied by the
// commands and never decreases. See docs/notes/ledger.md for the meaning of a key
// after its retention.
package ledger

import (
	"container/list"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// Limits bounds the size of the ledger. All processes of a group must use the same
// values.
type Limits struct {
	// Retention is how long the state and answer of a key are kept. Default 24h.
	Retention time.Duration
	// AnswerBytes is the size of the largest answer body that is kept. Default 64
	// KiB.
	AnswerBytes int
	// TotalAnswerBytes limits the total size of the kept answer bodies; the oldest
	// are dropped first. Default 32 MiB.
	TotalAnswerBytes int
	// Entries limits the number of keys within their retention. Beyond it, ended
	// ones become tombstones early. Default 100000.
	Entries int
	// Tombstones limits the remembered keys past their retention, separately for
	// keys that carry a time and for the others. A key that is not remembered could
	// run again, so new claims are refused if there is no room to remember them.
	// Default 1000000.
	Tombstones int
}

const (
	defaultRetention        = 24 * time.Hour
	defaultAnswerBytes      = 64 << 10
	defaultTotalAnswerBytes = 32 << 20
	defaultEntries          = 100000
	defaultTombstones       = 1000000

	digestBytes = 32
	maxKeyBytes = 256
	// maxFenced is the number of dead incarnations that are remembered.
	maxFenced = 16384
	// maxSweptPerCommand limits the old entries removed per command, so that no
	// command is slow.
	maxSweptPerCommand = 8
)

func (l Limits) withDefaults() Limits {
	fill := func(field *int, value int) {
		if *field <= 0 {
			*field = value
		}
	}
	if l.Retention <= 0 {
		l.Retention = defaultRetention
	}
	fill(&l.AnswerBytes, defaultAnswerBytes)
	fill(&l.TotalAnswerBytes, defaultTotalAnswerBytes)
	fill(&l.Entries, defaultEntries)
	fill(&l.Tombstones, defaultTombstones)
	return l
}

type keyID struct{ team, key string }

// Ledger is the state machine. It is not safe for concurrent use.
type Ledger struct {
	limits  Limits
	nowMs   int64
	entries map[keyID]*entry
	// order lists the entries by claim time, answers those with a kept body by the
	// time of the answer, both oldest first.
	order        claimOrder
	answers      *list.List
	answerBytes  int
	tombstones   *tombstones
	incarnations *incarnations
	// untimed counts the entries whose key carries no time; each has space for a
	// tombstone reserved.
	untimed int
	// recovery is the last recovery from a lost majority; nil if there was none.
	recovery                         *lilacv1.LedgerRecovery
	forgetting                       forgetProgress
	lateOutcomes, invariantsViolated uint64
	// inDoubtClaims counts the claims refused because the key is in doubt.
	inDoubtClaims uint64
}

// New returns an empty Ledger.
func New(limits Limits) *Ledger {
	return &Ledger{
		limits:       limits.withDefaults(),
		entries:      make(map[keyID]*entry),
		answers:      list.New(),
		tombstones:   newTombstones(),
		incarnations: newIncarnations(),
	}
}

// Len returns the number of keys within their retention.
func (l *Ledger) Len() int { return len(l.entries) }

// Tombstones returns the number of remembered keys past their retention.
func (l *Ledger) Tombstones() int { return l.tombstones.size() }

// LateOutcomes returns the number of outcomes that differ from the state in which
// the claim had already ended, as when its instance was declared dead. The state
// did not change.
func (l *Ledger) LateOutcomes() uint64 { return l.lateOutcomes }

// InDoubtClaims returns the number of claims refused because a lost majority may
// have granted the key.
func (l *Ledger) InDoubtClaims() uint64 { return l.inDoubtClaims }

// InvariantsViolated returns the number of violated invariants: steps that would have
// moved a state backwards or granted a key twice. Those steps were refused; the
// count must stay 0.
func (l *Ledger) InvariantsViolated() uint64 { return l.invariantsViolated }

// advance moves the ledger's time forward; an older time has no effect.
func (l *Ledger) advance(nowUnixMs int64) {
	l.nowMs = max(l.nowMs, nowUnixMs)
	l.sweep()
}

// Claim decides whether the request may run. The order of the checks matters: a key
// that might have run before is never granted, even if the claim is invalid for
// another reason.
func (l *Ledger) Claim(r *lilacv1.ClaimRequest) (*lilacv1.ClaimReply, error) {
	l.advance(r.GetNowUnixMs())
	if err := checkClaim(r); err != nil {
		return nil, err
	}
	if err := l.incarnations.observe(r.GetInstance(), r.GetIncarnation(), l.markUnknown); err != nil {
		return nil, err
	}
	key := keyID{r.GetTeam(), r.GetKey()}
	if l.expired(key) {
		return &lilacv1.ClaimReply{Expired: true}, nil
	}
	if existing, ok := l.entries[key]; ok {
		return l.repeatedClaim(existing, r), nil
	}
	if l.inDoubt(r.GetKey()) {
		return l.refuseInDoubt(r.GetKey()), nil
	}
	if err := l.checkKeyTime(r.GetKey()); err != nil {
		return nil, err
	}
	if err := l.reserveCapacity(r.GetKey()); err != nil {
		return nil, err
	}
	if !l.checkInvariant(!l.tombstones.has(key)) {
		return &lilacv1.ClaimReply{Expired: true}, nil
	}
	l.addEntry(&lilacv1.LedgerEntry{
		Team: r.GetTeam(), Key: r.GetKey(), Digest: r.GetDigest(),
		Instance: r.GetInstance(), Incarnation: r.GetIncarnation(), Attempt: r.GetAttempt(),
		State: lilacv1.ClaimState_CLAIM_STATE_CLAIMED, ClaimedUnixMs: l.nowMs,
	})
	return &lilacv1.ClaimReply{Granted: true, State: lilacv1.ClaimState_CLAIM_STATE_CLAIMED}, nil
}

// FinalReply answers a claim whose reply can no longer change: the key has ended as
// ran or unknown. It is correct on every process, however far behind, because those
// states are final, so a partitioned data centre can still reply for keys that it
// has seen end.
func (l *Ledger) FinalReply(r *lilacv1.ClaimRequest) (*lilacv1.ClaimReply, bool) {
	existing, ok := l.entries[keyID{r.GetTeam(), r.GetKey()}]
	if !ok || checkClaim(r) != nil {
		return nil, false
	}
	switch existing.state {
	case lilacv1.ClaimState_CLAIM_STATE_RAN, lilacv1.ClaimState_CLAIM_STATE_UNKNOWN:
		return l.repeatedClaim(existing, r), true
	}
	return nil, false
}

func checkClaim(r *lilacv1.ClaimRequest) error {
	problem := ""
	switch {
	case r.GetTeam() == "":
		problem = "the claim names no team"
	case r.GetKey() == "" || len(r.GetKey()) > maxKeyBytes:
		problem = "an Idempotency-Key has 1 to 256 bytes"
	case len(r.GetDigest()) != digestBytes:
		problem = "the claim carries no SHA-256 of the request"
	case r.GetInstance() == "" || r.GetIncarnation() == "" || r.GetAttempt() == "":
		problem = "the claim names no instance, incarnation or attempt"
	default:
		return nil
	}
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, problem+"; mend the request", fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))
}

// repeatedClaim answers a claim of a known key.
func (l *Ledger) repeatedClaim(existing *entry, r *lilacv1.ClaimRequest) *lilacv1.ClaimReply {
	if !existing.hasDigest() {
		// Released before the claim arrived; the first body to arrive determines
		// the digest.
		existing.copyRecord()
		copy(existing.digest[:], r.GetDigest())
	}
	if string(existing.digest[:]) != string(r.GetDigest()) {
		return &lilacv1.ClaimReply{State: existing.state, BodyDiffers: true}
	}
	sameAttempt := existing.attempt == r.GetAttempt()
	switch existing.state {
	case lilacv1.ClaimState_CLAIM_STATE_CLAIMED:
		// A repeated attempt means that the first reply was lost.
		return &lilacv1.ClaimReply{Granted: sameAttempt, State: existing.state}
	case lilacv1.ClaimState_CLAIM_STATE_NOT_RUN:
		// A delayed copy of a released claim must not reopen it: nobody is waiting
		// for its grant.
		if sameAttempt {
			return &lilacv1.ClaimReply{State: existing.state}
		}
		return &lilacv1.ClaimReply{Granted: l.reopen(existing, r), State: existing.state}
	}
	return &lilacv1.ClaimReply{State: existing.state, Answer: existing.answer.toMessage()}
}

// Outcome records how a claimed request ended. It is idempotent; a claim that has
// already ended keeps its state.
func (l *Ledger) Outcome(r *lilacv1.OutcomeRequest) (*lilacv1.OutcomeReply, error) {
	l.advance(r.GetNowUnixMs())
	if !isEndState(r.GetState()) || r.GetTeam() == "" || r.GetKey() == "" || r.GetAttempt() == "" || len(r.GetKey()) > maxKeyBytes {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "an outcome names team, key, attempt and one of ran, unknown or not_run")
	}
	key := keyID{r.GetTeam(), r.GetKey()}
	existing, ok := l.entries[key]
	if !ok {
		return l.outcomeWithoutClaim(key, r)
	}
	if existing.attempt != r.GetAttempt() {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "another attempt holds this key, in state %s; the outcome is not recorded", StateName(existing.state))
	}
	if existing.state != lilacv1.ClaimState_CLAIM_STATE_CLAIMED {
		if existing.state != r.GetState() {
			l.lateOutcomes++
		}
		return &lilacv1.OutcomeReply{State: existing.state}, nil
	}
	l.finish(existing, r.GetState(), r.GetAnswer())
	return &lilacv1.OutcomeReply{State: existing.state}, nil
}

// outcomeWithoutClaim records that an attempt was released before its claim
// arrived.
//
// Otherwise a claim delayed in transit while its instance gives up would stay open
// forever, and the caller's retry would get "in progress". The attempt is already
// marked not_run when its claim arrives.
func (l *Ledger) outcomeWithoutClaim(key keyID, r *lilacv1.OutcomeRequest) (*lilacv1.OutcomeReply, error) {
	if l.expired(key) || r.GetState() != lilacv1.ClaimState_CLAIM_STATE_NOT_RUN {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_NOT_FOUND, "no such claim is remembered; its retention has passed, or it never was")
	}
	// Another attempt with a key in doubt may have run, so the key must not be
	// released.
	if l.inDoubt(r.GetKey()) || l.checkKeyTime(r.GetKey()) != nil || l.reserveCapacity(r.GetKey()) != nil {
		return &lilacv1.OutcomeReply{State: r.GetState()}, nil
	}
	l.addEntry(&lilacv1.LedgerEntry{Team: r.GetTeam(), Key: r.GetKey(), Attempt: r.GetAttempt(), State: r.GetState(), ClaimedUnixMs: l.nowMs})
	return &lilacv1.OutcomeReply{State: r.GetState()}, nil
}

func isEndState(state lilacv1.ClaimState) bool {
	switch state {
	case lilacv1.ClaimState_CLAIM_STATE_RAN, lilacv1.ClaimState_CLAIM_STATE_UNKNOWN, lilacv1.ClaimState_CLAIM_STATE_NOT_RUN:
		return true
	}
	return false
}

// StateName returns the name of the state used in messages, such as "not_run".
func StateName(state lilacv1.ClaimState) string {
	switch state {
	case lilacv1.ClaimState_CLAIM_STATE_CLAIMED:
		return "claimed"
	case lilacv1.ClaimState_CLAIM_STATE_RAN:
		return "ran"
	case lilacv1.ClaimState_CLAIM_STATE_UNKNOWN:
		return "unknown"
	case lilacv1.ClaimState_CLAIM_STATE_NOT_RUN:
		return "not_run"
	}
	return "unspecified"
}
