package loadgen

import (
	"hash/fnv"
	"time"

	"github.com/google/uuid"
)

// assignTimedKeys replaces the requests' keys by version 7 UUIDs, which contain the arrival
// time of the request.
func assignTimedKeys(requests []*Request, start time.Time) {
	for _, r := range requests {
		if r.Key != "" {
			r.Key = timedKey(start.Add(r.At), r.Ref)
		}
	}
}

func timedKey(at time.Time, ref string) string {
	hash := fnv.New128a()
	hash.Write([]byte(ref))
	var id uuid.UUID
	copy(id[:], hash.Sum(nil))
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}
