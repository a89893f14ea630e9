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
	Ended int64
	// Failed ones got an error or no grant.
	Failed int64
	// Skipped ones were not made, since too many were under way.
	Skipped int64
	// Took is the time until the last one ended.
	Took time.Duration
}

// claimStep is how often claims are begun, all of the step at once.
const claimStep = 10 * time.Millisecond

// MakeClaims claims requests of fresh keys in turn at the ledgers, at the plan's
// pace whatever the answers take, and waits for those under way.
func MakeClaims(ctx context.Context, ledgers []Ledger, plan ClaimPlan) ClaimCounts {
	var ended, failed, skipped atomic.Int64
	var work sync.WaitGroup
	free := make(chan struct{}, plan.InFlight)
	answer := &lilacv1.StoredAnswer{Status: 200, ContentType: "application/json", Body: make([]byte, plan.AnswerBytes)}
	begun := time.Now()
	one := func(i int) {
		defer func() { <-free }()
		if claimAndEnd(ctx, ledgers[i%len(ledgers)], timedKey(time.Now(), fmt.Sprint("claim ", begun, i)), answer) {
			ended.Add(1)
			return
		}
		failed.Add(1)
	}
	ticker := time.NewTicker(claimStep)
	defer ticker.Stop()
	made := 0
	for ctx.Err() == nil && time.Since(begun) < plan.Duration {
		<-ticker.C
		for due := int(time.Since(begun).Seconds() * float64(plan.PerSecond)); made < due; made++ {
			i := made
			select {
			case free <- struct{}{}:
				work.Go(func() { one(i) })
			default:
				skipped.Add(1)
			}
		}
	}
	work.Wait()
	return ClaimCounts{Ended: ended.Load(), Failed: failed.Load(), Skipped: skipped.Load(), Took: time.Since(begun)}
}

func claimAndEnd(ctx context.Context, ledger Ledger, key string, answer *lilacv1.StoredAnswer) bool {
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
