package policy

import (
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
)

// A shared prompt of 13,300 tokens takes an engine a quarter of a second to prefill, and
// meanwhile all its running answers get their tokens seven times slower. An engine can instead
// fetch the KV cache of the prompt from one that holds it, in half the time and in parallel with
// its own work. So if the engine that holds the prompt is busy, a request can go to another one
// without a second prefill.

const (
	// minFetchGain is the least prefill time that a fetch must save: about 5 ms pass before a
	// fetch begins.
	minFetchGain = 6 * time.Millisecond
	// minDuplicatePrefill is the least part of a prompt, in tokens, that keeps a request at the
	// engine that already prefills it: one chunk. While all engines are busy, a second prefill
	// that lets one request be in time makes more than one other late.
	minDuplicatePrefill = prefillChunk
	// fetchCostRatio is the cost of a fetched token relative to a prefilled one: a fetch uses
	// network bandwidth instead of the engine's time.
	fetchCostRatio = 0.5
)

// promptSource is how an engine would obtain a request's prompt.
type promptSource struct {
	// prefill is the number of tokens to prefill, fetched the number to fetch from another
	// engine.
	prefill, fetched float64
	// from is the engine that the fetched part comes from; nil for none.
	from *server
	// duplicate is the part of prefill that another engine holds or already prefills.
	duplicate float64
}

// cost returns the cost of the prompt in prefilled tokens.
func (s promptSource) cost() float64 { return s.prefill + fetchCostRatio*s.fetched }

// fetchTime returns the time to fetch so many tokens.
func (s *server) fetchTime(tokens float64) time.Duration {
	return number.Duration(tokens * float64(s.fetchPerToken))
}

// sourceAt returns how the server would obtain the request's prompt.
func (h *homes) sourceAt(s *server, r *request) promptSource {
	source := promptSource{prefill: h.uncachedAt(s, r)}
	held := float64(r.PromptTokens+r.tokens) - source.prefill
	fetched := h.heldTokens - held
	// KV cache of one software version is of no use to another.
	if h.holder != nil && s != h.holder && s.version == h.holder.version && s.fetchPerToken > 0 && r.pool.prefillTime(fetched) >= minFetchGain {
		source.prefill, source.fetched, source.from = source.prefill-fetched, fetched, h.holder
		held += fetched
	}
	source.duplicate = max(0, h.assignedTokens-held)
	return source
}

// leavingFetchWindow is how long a leaving engine still serves fetches: it stays for some seconds
// after the announcement, and what is fetched from it need not be prefilled again by the engines
// that take over.
const leavingFetchWindow = 2 * time.Second

// servesFetches reports whether other engines may fetch from the engine.
func (s *server) servesFetches(now time.Time) bool {
	if s.gone || s.unreachable || now.Before(s.ejectedUntil) {
		return false
	}
	return !s.closed() || now.Sub(s.closedAt) < leavingFetchWindow
}

// updateHolders updates the engines that hold, or were sent, the most tokens of the request's
// shared prefixes.
func (h *homes) updateHolders(now time.Time, s *server, r *request, lastShared int) {
	if assignedTokens := float64(s.cache.cachedTokens(r.Prefix[:lastShared+1])); assignedTokens > h.assignedTokens && !s.closed() && !s.limitReached(now) && !s.interferes(now, r, s.uncachedTokens(r)) {
		h.assigned, h.assignedTokens = s, assignedTokens
	}
	heldTokens := float64(s.cache.readyTokens(now, r.Prefix[:lastShared+1]))
	if heldTokens > h.heldTokens {
		h.holder, h.heldTokens = s, heldTokens
	}
}

// assumeHeldAtHome makes the first home the holder of all shared prefixes if that is assumed and
// the home has not just failed.
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
