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
	// claimTimeout is how long a claim may take before the request is refused.
	claimTimeout = 3 * time.Second
	// noQuorumRetry tells callers when to try again.
	noQuorumRetry = 2 * time.Second
	// inProgressRetry tells a second sender when to ask for the answer.
	inProgressRetry = time.Second
	// storePause lies between two tries to store an outcome, in the beginning.
	storePause = 100 * time.Millisecond
	// maxStorePause bounds the growing pause.
	maxStorePause = 3 * time.Second
	// storeTimeout is for one try.
	storeTimeout = 3 * time.Second
	// MaxStoredBytes is the largest answer that is kept for a second sender, in bytes.
	MaxStoredBytes = 64 << 10
)

// Ledger is the replicated record of non-idempotent requests.
type Ledger interface {
	// Claim fills in who claims. After an error the request must not run; a claim
	// that may stand all the same is given up by the Ledger.
	Claim(ctx context.Context, req *lilacv1.ClaimRequest) (*lilacv1.ClaimReply, error)
	Outcome(ctx context.Context, req *lilacv1.OutcomeRequest) (*lilacv1.OutcomeReply, error)
}

// Claims makes and ends this instance's claims.
type Claims struct {
	ledger  Ledger
	life    context.Context
	pending sync.WaitGroup
}

// NewClaims returns Claims; the storing of outcomes ends with life at the latest.
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

// Digest is SHA-256 of path and body, by which a reused key is told.
func Digest(path string, body []byte) []byte {
	hash := sha256.New()
	hash.Write([]byte(path))
	hash.Write([]byte{0})
	hash.Write(body)
	return hash.Sum(nil)
}

// Begin claims the key. It returns the claim where the request may run now, or
// the stored answer of its first run, or a typed error. attempt is the id of
// this request.
func (c *Claims) Begin(ctx context.Context, record *Record, team, key, attempt string, digest []byte) (*Claim, *lilacv1.StoredAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim := &Claim{claims: c, team: team, key: key, attempt: attempt}
	reply, err := c.ledger.Claim(ctx, &lilacv1.ClaimRequest{
		Team: team, Key: key, Digest: digest, Attempt: attempt, NowUnixMs: time.Now().UnixMilli(),
	})
	if err != nil {
		return nil, nil, record.Error(refusalKind(err),
			"the ledger of non-idempotent requests takes no claim; send the same key again later",
			fault.WithRetryAfter(max(noQuorumRetry, fault.RetryAfterOf(err))))
	}
	if reply.GetGranted() {
		return claim, nil, nil
	}
	answer, err := standing(reply)
	return nil, answer, err
}

func refusalKind(err error) fault.Kind {
	if fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_DISK_FULL) {
		return lilacv1.ErrorKind_ERROR_KIND_DISK_FULL
	}
	return lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM
}

// standing tells a second sender where the first request stands.
func standing(reply *lilacv1.ClaimReply) (*lilacv1.StoredAnswer, error) {
	refuse := func(kind fault.Kind, notRun fault.NotRun, message string, options ...fault.Option) (*lilacv1.StoredAnswer, error) {
		return nil, fault.New(kind, message, append(options, fault.WithNotRun(notRun))...)
	}
	switch {
	case reply.GetBodyDiffers():
		return refuse(lilacv1.ErrorKind_ERROR_KIND_KEY_REUSED, lilacv1.NotRun_NOT_RUN_UNKNOWN, "Idempotency-Key was used for another request; make a new key")
	case reply.GetInDoubt() && reply.GetTakenAgainUnixMs() == 0:
		return refuse(lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, lilacv1.NotRun_NOT_RUN_UNKNOWN, "the ledger lost what it knew of keys of this age, so an earlier send may have run; check at the service before you use a new key")
	case reply.GetInDoubt():
		again := time.UnixMilli(reply.GetTakenAgainUnixMs()).UTC().Format(time.RFC3339)
		return refuse(lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, lilacv1.NotRun_NOT_RUN_UNKNOWN, "the ledger lost what it knew of keys without a time, so an earlier send may have run; check at the service, then send a new UUID of version 7 as Idempotency-Key (keys without a time are taken again from "+again+")")
	case reply.GetExpired():
		return refuse(lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, lilacv1.NotRun_NOT_RUN_UNKNOWN, "Idempotency-Key was used before and its answer is no longer kept; check at the service")
	}
	switch reply.GetState() {
	case lilacv1.ClaimState_CLAIM_STATE_RAN:
		if reply.GetAnswer().GetTooLarge() {
			return refuse(lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, lilacv1.NotRun_NOT_RUN_FALSE, "the request ran, but its answer was too large to keep; check at the service")
		}
		return reply.GetAnswer(), nil
	case lilacv1.ClaimState_CLAIM_STATE_CLAIMED:
		return refuse(lilacv1.ErrorKind_ERROR_KIND_IN_PROGRESS, lilacv1.NotRun_NOT_RUN_UNKNOWN, "a request with this key is in progress; send it again for its answer", fault.WithRetryAfter(inProgressRetry))
	}
	return refuse(lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, lilacv1.NotRun_NOT_RUN_UNKNOWN, "whether the request ran is not known; check at the service before you use a new key")
}

// Ran stores the whole answer.
func (k *Claim) Ran(status int, contentType string, body []byte) {
	answer := &lilacv1.StoredAnswer{Status: uint32(status), ContentType: contentType, Body: body}
	if len(body) > MaxStoredBytes {
		answer.Body, answer.TooLarge = nil, true
	}
	k.store(lilacv1.ClaimState_CLAIM_STATE_RAN, answer)
}

// NotRun frees the key for another try; without a valid proof the outcome is
// stored as unknown.
func (k *Claim) NotRun(proof Proof) {
	if !proof.Valid() {
		k.Unknown()
		return
	}
	k.store(lilacv1.ClaimState_CLAIM_STATE_NOT_RUN, nil)
}

// Unknown notes that the request may have run; it is never run again.
func (k *Claim) Unknown() { k.store(lilacv1.ClaimState_CLAIM_STATE_UNKNOWN, nil) }

// store keeps trying in the background until the outcome is synced.
func (k *Claim) store(state lilacv1.ClaimState, answer *lilacv1.StoredAnswer) {
	k.claims.pending.Add(1)
	go func() {
		defer k.claims.pending.Done()
		for pause := storePause; !k.storeOnce(state, answer); pause = min(2*pause, maxStorePause) {
			select {
			case <-time.After(pause):
			case <-k.claims.life.Done():
				return
			}
		}
	}()
}

// storeOnce reports whether the outcome needs no further try.
func (k *Claim) storeOnce(state lilacv1.ClaimState, answer *lilacv1.StoredAnswer) bool {
	ctx, cancel := context.WithTimeout(k.claims.life, storeTimeout)
	defer cancel()
	_, err := k.claims.ledger.Outcome(ctx, &lilacv1.OutcomeRequest{
		Team: k.team, Key: k.key, Attempt: k.attempt, State: state, Answer: answer, NowUnixMs: time.Now().UnixMilli(),
	})
	return err == nil || fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_CONFLICT) || fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_NOT_FOUND)
}

// ErrStillStoring is the error of a Wait that ended before all outcomes were synced.
var ErrStillStoring = errors.New("outcomes of non-idempotent requests are not stored yet; their keys will read as unknown")

// Wait returns when all outcomes are stored, or ctx has ended.
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
