package engine

import "time"

const (
	// MeshPollBudget is what polls may cost an instance among member.MeshLimit
	// instances at most, in bytes a second of both directions.
	MeshPollBudget = 4000
	// TreePollBudget is the same among more of them, where digests leave less room
	// under the cap for control.
	TreePollBudget = 2000
	// RelayPollBudget is the same for the entry that relays the digests of its data
	// centre: those and the signs of life take 12 of the 13 KB/s for control.
	RelayPollBudget = 600
	// headerBytes is what a poll costs besides the body of its answer.
	headerBytes = 300
	// mostSaved is how long a budget that is not used is saved up for.
	mostSaved = time.Second
)

// budget is a token bucket of bytes. What is spent is known only afterwards, so
// the balance may fall below 0, and nothing is allowed until it is 0 again.
//
// It guards against answers that grow with the fleet: an engine that is asked
// seldom has more cache events to tell each time, so that a number of calls
// bounds no bytes. It shows as an instance above its cap for control. It holds
// because a large answer is paid for by a longer wait.
type budget struct {
	perSecond float64
	balance   float64
	at        time.Time
}

func (b *budget) allows(now time.Time) bool {
	if b.at.IsZero() {
		b.at = now
	}
	b.balance = min(b.balance+now.Sub(b.at).Seconds()*b.perSecond, b.perSecond*mostSaved.Seconds())
	b.at = now
	return b.balance >= 0
}

func (b *budget) spend(bytes int) { b.balance -= float64(bytes) }
