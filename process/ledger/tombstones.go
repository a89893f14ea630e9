package ledger

import (
	"container/heap"
	"crypto/sha256"
	"maps"
	"slices"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// hashBytes of SHA-256 stand for a key; two keys share them with a chance of
// about 1 in 10^26 among a million.
const hashBytes = 16

type keyHash [hashBytes]byte

func hashOf(key id) keyHash {
	sum := sha256.Sum256([]byte(key.team + "\x00" + key.key))
	return keyHash(sum[:hashBytes])
}

// tombstones remember keys past their retention. Those of keys that carry a
// time are dropped when that time alone refuses the key; the others stay.
type tombstones struct {
	until map[keyHash]int64
	timed expiryHeap
}

type expiry struct {
	untilMs int64
	hash    keyHash
}

type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].untilMs < h[j].untilMs }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiry)) }
func (h *expiryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newTombstones() *tombstones { return &tombstones{until: make(map[keyHash]int64)} }

func (t *tombstones) size() int { return len(t.until) }

func (t *tombstones) timedSize() int { return len(t.timed) }

func (t *tombstones) untimedSize() int { return len(t.until) - len(t.timed) }

func (t *tombstones) has(key id) bool {
	_, ok := t.until[hashOf(key)]
	return ok
}

func (t *tombstones) add(key id, untilMs int64) { t.addHash(hashOf(key), untilMs) }

func (t *tombstones) addHash(hash keyHash, untilMs int64) {
	t.until[hash] = untilMs
	if untilMs != 0 {
		heap.Push(&t.timed, expiry{untilMs, hash})
	}
}

func (t *tombstones) sweep(nowMs int64) {
	for range sweepStep {
		if len(t.timed) == 0 || t.timed[0].untilMs > nowMs {
			return
		}
		delete(t.until, heap.Pop(&t.timed).(expiry).hash)
	}
}

func (t *tombstones) all() []*lilacv1.LedgerTombstone {
	hashes := slices.SortedFunc(maps.Keys(t.until), func(a, b keyHash) int { return slices.Compare(a[:], b[:]) })
	list := make([]*lilacv1.LedgerTombstone, 0, len(hashes))
	for _, hash := range hashes {
		list = append(list, &lilacv1.LedgerTombstone{Hash: hash[:], UntilUnixMs: t.until[hash]})
	}
	return list
}
