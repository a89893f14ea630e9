package loadgen

import (
	"context"
	"sync"
	"time"
)

// Run sends the requests at their arrival times and returns an outcome for each send, in
// order of completion. It returns when all are answered, or after the plan's duration and
// grace period.
func Run(ctx context.Context, plan *Plan, requests []*Request, caller *Caller) []*Outcome {
	limit := plan.Duration.Duration + plan.Grace.Duration
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	start := time.Now()
	if plan.TimedKeys {
		assignTimedKeys(requests, start)
	}
	var outcomes []*Outcome
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, r := range requests {
		for _, send := range r.Sends {
			calls.Go(func() {
				if !waitUntil(ctx, start.Add(send.At)) {
					return
				}
				o := caller.Do(ctx, r, send)
				o.Request = r
				mu.Lock()
				defer mu.Unlock()
				outcomes = append(outcomes, o)
			})
		}
	}
	calls.Wait()
	return outcomes
}

func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
