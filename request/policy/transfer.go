package policy

import "time"

// minTransferGain is the time that moving a KV cache must save: for less, a short
// prompt's answer would take another server's slot sooner than it needs.
const minTransferGain = 30 * time.Millisecond

// transfer stops an answer at its server and starts it at another one, where it
// goes on with its KV cache.
func (c *core) transfer(now time.Time, r *request, to *server) {
	from := r.server
	c.stop(now, r)
	c.startWith(now, r, to, from)
}

// transferPays tells whether moving the answer's KV cache takes less than computing
// it again. There is none before the first token, none to be had across a cut,
// and none left of an engine that crashed.
func (c *core) transferPays(now time.Time, r *request, to *server) bool {
	from := r.server
	if r.gotNow == 0 || from.unreachable || now.Before(from.ejectedUntil) {
		return false
	}
	return c.kv.rate(from, to).expect(now, r.tokensHeld())+minTransferGain < to.prefillTime(to.uncachedTokens(r))
}

// setCarried notes that the attempt's KV cache comes from another server.
func (c *core) setCarried(now time.Time, r *request, to, from *server) {
	r.carried, r.carriedAt = 0, nil
	if from == nil {
		return
	}
	r.carried, r.carriedAt = r.tokensHeld(), c.kv.rate(from, to)
	r.uncached = 0
	r.expected = to.gapAt(to.load()+1) + r.carriedAt.expect(now, r.carried)
}

// tokensHeld is the length of prompt and answer so far.
func (r *request) tokensHeld() float64 { return float64(r.PromptTokens + r.got) }

// prefillTime is how long the server takes for prompt tokens.
func (s *server) prefillTime(tokens float64) time.Duration {
	return time.Duration(s.prefill * tokens * float64(time.Second))
}

// observeTransfer takes in how long a move by KV cache took until its first token.
func (c *core) observeTransfer(now time.Time, r *request) {
	took := now.Sub(r.started) - r.server.gapAt(r.server.load())
	r.carriedAt.observe(now, r.carried, took)
	c.stats.MovedByKV++
	c.stats.Spared.Moved += uint64(r.carried)
}

// observeAbandonedTransfer learns from a move that ended before its first token: it takes
// at least as long as was waited. Without it an engine that moves slowly would
// never be found out, since its moves are overdue and go elsewhere.
func (c *core) observeAbandonedTransfer(now time.Time, r *request) {
	if took := now.Sub(r.started); took > r.expected {
		r.carriedAt.observe(now, r.carried, took)
	}
}

// recomputed takes in that the move failed: its time was lost, and the prefix
// is computed after all.
func (c *core) recomputed(now time.Time, e Recomputed) {
	r := c.currentAttempt(e.ID, e.Attempt)
	if r == nil || r.carriedAt == nil || r.gotNow > 0 {
		return
	}
	s := r.server
	r.uncached = s.uncachedTokens(r)
	s.ownBacklog.add(r.level, r.uncached)
	r.carriedAt.observe(now, r.carried, now.Sub(r.started)+s.prefillTime(r.uncached))
	r.carried, r.carriedAt = 0, nil
}
