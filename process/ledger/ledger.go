// Package ledger is the deterministic state machine that lets each
// non-idempotent request run at most once.
//
// A request is claimed by team and key before its first byte goes out, and its
// outcome is recorded when it ended. States only move forward: claimed, then
// ran, unknown or not_run; only not_run lets a new claim follow. Time comes in
// the commands and only grows. See docs/notes/ledger.md for what a key means
// after its retention.
package ledger

import (
	"container/list"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// Limits bound what the ledger keeps. All processes of a group must have the same.
type Limits struct {
	// Retention is how long a key's state and answer are kept. Default 24h.
	Retention time.Duration
	// AnswerBytes is the largest answer that is kept. Default 64 KiB.
	AnswerBytes int
	// TotalAnswerBytes bounds all kept answers together; the oldest go first.
	// Default 32 MiB.
	TotalAnswerBytes int
	// Entries bounds the keys within their retention; ended ones become
	// tombstones early where there are more. Default 100000.
	Entries int
	// Tombstones bounds the remembered keys past their retention, once for keys
	// that carry a time and once for the others. A key that is not remembered
	// would run again, so new claims are refused when there is no room to
	// remember them. Default 1000000.
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
	// maxGone is how many gone incarnations are remembered.
	maxFenced = 16384
	// sweepStep bounds the old entries that one command clears away, so that no
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

// Ledger is the state machine. Calls must not overlap.
type Ledger struct {
	limits  Limits
	nowMs   int64
	entries map[keyID]*entry
	// order holds the entries from the oldest claim on; answers those with a
	// kept body, from the oldest answer on.
	order        claimOrder
	answers      *list.List
	answerBytes  int
	tombstones   *tombstones
	incarnations *incarnations
	// untimed counts the entries whose key carries no time; each has a place
	// among the tombstones reserved.
	untimed int
	// recovery is the last one from a lost majority; nil if there was none.
	recovery                       *lilacv1.LedgerRecovery
	forgetting                     forgetProgress
	lateOutcomes, brokenInvariants uint64
	// doubted counts the claims refused because the key is in doubt.
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

// LateOutcomes counts outcomes that came when the claim had already ended
// otherwise, as when its instance was taken for dead; the state stayed.
func (l *Ledger) LateOutcomes() uint64 { return l.lateOutcomes }

// Doubted counts claims refused since a lost majority may have known the key.
func (l *Ledger) InDoubtClaims() uint64 { return l.inDoubtClaims }

// Broken counts broken invariants: steps that would have moved a state backwards
// or granted a key twice. They were refused; the count must stay 0.
func (l *Ledger) BrokenInvariants() uint64 { return l.brokenInvariants }

// advance moves the ledger's time; a command with an older time changes nothing.
func (l *Ledger) advance(nowUnixMs int64) {
	l.nowMs = max(l.nowMs, nowUnixMs)
	l.sweep()
}

// Claim decides whether the request may run. Its order of checks matters: a key
// that might have run before is never granted, whatever else is wrong with it.
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

// Final answers a claim whose answer can't change any more, without changing
// anything: the key has ended as ran or unknown. It is right on every process,
// however far behind, since those states are final; so a data centre that is cut
// off still answers what it has seen end.
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

// again answers a claim of a key that is known.
func (l *Ledger) repeatedClaim(existing *entry, r *lilacv1.ClaimRequest) *lilacv1.ClaimReply {
	if !existing.hasDigest() {
		// Released before the claim itself arrived; the first body to come counts.
		existing.copyRecord()
		copy(existing.digest[:], r.GetDigest())
	}
	if string(existing.digest[:]) != string(r.GetDigest()) {
		return &lilacv1.ClaimReply{State: existing.state, BodyDiffers: true}
	}
	sameAttempt := existing.attempt == r.GetAttempt()
	switch existing.state {
	case lilacv1.ClaimState_CLAIM_STATE_CLAIMED:
		// The same attempt again means that its answer was lost on the way.
		return &lilacv1.ClaimReply{Granted: sameAttempt, State: existing.state}
	case lilacv1.ClaimState_CLAIM_STATE_NOT_RUN:
		// A delayed copy of a claim that was given up must not open it again:
		// nobody waits for its grant any more.
		if sameAttempt {
			return &lilacv1.ClaimReply{State: existing.state}
		}
		return &lilacv1.ClaimReply{Granted: l.reopen(existing, r), State: existing.state}
	}
	return &lilacv1.ClaimReply{State: existing.state, Answer: existing.answer.toMessage()}
}

// Outcome records how a claimed request ended. The same outcome again is
// confirmed again; a state that is no longer claimed stays as it is.
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

// outcomeWithoutClaim remembers that an attempt was given up before its claim arrived.
//
// It guards against a claim that is delayed on the way while its instance gives
// up and says so: the claim would stand open for ever and the caller's resend
// would be told "in progress". It holds because the attempt is already marked
// not_run when its claim arrives.
func (l *Ledger) outcomeWithoutClaim(key keyID, r *lilacv1.OutcomeRequest) (*lilacv1.OutcomeReply, error) {
	if l.expired(key) || r.GetState() != lilacv1.ClaimState_CLAIM_STATE_NOT_RUN {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_NOT_FOUND, "no such claim is remembered; its retention has passed, or it never was")
	}
	// Of a key in doubt another attempt may have run: it must not become free.
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

// StateName returns the state as it stands in messages, such as "not_run".
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
