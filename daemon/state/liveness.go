package state

import (
	"context"
	"sync"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	// livenessTimeout is the silence of a claiming instance after which its open
	// claims become unknown. Its clients send heartbeats every HeartbeatInterval.
	livenessTimeout = 15 * time.Second
	// HeartbeatInterval is how often an instance that has claimed says that it lives.
	HeartbeatInterval = 3 * time.Second
	// livenessInterval is how often the leader looks for silent instances.
	livenessInterval = time.Second
)

// livenessTracker times the silence of each incarnation by the leader's monotonic clock.
type livenessTracker struct {
	now func() time.Time

	mu        sync.Mutex
	lastHeard map[string]time.Time
	// leaderSince is when this process began to lead and listen; zero while it does not.
	leaderSince time.Time
}

func newLivenessTracker(now func() time.Time) *livenessTracker {
	return &livenessTracker{now: now, lastHeard: make(map[string]time.Time)}
}

func (l *livenessTracker) record(incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastHeard[incarnation] = l.now()
}

// timedOut returns which of the incarnations have said nothing for livenessTimeout.
//
// It guards against a new leader that takes everybody for dead because it has
// heard nobody yet: nobody counts as timedOut for longer than it has led.
func (l *livenessTracker) timedOut(leads bool, incarnations []string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if !leads {
		l.leaderSince = time.Time{}
		clear(l.lastHeard)
		return nil
	}
	if l.leaderSince.IsZero() {
		l.leaderSince = now
	}
	var silent []string
	kept := make(map[string]time.Time, len(incarnations))
	for _, incarnation := range incarnations {
		last := l.lastHeard[incarnation]
		if last.Before(l.leaderSince) {
			last = l.leaderSince
		}
		if now.Sub(last) > livenessTimeout {
			silent = append(silent, incarnation)
			continue
		}
		kept[incarnation] = last
	}
	l.lastHeard = kept
	return silent
}

// Run ends the claims of silent instances while this process leads, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(livenessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.expireIncarnations(ctx)
		}
	}
}

func (s *Service) expireIncarnations(ctx context.Context) {
	silent := s.liveness.timedOut(s.log.Status().IsLeader, s.machine.Incarnations())
	if len(silent) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	gone := &lilacv1.IncarnationsGone{Incarnations: silent, NowUnixMs: s.now().UnixMilli()}
	// A failure is tried again at the next tick, by whoever leads then.
	_, _ = s.replicate(ctx, &lilacv1.Command{Op: &lilacv1.Command_Gone{Gone: gone}})
}
