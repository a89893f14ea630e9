package ledger

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/number"
)

const (
	// minKeyRetention is the minimum time for which a key without a time is
	// remembered.
	minKeyRetention = 7 * 24 * time.Hour
	// shardsPerCommand limits the shards scanned per command, so that no command is
	// slow.
	shardsPerCommand = 4
)

// forgetProgress is the progress of the last Forget, which scans the tombstone
// shards in order.
type forgetProgress struct {
	beforeMs int64
	// shardsLeft is the number of shards still to be scanned.
	shardsLeft int
}

// CheckForget returns an error if the keys claimed before a time may not be
// forgotten.
//
// A caller that still resends a forgotten key would have its request run twice.
// This is safe for callers that give up within minKeyRetention, by the leaders'
// clocks.
func (l *Ledger) CheckForget(beforeUnixMs int64) error {
	latest := l.nowMs - minKeyRetention.Milliseconds()
	if beforeUnixMs <= 0 || beforeUnixMs > latest {
		return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE,
			"keys of the last %d days are not forgotten; give a date up to %s", number.Int(minKeyRetention.Hours()/24), time.UnixMilli(latest).UTC().Format(time.DateOnly))
	}
	return nil
}

// Forget drops the tombstones of keys that carry no time and were claimed before
// the given time, in steps with the next commands. Such a key runs again if it is
// resent. Tombstones with an unknown claim time stay. The time must have passed
// CheckForget.
func (l *Ledger) Forget(beforeUnixMs int64) {
	l.forgetting = forgetProgress{beforeMs: max(l.forgetting.beforeMs, beforeUnixMs), shardsLeft: shardCount}
}

func (l *Ledger) continueForgetting() {
	for range min(shardsPerCommand, l.forgetting.shardsLeft) {
		l.tombstones.removeClaimedBefore(shardCount-l.forgetting.shardsLeft, l.forgetting.beforeMs)
		l.forgetting.shardsLeft--
	}
}

// removeClaimedBefore removes the keys of one shard that carry no time and were
// claimed before beforeMs.
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
