package engine

import "time"

const (
	// MeshPollBudget is the budget for the polls of an instance in a fleet of up to
	// member.MeshLimit instances, in bytes per second of both directions.
	MeshPollBudget = 4000
	// TreePollBudget is the budget in larger fleets, in bytes per second. Digests leave
	// less of the limit on control traffic there.
	TreePollBudget = 2000
	// RelayPollBudget is the budget of the relay of a data centre, in bytes per second:
	// digests and heartbeats take 12 KB/s of its limit of 13 KB/s on control traffic.
	RelayPollBudget = 600
	// pollOverheadBytes is the size of a poll without the body of its response.
	pollOverheadBytes = 300
	// maxSavedTime bounds the unused budget that is carried over.
	maxSavedTime = time.Second
)

// budget is a token bucket of bytes. The size of a response is known only afterwards, so
// the balance may become negative, and no call is allowed until it is 0 again.
//
// The number of calls does not bound the bytes: in a large fleet each engine is polled
// less often and sends more cache events per poll. Without the budget, an instance would
// exceed its limit on control traffic.
type budget struct {
	bytesPerSecond float64
	balance        float64
	updated        time.Time
}

func (b *budget) allows(now time.Time) bool {
	if b.updated.IsZero() {
		b.updated = now
	}
	b.balance = min(b.balance+now.Sub(b.updated).Seconds()*b.bytesPerSecond, b.bytesPerSecond*maxSavedTime.Seconds())
	b.updated = now
	return b.balance >= 0
}

func (b *budget) spend(bytes int) { b.balance -= float64(bytes) }
