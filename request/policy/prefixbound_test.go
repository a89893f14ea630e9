package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that name ever new parts of prompts, of few or no tokens, until the memory
// of the instance is used up.
func TestPartsOfNoTokensAreForgotten(t *testing.T) {
	is := is.New(t)
	for _, tokens := range []int{0, 1, 1000} {
		cache := newPrefixCache()
		cache.maxBlocks = 100
		for hash := range uint64(10_000) {
			cache.add(hash, tokens, time.Time{})
		}
		is.True(len(cache.blocks) <= 100)
		is.True(cache.blocks[9999] != nil)
	}
}

// Guards against a bound on parts of prompts that grows with the number of servers.
func TestServersShareTheBoundOnBlocks(t *testing.T) {
	is := is.New(t)
	c := &core{options: Options{MaxBlocks: 1000}, servers: make(map[string]*server)}
	for _, name := range []string{"a", "b", "c", "d"} {
		c.servers[name] = newServer(name)
		for hash := range uint64(10_000) {
			c.servers[name].cache.add(hash, 0, time.Time{})
		}
	}
	c.shareBlocks()
	for _, s := range c.servers {
		is.Equal(len(s.cache.blocks), 250)
	}
}
