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

// lives times the silence of each incarnation by the leader's monotonic clock.
type lives struct {
	now func() time.Time

	mu   sync.Mutex
	last map[string]time.Time
	// since is when this process began to lead and listen; zero while it does not.
	since time.Time
}

func newLivenessTracker(now func() time.Time) *lives {
	return &lives{now: now, last: make(map[string]time.Time)}
}

func (l *lives) heard(incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last[incarnation] = l.now()
}

// silent returns which of the incarnations have said nothing for livenessTimeout.
//
// It guards against a new leader that takes everybody for dead because it has
// heard nobody yet: nobody counts as silent for longer than it has led.
func (l *lives) silent(leads bool, incarnations []string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if !leads {
		l.since = time.Time{}
		clear(l.last)
		return nil
	}
	if l.since.IsZero() {
		l.since = now
	}
	var silent []string
	kept := make(map[string]time.Time, len(incarnations))
	for _, incarnation := range incarnations {
		last := l.last[incarnation]
		if last.Before(l.since) {
			last = l.since
		}
		if now.Sub(last) > livenessTimeout {
			silent = append(silent, incarnation)
			continue
		}
		kept[incarnation] = last
	}
	l.last = kept
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
	silent := s.lives.silent(s.log.Status().IsLeader, s.machine.Incarnations())
	if len(silent) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	gone := &lilacv1.IncarnationsGone{Incarnations: silent, NowUnixMs: s.now().UnixMilli()}
	// A failure is tried again at the next tick, by whoever leads then.
	_, _ = s.run(ctx, &lilacv1.Command{Op: &lilacv1.Command_Gone{Gone: gone}})
}
