package ledger

import (
	"bytes"
	"container/heap"
	"crypto/sha256"
	"maps"
	"slices"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// hashBytes is the length of the SHA-256 prefix that identifies a key. The
// probability of a collision among a million keys is about 1 in 10^26.
const hashBytes = 16

type keyHash [hashBytes]byte

func hashOf(key keyID) keyHash {
	sum := sha256.Sum256([]byte(key.team + "\x00" + key.key))
	return keyHash(sum[:hashBytes])
}

// shardCount is the number of tombstone shards. A capture copies one pointer per
// shard, and the first change of a shard after it copies one small map. It is a
// power of two of at most 16 bits.
const shardCount = 4096

// shard maps each key to the time from which its own time refuses it. For a key
// without a time the value is the time of the claim, negated, or 0 if that is
// unknown; such keys do not expire.
type shard struct {
	until map[keyHash]int64
	// shared marks a shard that a capture also references; it is copied before a
	// change.
	shared bool
}

// tombstones holds the keys past their retention. A key that carries a time is
// dropped once that time alone refuses it; the others stay.
type tombstones struct {
	shards   []*shard
	count    int
	expiries expiryHeap
}

type expiry struct {
	expiresMs int64
	hash      keyHash
}

type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresMs < h[j].expiresMs }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiry)) }
func (h *expiryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newTombstones() *tombstones {
	t := &tombstones{shards: make([]*shard, shardCount)}
	for i := range t.shards {
		t.shards[i] = &shard{}
	}
	return t
}

func shardOf(hash keyHash) int { return (int(hash[0])<<8 | int(hash[1])) % shardCount }

// writableShard returns the hash's shard for modification.
func (t *tombstones) writableShard(hash keyHash) map[keyHash]int64 {
	i := shardOf(hash)
	if t.shards[i].shared || t.shards[i].until == nil {
		copied := make(map[keyHash]int64, len(t.shards[i].until)+1)
		maps.Copy(copied, t.shards[i].until)
		t.shards[i] = &shard{until: copied}
	}
	return t.shards[i].until
}

// capture returns the current state of all shards.
func (t *tombstones) capture() []*shard {
	for _, s := range t.shards {
		s.shared = true
	}
	return slices.Clone(t.shards)
}

func (t *tombstones) size() int { return t.count }

func (t *tombstones) timedSize() int { return len(t.expiries) }

func (t *tombstones) untimedSize() int { return t.count - len(t.expiries) }

func (t *tombstones) has(key keyID) bool {
	hash := hashOf(key)
	_, ok := t.shards[shardOf(hash)].until[hash]
	return ok
}

func (t *tombstones) add(key keyID, untilMs int64) { t.addHash(hashOf(key), untilMs) }

func (t *tombstones) addHash(hash keyHash, untilMs int64) {
	shard := t.writableShard(hash)
	if _, known := shard[hash]; !known {
		t.count++
	}
	shard[hash] = untilMs
	if untilMs > 0 {
		heap.Push(&t.expiries, expiry{untilMs, hash})
	}
}

func (t *tombstones) sweep(nowMs int64) {
	for range maxSweptPerCommand {
		if len(t.expiries) == 0 || t.expiries[0].expiresMs > nowMs {
			return
		}
		hash := heap.Pop(&t.expiries).(expiry).hash
		shard := t.writableShard(hash)
		if _, known := shard[hash]; known {
			t.count--
		}
		delete(shard, hash)
	}
}

// tombstoneMessages returns the tombstones of captured shards sorted by hash, so
// that equal ledgers have byte-identical snapshots.
func tombstoneMessages(shards []*shard) []*lilacv1.LedgerTombstone {
	var list []*lilacv1.LedgerTombstone
	for _, s := range shards {
		for hash, until := range s.until {
			list = append(list, &lilacv1.LedgerTombstone{Hash: hash[:], UntilUnixMs: max(until, 0), ClaimedUnixMs: max(-until, 0)})
		}
	}
	slices.SortFunc(list, func(a, b *lilacv1.LedgerTombstone) int { return bytes.Compare(a.GetHash(), b.GetHash()) })
	return list
}
