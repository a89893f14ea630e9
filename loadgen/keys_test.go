package loadgen

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
)

func TestTimedKeysContainArrivalTime(t *testing.T) {
	is := is.New(t)
	start := time.UnixMilli(1_764_700_000_000)
	requests := []*Request{{Ref: "1-0-1", Key: "key-1", At: 1500 * time.Millisecond}, {Ref: "1-0-2", Key: "key-2", At: 1500 * time.Millisecond}, {Ref: "1-0-3"}}
	assignTimedKeys(requests, start)
	id, err := uuid.Parse(requests[0].Key)
	is.NoErr(err)
	is.Equal(id.Version(), uuid.Version(7))
	seconds, nanos := id.Time().UnixTime()
	is.Equal(time.Unix(seconds, nanos).UnixMilli(), start.UnixMilli()+1500)
	is.True(requests[0].Key != requests[1].Key)
	is.Equal(requests[2].Key, "")
}
