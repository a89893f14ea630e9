package policy

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacbridge/lilacbridge/process/member"
)

// Requests that share a long part of their prompt cost a quarter of a second
// less each on an engine that holds the part. An instance knows only what it
// sent itself, so all instances rank the engines alike by a hash of the part,
// and each takes the first one for holding it. It so gets all requests of the
// part, whichever instance they come to; the second takes what is too much for it.

// homes are the engines that a request's shared parts belong to; nil where the
// request shares too little.
type homes struct {
	first, second *server
	// assumed is true where the first one is taken to hold the parts.
	assumed bool
	// holder is the engine that holds the most of the shared parts, held how many
	// of their tokens; nil where none is known to.
	holder *server
	held   float64
	// kept is the same as held for engines that may not have read it yet.
	kept float64
}

// homesOf ranks the open engines by the request's last shared part.
func (c *core) homesOf(now time.Time, r *request) homes {
	h := homes{assumed: c.peers[member.Others] != nil && !c.told}
	shared := len(r.Prefix) - 2
	if !r.Anchored || shared < 0 {
		return h
	}
	remote := c.options.Weights.RemoteCost.Duration.Seconds()
	part := strconv.FormatUint(r.Prefix[shared].Hash, 36)
	tight := r.tight()
	var most, next uint64
	for _, s := range r.pool.servers {
		if s.closed() || s.cut {
			continue
		}
		if !now.Before(s.ejectedUntil) {
			h.noteHolder(now, s, r, shared)
		}
		if s.lane != tight {
			continue
		}
		// A remote engine is worth its price where that buys more time of reading.
		if s.remote && r.pool.reading*float64(r.Prefix[shared].End) < remote {
			continue
		}
		switch rank := xxhash.Sum64String(part + s.name); {
		case rank > most:
			h.second, next = h.first, most
			h.first, most = s, rank
		case rank > next:
			h.second, next = s, rank
		}
	}
	h.holdAtHome(now, r, shared)
	return h
}

// uncachedAt is the prompt work on the server, by what is known of its cache. Where
// instances exchange their digests directly, all know within one exchange what
// was sent where. In a tree that takes seconds, and an instance sees a small part
// of the requests itself: there the first home is taken to hold the prompt. By what
// is known, shared parts were read again 2.7 times as often at 76 instances.
func (h homes) uncachedAt(s *server, r *request) float64 {
	uncached := s.uncached(r)
	if !h.assumed || s != h.first {
		return uncached
	}
	return min(uncached, float64(max(r.PromptTokens+r.got-r.Prefix[len(r.Prefix)-2].End, 1)))
}

const (
	// pastFirst is the price of the second home: more than a way between regions,
	// so that instances everywhere begin with the same engine.
	pastFirst = 250 * time.Millisecond
	// pastSecond is the price of an engine that is no home, so that what leaves the
	// first home meets on the second, and is read there once.
	pastSecond = 500 * time.Millisecond
)

// place is 1 or 2 for the homes, else 0.
func (h homes) place(s *server) int {
	switch s {
	case h.first:
		return 1
	case h.second:
		return 2
	}
	return 0
}

// past is the price of an engine that is not the first home.
func (h homes) past(s *server) time.Duration {
	switch {
	case h.first == nil || s == h.first:
		return 0
	case s == h.second:
		return pastFirst
	}
	return pastSecond
}
