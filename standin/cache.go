package standin

import (
	"container/list"
	"fmt"
	"strings"
	"time"

	"github.com/lilacbridge/lilacbridge/version/prefix"
)

const blockWords = prefix.BlockWords

// blockHashes returns the hash of each complete block of the prompt.
func blockHashes(words []string) []uint64 { return prefix.Blocks(words...) }

func promptWords(messages []Message) []string {
	var words []string
	for _, message := range messages {
		words = append(words, strings.Fields(string(message.Content))...)
	}
	return words
}

// CacheEvent reports the hashes of prefix blocks that were stored and evicted.
type CacheEvent struct {
	Sequence uint64   `json:"seq"`
	Stored   []string `json:"stored"`
	Dropped  []string `json:"dropped"`
	Cleared  bool     `json:"cleared"`
	at       time.Time
}

// cache is a prefix cache with LRU eviction.
type cache struct {
	capacity int
	lru      *list.List
	byHash   map[uint64]*list.Element
	sequence uint64
	events   []CacheEvent
	// lossInterval N drops every N-th event; 0 drops none.
	lossInterval uint64
}

// maxEvents bounds the number of events retained for readers.
const maxEvents = 4096

func newCache(capacity int, lossInterval uint64) *cache {
	return &cache{capacity: capacity, lossInterval: lossInterval, lru: list.New(), byHash: make(map[uint64]*list.Element)}
}

// insert returns the number of leading words that were cached and stores the whole prompt.
func (c *cache) insert(hashes []uint64, now time.Time) (cachedWords int) {
	for _, hash := range hashes {
		if _, ok := c.byHash[hash]; !ok {
			break
		}
		cachedWords += blockWords
	}
	event := CacheEvent{at: now}
	for _, hash := range hashes {
		if element, ok := c.byHash[hash]; ok {
			c.lru.MoveToFront(element)
			continue
		}
		c.byHash[hash] = c.lru.PushFront(hash)
		event.Stored = append(event.Stored, fmt.Sprintf("%016x", hash))
	}
	for len(c.byHash) > c.capacity {
		oldest := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.byHash, oldest)
		event.Dropped = append(event.Dropped, fmt.Sprintf("%016x", oldest))
	}
	c.appendEvent(event)
	return cachedWords
}

func (c *cache) appendEvent(event CacheEvent) {
	if len(event.Stored)+len(event.Dropped) == 0 {
		return
	}
	c.sequence++
	event.Sequence = c.sequence
	if c.lossInterval > 0 && c.sequence%c.lossInterval == 0 {
		return
	}
	c.events = append(c.events, event)
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// since returns the events after a sequence number that occurred no later than until.
func (c *cache) since(after uint64, newest time.Time) []CacheEvent {
	visible := []CacheEvent{}
	for _, event := range c.events {
		if event.Sequence > after && !event.at.After(newest) {
			visible = append(visible, event)
		}
	}
	return visible
}
