package spreadlink

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/logs"
)

// initialAge is the age reported before the first contact with a sender. The clock itself may be
// younger than what a revision from elsewhere says.
const initialAge = time.Hour

// freshness records what an entry knows about the newest revision. Times are by
// Options.Clock.
type freshness struct {
	// newest is the highest revision number seen; it was the newest at asOf.
	newest uint64
	asOf   time.Duration
	// confirmedAt is the last time at which the held revision was known to be the newest.
	confirmedAt time.Duration
	// behindSince is the time since which a revision newer than the held one is known; 0 if
	// none is.
	behindSince time.Duration
}

// LatestKnown returns the newest revision number seen and the age of that information.
func (w *Watcher) LatestKnown() (newest uint64, age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.freshness.newest, w.follower.Revision()), w.options.Clock() - w.freshness.asOf
}

// Staleness returns the time since the held revision was last known to be the newest.
// An update that names a newer revision does not reset it.
func (w *Watcher) Staleness() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.options.Clock() - w.freshness.confirmedAt
}

// newestAsOf returns the time, on the local clock, at which the update's newest revision
// was known to be the newest. It is computed from the time of the request, because an
// update may be received long after it was sent: queued behind a large document, or
// after a network outage or a suspension.
func newestAsOf(requested time.Duration, update *lilacv1.WatchUpdate) time.Duration {
	sentAfter := time.Duration(update.GetSaidAfterMs()) * time.Millisecond
	return requested + sentAfter - time.Duration(update.GetAgeMs())*time.Millisecond
}

// recordNewest records the newest revision known to a sender as of the given time. A
// sender that is behind this entry does not know the newest revision.
func (w *Watcher) recordNewest(newest uint64, asOf time.Duration) {
	held := w.follower.Revision()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.freshness.newest = max(w.freshness.newest, newest, held)
	if newest < held {
		return
	}
	if asOf > w.freshness.asOf {
		w.freshness.asOf = asOf
	}
	if newest == held {
		w.freshness.confirmedAt = max(w.freshness.confirmedAt, asOf)
	}
}

// logLag logs when this entry falls behind the newest revision and when it has caught up.
func (w *Watcher) logLag() {
	held, now := w.follower.Revision(), w.options.Clock()
	w.mu.Lock()
	newest, since := w.freshness.newest, w.freshness.behindSince
	switch {
	case newest > held && since == 0:
		w.freshness.behindSince = now
	case newest <= held:
		w.freshness.behindSince = 0
	}
	w.mu.Unlock()
	switch {
	case newest > held && since == 0:
		w.log.Line(logs.StateChange, "behind the newest revision", "held", held, "newest", newest)
	case newest <= held && since != 0:
		w.log.Line(logs.StateChange, "caught up with the newest revision", "held", held, "after_ms", (now - since).Milliseconds())
	}
}
