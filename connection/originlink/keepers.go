package originlink

import (
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/streamorigin"
)

// State processes keep copies too, so that streams go on after all instances were killed. In a large
// fleet they get the copies of a part of the streams.

const (
	// copiesPerKeeper bounds the copies that a state process gets from all instances, each second.
	copiesPerKeeper = 500
	// keeperBurst is the time whose share of copies an instance may send at once.
	keeperBurst = 2 * time.Second
)

// allowance is what this instance may still send to keepers.
type allowance struct {
	copies float64
	at     time.Time
}

// take reports whether one more copy may be sent, at the given rate per second.
func (a *allowance) take(now time.Time, rate float64) bool {
	burst := rate * keeperBurst.Seconds()
	if a.at.IsZero() {
		a.copies = burst
	}
	a.copies = min(a.copies+rate*now.Sub(a.at).Seconds(), burst)
	a.at = now
	if a.copies < 1 {
		return false
	}
	a.copies--
	return true
}

// NewKeeper returns a Link that holds origins for instances and has none of its own.
func NewKeeper() *Link { return New(Options{}) }

// SetKeepers replaces the state processes.
func (l *Link) SetKeepers(keepers []member.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.keepers
	l.keepers = keepers
	l.holdersChanged(before, l.keepers)
}

// keeper returns the state process that gets a copy for the attempt, if it may get one more. The caller
// holds mu.
func (l *Link) keeper(attempt string) []member.Peer {
	rate := copiesPerKeeper * float64(len(l.keepers)) / float64(len(l.peers)+1)
	keeper, ok := streamorigin.Keeper(l.keepers, attempt)
	if !ok || !l.allowance.take(l.options.Now(), rate) {
		return nil
	}
	return []member.Peer{keeper}
}

// holdersChanged drops the copies for those that have left, and has Run look whether those that have joined
// are to get some. The caller holds mu.
func (l *Link) holdersChanged(before, now []member.Peer) {
	if slices.Equal(before, now) {
		return
	}
	l.dropUnsent()
	l.moreHolders = true
	l.SendCopies()
}

// dropUnsent drops the copies for instances and state processes that have left. The caller holds mu.
func (l *Link) dropUnsent() {
	for name, box := range l.unsent {
		if !l.isLive(name) {
			box.origins = nil
		}
	}
}

// isLive reports whether the instance or state process has not left. The caller holds mu.
func (l *Link) isLive(name string) bool {
	for _, peers := range [][]member.Peer{l.peers, l.keepers} {
		for _, peer := range peers {
			if peer.Name == name {
				return true
			}
		}
	}
	return false
}
