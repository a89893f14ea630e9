package ledger

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	// leastKept is how long a key without a time is remembered in any case.
	minKeyRetention = 7 * 24 * time.Hour
	// forgetStep bounds the shards that one command looks through, so that no
	// command is slow.
	shardsPerCommand = 4
)

// forgetting is what the operators last had forgotten. It goes through the
// shards of the tombstones from the first on.
type forgetProgress struct {
	beforeMs int64
	// left is how many shards are still to be looked through.
	shardsLeft int
}

// CheckForget tells why the keys from before a moment may not be forgotten.
//
// It guards against a date that is too near: a caller that still sends its key
// again would have its request run twice. It shows as a doubled registration. It
// holds for callers that give up within leastKept, by the leaders' clocks.
func (l *Ledger) CheckForget(beforeUnixMs int64) error {
	latest := l.nowMs - minKeyRetention.Milliseconds()
	if beforeUnixMs <= 0 || beforeUnixMs > latest {
		return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE,
			"keys of the last %d days are not forgotten; give a date up to %s", int(minKeyRetention.Hours()/24), time.UnixMilli(latest).UTC().Format(time.DateOnly))
	}
	return nil
}

// Forget has the tombstones dropped of keys that carry no time and were claimed
// before the moment, step by step with the next commands. Sent again, such a key
// runs again. Those of keys whose claim's time is not known stay. The moment must
// have passed CheckForget.
func (l *Ledger) Forget(beforeUnixMs int64) {
	l.forgetting = forgetProgress{beforeMs: max(l.forgetting.beforeMs, beforeUnixMs), shardsLeft: shardCount}
}

func (l *Ledger) continueForgetting() {
	for range min(shardsPerCommand, l.forgetting.shardsLeft) {
		l.tombstones.removeClaimedBefore(shardCount-l.forgetting.shardsLeft, l.forgetting.beforeMs)
		l.forgetting.shardsLeft--
	}
}

// forget drops from one shard what has no time and was claimed before beforeMs.
func (t *tombstones) removeClaimedBefore(at int, beforeMs int64) {
	var old []keyHash
	for hash, until := range t.shards[at].until {
		if until < 0 && -until < beforeMs {
			old = append(old, hash)
		}
	}
	if len(old) == 0 {
		return
	}
	shard := t.writableShard(old[0])
	for _, hash := range old {
		delete(shard, hash)
	}
	t.count -= len(old)
}
