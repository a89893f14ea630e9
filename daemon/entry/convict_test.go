package entry

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/request/policy"
)

// Guards against convictions that stay after an answer has refuted them, and against proposals that
// wait forever behind one that is out of date.
func TestRefutedConvictionIsLifted(t *testing.T) {
	is := is.New(t)
	f := startWith(t, testSettings(), scriptedCore(func(policy.Event) []policy.Action { return nil }))
	f.ledger.refuse("gone")
	f.queueLift(policy.LiftConviction{Digest: "gone"})
	f.queueLift(policy.LiftConviction{Digest: "part:llm/9"})
	waitFor(t, func() bool { return len(f.ledger.proposed()) == 1 })
	is.Equal(f.ledger.proposed()[0].GetChanges()[0].GetLiftConviction(), "part:llm/9")
}

// Guards against a trial of a crashing part that runs without having been claimed.
func TestTrialRunsOnlyIfItIsClaimed(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var claimed []string
	f := startWith(t, testSettings(), scriptedCore(func(e policy.Event) []policy.Action {
		mu.Lock()
		defer mu.Unlock()
		if c, ok := e.(policy.TrialClaimed); ok {
			claimed = append(claimed, c.Digest)
		}
		return nil
	}))
	f.ledger.refuse("part:llm/7")
	f.claimTrial(policy.ClaimTrial{Digest: "part:llm/7", Trial: 1})
	f.claimTrial(policy.ClaimTrial{Digest: "part:llm/9", Trial: 2})
	waitFor(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(claimed) == 1
	})
	is.Equal(claimed[0], "part:llm/9")
	trial := f.ledger.proposed()[0].GetChanges()[0].GetTryConviction()
	is.Equal(trial.GetTrial(), uint32(2))
}
