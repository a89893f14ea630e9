package loadgen

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/number"
)

// Ledger accepts claims and their outcomes. stateclient.Client implements it.
type Ledger interface {
	Claim(context.Context, *lilacv1.ClaimRequest) (*lilacv1.ClaimReply, error)
	Outcome(context.Context, *lilacv1.OutcomeRequest) (*lilacv1.OutcomeReply, error)
}

// ClaimPlan describes a load of claims, each followed by its outcome.
type ClaimPlan struct {
	// PerSecond is the number of claims per second.
	PerSecond int
	// Duration is the duration of the load.
	Duration time.Duration
	// AnswerBytes is the size of the answer recorded with each outcome.
	AnswerBytes int
	// InFlight limits the number of concurrent claims. Those in excess are skipped.
	InFlight int
}

// ClaimCounts holds the results of a plan.
type ClaimCounts struct {
	// Completed claims were granted and their outcome recorded.
	Completed int64
	// Failed claims got an error or were not granted.
	Failed int64
	// Skipped claims were not sent because InFlight others were in progress.
	Skipped int64
	// Elapsed is the time until the last claim finished.
	Elapsed time.Duration
}

// issueInterval is the time between two batches of claims.
const issueInterval = 10 * time.Millisecond

// RunClaims claims requests with new keys at the ledgers in turn and waits for those in
// progress. The rate does not depend on how long the replies take.
func RunClaims(ctx context.Context, ledgers []Ledger, plan ClaimPlan) ClaimCounts {
	var completed, failed, skipped atomic.Int64
	var group sync.WaitGroup
	inFlight := make(chan struct{}, plan.InFlight)
	answer := &lilacv1.StoredAnswer{Status: 200, ContentType: "application/json", Body: make([]byte, plan.AnswerBytes)}
	start := time.Now()
	runClaim := func(i int) {
		defer func() { <-inFlight }()
		if claimAndComplete(ctx, ledgers[i%len(ledgers)], timedKey(time.Now(), fmt.Sprint("claim ", start, i)), answer) {
			completed.Add(1)
			return
		}
		failed.Add(1)
	}
	ticker := time.NewTicker(issueInterval)
	defer ticker.Stop()
	issued := 0
	for ctx.Err() == nil && time.Since(start) < plan.Duration {
		<-ticker.C
		for target := number.Int(time.Since(start).Seconds() * float64(plan.PerSecond)); issued < target; issued++ {
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
	return ClaimCounts{Completed: completed.Load(), Failed: failed.Load(), Skipped: skipped.Load(), Elapsed: time.Since(start)}
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
