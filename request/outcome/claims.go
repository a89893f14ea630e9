package outcome

import (
	"context"
	"crypto/sha256"
	"errors"
	"sync"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	// claimTimeout is the time after which a request whose claim has not been granted is
	// refused.
	claimTimeout = 3 * time.Second
	// noQuorumRetryAfter is the least Retry-After when the ledger takes no claims.
	noQuorumRetryAfter = 2 * time.Second
	// inProgressRetryAfter is the Retry-After for a repeated request while the first one
	// is in progress.
	inProgressRetryAfter = time.Second
	// minStoreBackoff is the initial backoff between attempts to store an outcome.
	minStoreBackoff = 100 * time.Millisecond
	// maxStoreBackoff bounds the exponential backoff.
	maxStoreBackoff = 3 * time.Second
	// storeTimeout bounds one attempt to store an outcome.
	storeTimeout = 3 * time.Second
	// MaxStoredBytes is the size of the largest answer body stored for repeated requests.
	MaxStoredBytes = 64 << 10
)

// Ledger is the replicated record of non-idempotent requests.
type Ledger interface {
	// Claim fills in the claimant. After an error the request must not run; if the claim
	// may have been granted nevertheless, the Ledger releases it.
	Claim(ctx context.Context, req *lilacv1.ClaimRequest) (*lilacv1.ClaimReply, error)
	Outcome(ctx context.Context, req *lilacv1.OutcomeRequest) (*lilacv1.OutcomeReply, error)
}

// Claims manages the claims of this instance. It is safe for concurrent use.
type Claims struct {
	ledger  Ledger
	life    context.Context
	pending sync.WaitGroup
}

// NewClaims returns Claims. Outcomes that are not stored when life ends are abandoned.
func NewClaims(life context.Context, ledger Ledger) *Claims {
	return &Claims{ledger: ledger, life: life}
}

// Claim is the right to run one non-idempotent request once.
type Claim struct {
	claims  *Claims
	team    string
	key     string
	attempt string
}

// Digest returns the SHA-256 of path and body, which detects the reuse of a key for
// another request.
func Digest(path string, body []byte) []byte {
	hash := sha256.New()
	hash.Write([]byte(path))
	hash.Write([]byte{0})
	hash.Write(body)
	return hash.Sum(nil)
}

// Begin claims the key. It returns the claim if the request may run now, or the stored
// answer of an earlier request with the key, or a typed error. attempt is the id of this
// request.
func (c *Claims) Begin(ctx context.Context, record *Record, team, key, attempt string, digest []byte) (*Claim, *lilacv1.StoredAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim := &Claim{claims: c, team: team, key: key, attempt: attempt}
	reply, err := c.ledger.Claim(ctx, &lilacv1.ClaimRequest{
		Team: team, Key: key, Digest: digest, Attempt: attempt, NowUnixMs: time.Now().UnixMilli(),
	})
	if err != nil {
		return nil, nil, record.Error(refusalKind(err),
			"the ledger of non-idempotent requests accepts no claims at the moment; retry later with the same key",
			fault.WithRetryAfter(max(noQuorumRetryAfter, fault.RetryAfterOf(err))))
	}
	if reply.GetGranted() {
		return claim, nil, nil
	}
	answer, err := earlierOutcome(reply)
	return nil, answer, err
}

func refusalKind(err error) fault.Kind {
	if fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_DISK_FULL) {
		return lilacv1.ErrorKind_ERROR_KIND_DISK_FULL
	}
	return lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM
}

