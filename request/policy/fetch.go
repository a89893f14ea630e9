package policy

import "time"

// A shared prompt of 13,300 tokens takes an engine a quarter of a second to read,
// and all answers that it runs meanwhile get their tokens seven times slower. An
// engine can fetch the part from another one that holds it, in half the time and
// beside its own work. So a request that finds the engine of its prompt busy goes
// to another one without the prompt being read there again.

const (
	// minFetchGain is the least time of reading that a fetch spares: some 5 ms pass
	// before a fetch begins.
	minFetchGain = 6 * time.Millisecond
	// minDuplicatePrefill is the least part of a prompt, in tokens, for whose sake a request
	// stays at the engine that reads it already: one chunk. While all engines are
	// busy, a prompt read twice delays all others, and who does so to be in time makes
	// more than one of them late.
	minDuplicatePrefill = prefillChunk
	// fetchCostRatio is what a fetched token costs of what a read one does: it takes the
	// links' time and volume in place of the engine's.
	fetchCostRatio = 0.5
)

// promptSource is how an engine comes by a request's prompt.
type promptSource struct {
	// prefill is what it must read, fetched what it takes from another engine, in tokens.
	prefill, fetched float64
	// from is the engine that holds the fetched part; nil for none.
	from *server
	// duplicate is the part of read that another engine holds or reads already.
	duplicate float64
}

// cost is the supply's cost, as tokens to be read.
func (p promptSource) cost() float64 { return p.prefill + fetchCostRatio*p.fetched }

// fetchTime is how long the fetched part takes on its way.
func (s *server) fetchTime(tokens float64) time.Duration {
	return time.Duration(tokens * float64(s.fetchPerToken))
}

// sourceAt says how the server would come by the request's prompt.
func (h *homes) sourceAt(s *server, r *request) promptSource {
	source := promptSource{prefill: h.uncachedAt(s, r)}
	held := float64(r.PromptTokens+r.got) - source.prefill
	fetched := h.heldTokens - held
	if h.holder != nil && s != h.holder && s.fetchPerToken > 0 && r.pool.prefillTime(fetched) >= minFetchGain {
		source.prefill, source.fetched, source.from = source.prefill-fetched, fetched, h.holder
		held += fetched
	}
	source.duplicate = max(0, h.assignedTokens-held)
	return source
}

// leavingFetchWindow is how long a leaving engine still passes its cache on: it stays for
// some seconds after the word that it leaves, and its prompts, once fetched, need not
// be read again by those who take its place.
const leavingFetchWindow = 2 * time.Second

// servesFetches tells whether others may fetch from the engine.
func (s *server) servesFetches(now time.Time) bool {
	if s.gone || s.unreachable || now.Before(s.ejectedUntil) {
		return false
	}
	return !s.closed() || now.Sub(s.closedAt) < leavingFetchWindow
}

// updateHolders keeps the engine that holds the most of the request's shared parts.
// Where others' requests are not known, the first home is taken for it.
func (h *homes) updateHolders(now time.Time, s *server, r *request, lastShared int) {
	if assignedTokens := float64(s.cache.cachedTokens(r.Prefix[:lastShared+1])); assignedTokens > h.assignedTokens && !s.closed() && !s.held(now) && !s.intrudes(now, r, s.uncachedTokens(r)) {
		h.assigned, h.assignedTokens = s, assignedTokens
	}
	heldTokens := float64(s.cache.readyTokens(now, r.Prefix[:lastShared+1]))
	if heldTokens > h.heldTokens {
		h.holder, h.heldTokens = s, heldTokens
	}
}

// assumeHeldAtHome takes the first home for the holder where it is assumed to be one and
// has not failed just now.
func (h *homes) assumeHeldAtHome(now time.Time, r *request, lastShared int) {
	if !h.assumeCached || h.first() == nil || now.Before(h.first().ejectedUntil) {
		return
	}
	sharedTokens := float64(r.Prefix[lastShared].End)
	h.assigned, h.assignedTokens = h.first(), sharedTokens
	if h.heldTokens < sharedTokens {
		h.holder, h.heldTokens = h.first(), sharedTokens
	}
}
