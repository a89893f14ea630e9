package policy

import "time"

// A shared prompt of 13,300 tokens takes an engine a quarter of a second to read,
// and all answers that it runs meanwhile get their tokens seven times slower. An
// engine can fetch the part from another one that holds it, in half the time and
// beside its own work. So a request that finds the engine of its prompt busy goes
// to another one without the prompt being read there again.

const (
	// leastFetch is the least time of reading that a fetch spares: some 5 ms pass
	// before a fetch begins.
	leastFetch = 6 * time.Millisecond
	// leastAgain is the least part of a prompt, in tokens, for whose sake a request
	// stays at the engine that reads it already: one chunk. While all engines are
	// busy, a prompt read twice delays all others, and who does so to be in time makes
	// more than one of them late.
	leastAgain = readChunk
	// fetchShare is what a fetched token costs of what a read one does: it takes the
	// links' time and volume in place of the engine's.
	fetchShare = 0.5
)

// supply is how an engine comes by a request's prompt.
type supply struct {
	// read is what it must read, fetched what it takes from another engine, in tokens.
	read, fetched float64
	// from is the engine that holds the fetched part; nil for none.
	from *server
	// again is the part of read that another engine holds or reads already.
	again float64
}

// work is the supply's cost, as tokens to be read.
func (p supply) work() float64 { return p.read + fetchShare*p.fetched }

// fetchTime is how long the fetched part takes on its way.
func (s *server) fetchTime(tokens float64) time.Duration {
	return time.Duration(tokens * float64(s.cacheToken))
}

// supplyAt says how the server would come by the request's prompt.
func (h *homes) supplyAt(s *server, r *request) supply {
	p := supply{read: h.uncachedAt(s, r)}
	held := float64(r.PromptTokens+r.tokens) - p.read
	more := h.held - held
	if h.holder != nil && s != h.holder && s.cacheToken > 0 && r.pool.readTime(more) >= leastFetch {
		p.read, p.fetched, p.from = p.read-more, more, h.holder
		held += more
	}
	p.again = max(0, h.kept-held)
	return p
}

// leavingGives is how long a leaving engine still passes its cache on: it stays for
// some seconds after the word that it leaves, and its prompts, once fetched, need not
// be read again by those who take its place.
const leavingGives = 2 * time.Second

// canGive tells whether others may fetch from the engine.
func (s *server) canGive(now time.Time) bool {
	if s.gone || s.cut || now.Before(s.ejectedUntil) {
		return false
	}
	return !s.closed() || now.Sub(s.closedAt) < leavingGives
}

// noteHolder keeps the engine that holds the most of the request's shared parts.
// Where others' requests are not known, the first home is taken for it.
func (h *homes) noteHolder(now time.Time, s *server, r *request, shared int) {
	if kept := float64(s.cache.hit(r.Prefix[:shared+1])); kept > h.kept && !s.closed() && !s.limitReached(now) && !s.intrudes(now, r, s.uncached(r)) {
		h.keeper, h.kept = s, kept
	}
	held := float64(s.cache.ready(now, r.Prefix[:shared+1]))
	if held > h.held {
		h.holder, h.held = s, held
	}
}

// holdAtHome takes the first home for the holder where it is assumed to be one and
// has not failed just now.
func (h *homes) holdAtHome(now time.Time, r *request, shared int) {
	if !h.assumed || h.first() == nil || now.Before(h.first().ejectedUntil) {
		return
	}
	all := float64(r.Prefix[shared].End)
	h.keeper, h.kept = h.first(), all
	if h.held < all {
		h.holder, h.held = h.first(), all
	}
}
