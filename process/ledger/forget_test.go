package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// Without Forget, a ledger filled with untimed keys refuses new ones forever.
// Forgetting old keys must make room, and newer keys must stay refused, also if a
// snapshot is taken while the shards are being scanned.
func TestForgetRemovesOldUntimedKeys(t *testing.T) {
	is := is.New(t)
	l := New(Limits{Retention: time.Hour, Tombstones: 3})
	now := start - 100*24*hour
	for _, key := range []string{"oldest", "old", "young"} {
		mustGrant(t, l, newClaim(key, "a-"+key, now))
		ended := newOutcome(key, "a-"+key, ran, "")
		ended.NowUnixMs = now
		_, err := l.Outcome(ended)
		is.NoErr(err)
		now = start
	}
	_, err := l.Claim(newClaim("new", "b", start+2*hour))
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_LIMIT))
	is.True(l.CheckForget(start-6*24*hour) != nil)
	is.True(l.CheckForget(0) != nil)
	is.NoErr(l.CheckForget(start - 8*24*hour))

	l.Forget(start - 8*24*hour)
	for range shardCount / shardsPerCommand / 2 {
		l.advance(start + 2*hour)
	}
	restored := New(l.limits)
	restored.Restore(l.Snapshot())
	for range shardCount / shardsPerCommand / 2 {
		l.advance(start + 2*hour)
		restored.advance(start + 2*hour)
	}
	is.True(proto.Equal(l.Snapshot(), restored.Snapshot()))
	mustGrant(t, l, newClaim("new", "b", start+2*hour))
	for _, key := range []string{"old", "young"} {
		reply, err := l.Claim(newClaim(key, "b", start+2*hour))
		is.NoErr(err)
		is.True(reply.GetExpired())
	}
}
