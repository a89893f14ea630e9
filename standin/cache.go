package standin

import (
	"container/list"
	"fmt"
	"strings"
	"time"

	"github.com/lilacbridge/lilacbridge/version/prefix"
)

const blockWords = prefix.BlockWords

// blocks returns the hash of each whole block of the prompt.
func blocks(words []string) []uint64 { return prefix.Blocks(words...) }

func promptWords(messages []Message) []string {
	var words []string
	for _, message := range messages {
		words = append(words, strings.Fields(string(message.Content))...)
	}
	return words
}

// CacheEvent tells which prefix blocks were stored and dropped.
type CacheEvent struct {
	Sequence uint64   `json:"seq"`
	Stored   []string `json:"stored"`
	Dropped  []string `json:"dropped"`
	Cleared  bool     `json:"cleared"`
	at       time.Time
}

// cache is a prefix cache that drops the blocks used longest ago.
type cache struct {
	capacity int
	order    *list.List
	elements map[uint64]*list.Element
	sequence uint64
	events   []CacheEvent
	// gap makes every gap-th event vanish; 0 means none.
	gap uint64
}

// keptEvents bounds the events held for late readers.
const keptEvents = 4096

func newCache(capacity int, gap uint64) *cache {
	return &cache{capacity: capacity, gap: gap, order: list.New(), elements: make(map[uint64]*list.Element)}
}

// use counts the leading words that are cached, then stores the whole prompt.
func (c *cache) use(hashes []uint64, now time.Time) (cachedWords int) {
	for _, hash := range hashes {
		if _, ok := c.elements[hash]; !ok {
			break
		}
		cachedWords += blockWords
	}
	event := CacheEvent{at: now}
	for _, hash := range hashes {
		if element, ok := c.elements[hash]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.elements[hash] = c.order.PushFront(hash)
		event.Stored = append(event.Stored, fmt.Sprintf("%016x", hash))
	}
	for len(c.elements) > c.capacity {
		oldest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.elements, oldest)
		event.Dropped = append(event.Dropped, fmt.Sprintf("%016x", oldest))
	}
	c.publish(event)
	return cachedWords
}

func (c *cache) publish(event CacheEvent) {
	if len(event.Stored)+len(event.Dropped) == 0 {
		return
	}
	c.sequence++
	event.Sequence = c.sequence
	if c.gap > 0 && c.sequence%c.gap == 0 {
		return
	}
	c.events = append(c.events, event)
	if len(c.events) > keptEvents {
		c.events = c.events[len(c.events)-keptEvents:]
	}
}

// since returns the events after a sequence number that are old enough to be told.
func (c *cache) since(after uint64, newest time.Time) []CacheEvent {
	told := []CacheEvent{}
	for _, event := range c.events {
		if event.Sequence > after && !event.at.After(newest) {
			told = append(told, event)
		}
	}
	return told
}
