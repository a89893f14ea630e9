package policy

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacbridge/lilacbridge/process/member"
)

// Requests that share a long part of their prompt cost a quarter of a second
// less each on an engine that holds the part. So all instances rank the engines
// alike by a hash of the part, its homes. The first gets all requests of the part,
// whichever instance they come to; the others take what is too much for it.

// homeCount is how many engines a shared part has for homes: some choice by load, and
// few enough that the requests of one moment spread over all engines.
const homeCount = 4

// homes are the engines that a request's shared parts belong to; empty where the
// request shares too little.
type homes struct {
	// ranked are in order of rank; those that don't exist are nil.
	ranked [homeCount]*server
	ranks  [homeCount]uint64
	// assumed is true where the first one is taken to hold the parts.
	assumed bool
	// holder is the engine that holds the most of the shared parts, held how many
	// of their tokens; nil where none is known to.
	holder *server
	held   float64
	// keeper and kept are the same for engines that may not have read it yet.
	keeper *server
	kept   float64
}

// first is the first home; nil where the request has none.
func (h *homes) first() *server { return h.ranked[0] }

// note puts the server at its place among the homes.
func (h *homes) note(s *server, rank uint64) {
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

// homesOf ranks the open engines by the request's last shared part.
func (c *core) homesOf(now time.Time, r *request) homes {
	h := homes{assumed: c.peers[member.Others] != nil && !c.boardActive}
	shared := len(r.Prefix) - 2
	if !r.Pinned || shared < 0 {
		return h
	}
	remote := c.options.Weights.RemoteCost.Duration.Seconds()
	part := strconv.FormatUint(r.Prefix[shared].Hash, 36)
	belongs := r.laneOf()
	for _, s := range r.pool.servers {
		if s.canGive(now) {
			h.noteHolder(now, s, r, shared)
		}
		if s.closed() || s.cut || s.limited.Named && s.allowed.share == 0 {
			continue
		}
		rank := xxhash.Sum64String(part + s.name)
		if s.lane != belongs || belongs != laneTight && s.quiet(now) {
			continue
		}
		// A remote engine is worth its price where that buys more time of reading.
		if s.remote && r.pool.reading*float64(r.Prefix[shared].End) < remote {
			continue
		}
		h.note(s, rank)
	}
	h.holdAtHome(now, r, shared)
	return h
}

// uncachedAt is the prompt work on the server, by what is known of its cache. Where
// instances exchange their digests directly, all know within one exchange what
// was sent where. In a tree that takes seconds, and an instance sees a small part
// of the requests itself: there the first home is taken to hold the prompt. By what
// is known, shared parts were read again 2.7 times as often at 76 instances.
func (h *homes) uncachedAt(s *server, r *request) float64 {
	uncached := s.uncached(r)
	if !h.assumed || s != h.first() {
		return uncached
	}
	return min(uncached, float64(max(r.PromptTokens+r.tokens-r.Prefix[len(r.Prefix)-2].End, 1)))
}

const (
	// pastFirst is the price of the second home: more than a way between regions,
	// so that instances everywhere begin with the same engine.
	pastFirst = 250 * time.Millisecond
	// pastSecond is the price of the homes after it and of other engines, so that
	// what leaves the first home meets on the second, and is read there once.
	pastSecond = 500 * time.Millisecond
)

// place is the home's place from 1 on, else 0.
func (h *homes) place(s *server) int {
	return 1 + slices.Index(h.ranked[:], s)
}

// past is the price of an engine that is not the first home.
func (h *homes) past(s *server) time.Duration {
	switch {
	case h.first() == nil || s == h.first():
		return 0
	case s == h.ranked[1]:
		return pastFirst
	}
	return pastSecond
}