// earlierOutcome returns the stored answer of an earlier request with the same key, or the
// error for a repeated request.
func earlierOutcome(reply *lilacv1.ClaimReply) (*lilacv1.StoredAnswer, error) {
	refuse := func(kind fault.Kind, notRun fault.NotRun, message string, options ...fault.Option) (*lilacv1.StoredAnswer, error) {
		return nil, fault.New(kind, message, append(options, fault.WithNotRun(notRun))...)
	}
	switch {
	case reply.GetBodyDiffers():
		return refuse(lilacv1.ErrorKind_ERROR_KIND_KEY_REUSED, lilacv1.NotRun_NOT_RUN_UNKNOWN, "Idempotency-Key was already used for another request; use a new key")
	case reply.GetInDoubt() && reply.GetTakenAgainUnixMs() == 0:
		return refuse(lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, lilacv1.NotRun_NOT_RUN_UNKNOWN, "the ledger lost its records of keys of this age, so an earlier request may have run; check at the service before using a new key")
	case reply.GetInDoubt():
		acceptedFrom := time.UnixMilli(reply.GetTakenAgainUnixMs()).UTC().Format(time.RFC3339)
		return refuse(lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, lilacv1.NotRun_NOT_RUN_UNKNOWN, "the ledger lost its records of keys without a timestamp, so an earlier request may have run; check at the service, then send a new UUID version 7 as Idempotency-Key (keys without a timestamp are accepted again from "+acceptedFrom+")")
	case reply.GetExpired():
		return refuse(lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, lilacv1.NotRun_NOT_RUN_UNKNOWN, "Idempotency-Key was used before and its answer is no longer stored; check at the service")
	}
	switch reply.GetState() {
	case lilacv1.ClaimState_CLAIM_STATE_RAN:
		if reply.GetAnswer().GetTooLarge() {
			return refuse(lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, lilacv1.NotRun_NOT_RUN_FALSE, "the request ran, but its answer was too large to store; check at the service")
		}
		return reply.GetAnswer(), nil
	case lilacv1.ClaimState_CLAIM_STATE_CLAIMED:
		return refuse(lilacv1.ErrorKind_ERROR_KIND_IN_PROGRESS, lilacv1.NotRun_NOT_RUN_UNKNOWN, "a request with this key is in progress; retry to get its answer", fault.WithRetryAfter(inProgressRetryAfter))
	}
	return refuse(lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, lilacv1.NotRun_NOT_RUN_UNKNOWN, "it is unknown whether the request ran; check at the service before using a new key")
}

// Ran stores the answer in the background. Bodies above MaxStoredBytes are not stored; the
// claim then only records that the request ran.
func (k *Claim) Ran(answer *lilacv1.StoredAnswer) {
	if len(answer.GetBody()) > MaxStoredBytes {
		answer.Body, answer.TooLarge = nil, true
	}
	k.store(lilacv1.ClaimState_CLAIM_STATE_RAN, answer)
}

// NotRun releases the key for another request; without a valid proof the outcome is stored
// as unknown.
func (k *Claim) NotRun(proof Proof) {
	if !proof.Valid() {
		k.Unknown()
		return
	}
	k.store(lilacv1.ClaimState_CLAIM_STATE_NOT_RUN, nil)
}

// Unknown stores that the request may have run; it is never run again.
func (k *Claim) Unknown() { k.store(lilacv1.ClaimState_CLAIM_STATE_UNKNOWN, nil) }

// store retries in the background until the outcome is durable or life has ended.
func (k *Claim) store(state lilacv1.ClaimState, answer *lilacv1.StoredAnswer) {
	k.claims.pending.Add(1)
	go func() {
		defer k.claims.pending.Done()
		for backoff := minStoreBackoff; !k.storeOnce(state, answer); backoff = min(2*backoff, maxStoreBackoff) {
			select {
			case <-time.After(backoff):
			case <-k.claims.life.Done():
				return
			}
		}
	}()
}

// storeOnce reports whether no further attempt to store the outcome is needed.
func (k *Claim) storeOnce(state lilacv1.ClaimState, answer *lilacv1.StoredAnswer) bool {
	ctx, cancel := context.WithTimeout(k.claims.life, storeTimeout)
	defer cancel()
	_, err := k.claims.ledger.Outcome(ctx, &lilacv1.OutcomeRequest{
		Team: k.team, Key: k.key, Attempt: k.attempt, State: state, Answer: answer, NowUnixMs: time.Now().UnixMilli(),
	})
	return err == nil || fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_CONFLICT) || fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_NOT_FOUND)
}

// ErrStillStoring is returned by Wait if ctx ends before all outcomes are stored.
var ErrStillStoring = errors.New("outcomes of non-idempotent requests were not stored in time; their keys will be reported as unknown")

// Wait waits until all outcomes are stored. It returns ErrStillStoring if ctx ends first.
func (c *Claims) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		c.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ErrStillStoring
	}
}
