package policy

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacbridge/lilacbridge/process/member"
)

// A request that shares a long prompt prefix with others takes a quarter of a second less on an
// engine that has the prefix in its cache. All instances therefore rank the engines by the same
// hash of the shared prefix; the first few are its homes. The first home gets all requests with
// the prefix, from all instances; the others take what exceeds its capacity.

// homeCount is the number of homes of a shared prefix: enough for some choice by load, and few
// enough that concurrent requests spread over all engines.
const homeCount = 4

// homes are the preferred engines of a request by its shared prompt prefix; empty if the request
// shares too little.
type homes struct {
	// ranked holds the homes in order of rank; nil where there are fewer engines.
	ranked [homeCount]*server
	ranks  [homeCount]uint64
	// assumeCached is true if the first home is assumed to have the prefixes in its cache.
	assumeCached bool
	// holder is the engine with the most cached tokens of the shared prefixes, heldTokens their
	// number; nil if none is known.
	holder     *server
	heldTokens float64
	// assigned and assignedTokens are the same including prefixes that were sent to an engine but
	// may not be prefilled yet.
	assigned       *server
	assignedTokens float64
}

// first returns the first home; nil if the request has none.
func (h *homes) first() *server { return h.ranked[0] }

// insert adds the server to the homes if its rank is high enough.
func (h *homes) insert(s *server, rank uint64) {
	for i := range h.ranked {
		if h.ranked[i] == nil || rank > h.ranks[i] {
			s, h.ranked[i] = h.ranked[i], s
			rank, h.ranks[i] = h.ranks[i], rank
		}
		if s == nil {
			return
		}
	}
}

// homesOf ranks the available engines by the request's last shared prefix.
func (c *core) homesOf(now time.Time, r *request) homes {
	h := homes{assumeCached: c.peers[member.Others] != nil && !c.boardActive}
	lastShared := len(r.Prefix) - 2
	if !r.Pinned || lastShared < 0 {
		return h
	}
	remoteCost := c.options.Weights.RemoteCost.Duration.Seconds()
	prefix := strconv.FormatUint(r.Prefix[lastShared].Hash, 36)
	requestLane := r.assignedLane()
	for _, s := range r.pool.servers {
		if s.servesFetches(now) {
			h.updateHolders(now, s, r, lastShared)
		}
		if s.closed() || s.unreachable || s.rateLimit.Advertised && s.allowance.share == 0 {
			continue
		}
		rank := r.pool.homeRank(s, xxhash.Sum64String(prefix+s.name))
		if s.lane != requestLane || requestLane != laneTight && s.excludesLongPrompts(now) {
			continue
		}
		// A remote engine is worth its cost only if the cache saves more prefill time than that.
		if s.remote && r.pool.medianPrefill*float64(r.Prefix[lastShared].End) < remoteCost {
			continue
		}
		h.insert(s, rank)
	}
	h.assumeHeldAtHome(now, r, lastShared)
	return h
}

// uncachedAt returns the number of prompt tokens to prefill on the server, by what is known of
// its cache. Instances that exchange digests directly learn within one exchange what was sent
// where. Through a tree of digests that takes seconds, and an instance sees few of the requests
// itself, so the first home is assumed to have the prompt. Without the assumption, 76 instances
// prefilled shared prefixes again 2.7 times as often.
func (h *homes) uncachedAt(s *server, r *request) float64 {
	uncached := s.uncachedTokens(r)
	if !h.assumeCached || s != h.first() {
		return uncached
	}
	return min(uncached, float64(max(r.PromptTokens+r.tokens-r.Prefix[len(r.Prefix)-2].End, 1)))
}

const (
	// secondHomePenalty is the cost of the second home: more than the latency between regions, so
	// that instances everywhere start with the same engine.
	secondHomePenalty = 250 * time.Millisecond
	// otherEnginePenalty is the cost of all other engines, so that requests that leave the first
	// home meet on the second and their prompt is prefilled there once.
	otherEnginePenalty = 500 * time.Millisecond
)

// ordinal returns the server's number among the homes in order of preference, from 1 on; 0 if it is
// not a home.
func (h *homes) ordinal(s *server) int {
	return 1 + slices.Index(h.ranked[:], s)
}

// penalty returns the cost of a server that is not the first home.
func (h *homes) penalty(s *server) time.Duration {
	switch {
	case h.first() == nil || s == h.first():
		return 0
	case s == h.ranked[1]:
		return secondHomePenalty
	}
	return otherEnginePenalty
}
