package state

import (
	"context"
	"sync"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	// livenessTimeout is the time without a claim or heartbeat of an instance after which
	// its open claims become unknown.
	livenessTimeout = 15 * time.Second
	// HeartbeatInterval is how often an instance that has made claims sends a heartbeat.
	HeartbeatInterval = 3 * time.Second
	// livenessInterval is how often the leader checks for timed-out instances.
	livenessInterval = time.Second
)

// livenessTracker records when the leader last heard from each incarnation, by its
// monotonic clock.
type livenessTracker struct {
	now func() time.Time

	// mu guards the fields below.
	mu        sync.Mutex
	lastHeard map[string]time.Time
	// leaderSince is when this process was first seen to lead in its current period of
	// leadership; zero while it does not lead.
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

// timedOut returns those of the incarnations that have not been heard for
// livenessTimeout; none if this process does not lead.
//
// The silence of an incarnation counts from when this process began to lead, at the
// earliest. Otherwise a new leader, which has heard from none, would time out all of them.
func (l *livenessTracker) timedOut(isLeader bool, incarnations []string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if !isLeader {
		l.leaderSince = time.Time{}
		clear(l.lastHeard)
		return nil
	}
	if l.leaderSince.IsZero() {
		l.leaderSince = now
	}
	var timedOut []string
	alive := make(map[string]time.Time, len(incarnations))
	for _, incarnation := range incarnations {
		last := l.lastHeard[incarnation]
		if last.Before(l.leaderSince) {
			last = l.leaderSince
		}
		if now.Sub(last) > livenessTimeout {
			timedOut = append(timedOut, incarnation)
			continue
		}
		alive[incarnation] = last
	}
	l.lastHeard = alive
	return timedOut
}

// Run ends the claims of timed-out instances while this process leads. It returns nil
// when ctx ends.
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
	timedOut := s.liveness.timedOut(s.log.Status().IsLeader, s.machine.Incarnations())
	if len(timedOut) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	gone := &lilacv1.IncarnationsGone{Incarnations: timedOut, NowUnixMs: s.now().UnixMilli()}
	// Errors are ignored: whichever process leads at the next tick tries again.
	_, _ = s.replicate(ctx, &lilacv1.Command{Op: &lilacv1.Command_Gone{Gone: gone}})
}
