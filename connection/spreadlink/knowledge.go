package spreadlink

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/logs"
)

// knowledge is what an entry knows of the newest revision. Times are by
// Options.Clock, 0 for never.
type knowledge struct {
	// newest is the highest revision heard of, surely the newest at the time at.
	newest uint64
	at     time.Duration
	// confirmed is when the revision that is held was surely the newest.
	confirmed time.Duration
	// behindSince is since when a newer revision is known than is held.
	behindSince time.Duration
}

// LatestKnown returns the newest revision heard of, and the age of that knowledge.
func (w *Watcher) LatestKnown() (newest uint64, age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.known.newest, w.holder.Revision()), w.options.Clock() - w.known.at
}

// Staleness returns how long ago the revision in force here was surely the newest.
// An update confirms it only if it names no newer one.
func (w *Watcher) Staleness() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.options.Clock() - w.known.confirmed
}

// sureAt returns when, by the own clock, the update's newest revision was surely the
// newest. It is counted from the request, since an update may arrive long after it
// was sent: behind a large document, after a cut or a suspension.
func sureAt(requested time.Duration, update *lilacv1.WatchUpdate) time.Duration {
	said := time.Duration(update.GetSaidAfterMs()) * time.Millisecond
	return requested + said - time.Duration(update.GetAgeMs())*time.Millisecond
}

// learn notes the newest revision that a sender knows of, and when it was sure of it.
// A sender that knows less than is held here can't be sure of anything newer.
func (w *Watcher) learn(newest uint64, at time.Duration) {
	held := w.holder.Revision()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.known.newest = max(w.known.newest, newest, held)
	if newest < held {
		return
	}
	if at > w.known.at {
		w.known.at = at
	}
	if newest == held {
		w.known.confirmed = max(w.known.confirmed, at)
	}
}

// noteBehind writes a line when a newer revision becomes known than is held, and
// one when it is held.
func (w *Watcher) noteBehind() {
	held, now := w.holder.Revision(), w.options.Clock()
	w.mu.Lock()
	newest, since := w.known.newest, w.known.behindSince
	switch {
	case newest > held && since == 0:
		w.known.behindSince = now
	case newest <= held:
		w.known.behindSince = 0
	}
	w.mu.Unlock()
	switch {
	case newest > held && since == 0:
		w.log.Line(logs.Belief, "behind the newest revision", "held", held, "newest", newest)
	case newest <= held && since != 0:
		w.log.Line(logs.Belief, "caught up with the newest revision", "held", held, "after_ms", (now - since).Milliseconds())
	}
}
