package loadgen

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Ledger is the part of the state processes that takes claims, as
// stateclient.Client does.
type Ledger interface {
	Claim(context.Context, *lilacv1.ClaimRequest) (*lilacv1.ClaimReply, error)
	Outcome(context.Context, *lilacv1.OutcomeRequest) (*lilacv1.OutcomeReply, error)
}

// ClaimPlan is a load of claims, each followed by its outcome.
type ClaimPlan struct {
	// PerSecond is how many requests are claimed each second.
	PerSecond int
	// Duration is how long.
	Duration time.Duration
	// AnswerBytes is the size of the answer that goes with each outcome.
	AnswerBytes int
	// InFlight is how many may be under way at most; those beyond are not made
	// and count as skipped.
	InFlight int
}

// ClaimCounts tells what became of the claims of a plan.
type ClaimCounts struct {
	// Ended claims were granted and their outcome recorded.
	Completed int64
	// Failed ones got an error or no grant.
	Failed int64
	// Skipped ones were not made, since too many were under way.
	Skipped int64
	// Took is the time until the last one ended.
	Elapsed time.Duration
}

// claimStep is how often claims are begun, all of the step at once.
const issueInterval = 10 * time.Millisecond

// MakeClaims claims requests of fresh keys in turn at the ledgers, at the plan's
// pace whatever the answers take, and waits for those under way.
func RunClaims(ctx context.Context, ledgers []Ledger, plan ClaimPlan) ClaimCounts {
	var ended, failed, skipped atomic.Int64
	var group sync.WaitGroup
	inFlight := make(chan struct{}, plan.InFlight)
	answer := &lilacv1.StoredAnswer{Status: 200, ContentType: "application/json", Body: make([]byte, plan.AnswerBytes)}
	start := time.Now()
	runClaim := func(i int) {
		defer func() { <-inFlight }()
		if claimAndComplete(ctx, ledgers[i%len(ledgers)], timedKey(time.Now(), fmt.Sprint("claim ", start, i)), answer) {
			ended.Add(1)
			return
		}
		failed.Add(1)
	}
	ticker := time.NewTicker(issueInterval)
	defer ticker.Stop()
	issued := 0
	for ctx.Err() == nil && time.Since(start) < plan.Duration {
		<-ticker.C
		for target := int(time.Since(start).Seconds() * float64(plan.PerSecond)); issued < target; issued++ {
			i := issued
			select {
			case inFlight <- struct{}{}:
				group.Go(func() { runClaim(i) })
			default:
				skipped.Add(1)
			}
		}
	}
	group.Wait()
	return ClaimCounts{Completed: ended.Load(), Failed: failed.Load(), Skipped: skipped.Load(), Elapsed: time.Since(start)}
}

func claimAndComplete(ctx context.Context, ledger Ledger, key string, answer *lilacv1.StoredAnswer) bool {
	const team = "cooperative-1"
	digest := sha256.Sum256([]byte(key))
	claim := &lilacv1.ClaimRequest{Team: team, Key: key, Digest: digest[:]}
	reply, err := ledger.Claim(ctx, claim)
	if err != nil || !reply.GetGranted() {
		return false
	}
	_, err = ledger.Outcome(ctx, &lilacv1.OutcomeRequest{
		Team: team, Key: key, Attempt: claim.GetAttempt(), State: lilacv1.ClaimState_CLAIM_STATE_RAN, Answer: answer,
	})
	return err == nil
}
