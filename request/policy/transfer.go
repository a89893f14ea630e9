package policy

import "time"

// leastGain is the time that moving a KV cache must save: for less, a short
// prompt's answer would take another server's slot sooner than it needs.
const leastGain = 30 * time.Millisecond

// transfer stops an answer at its server and starts it at another one, where it
// goes on with its KV cache.
func (c *core) transfer(now time.Time, r *request, to *server) {
	from := r.server
	c.stop(now, r)
	c.startWith(now, r, to, from)
}

// carries tells whether moving the answer's KV cache takes less than computing
// it again. There is none before the first token, none to be had across a cut,
// and none left of an engine that crashed.
func (c *core) carries(now time.Time, r *request, to *server) bool {
	from := r.server
	if r.attemptTokens == 0 || from.cut || now.Before(from.ejectedUntil) {
		return false
	}
	return c.kv.rate(from, to).expect(now, r.tokensHeld())+leastGain < to.prefillTime(to.uncached(r))
}

// carry notes that the attempt's KV cache comes from another server.
func (c *core) carry(now time.Time, r *request, to, from *server) {
	r.kvTransferred, r.kvTransferRate = 0, nil
	if from == nil {
		return
	}
	r.kvTransferred, r.kvTransferRate = r.tokensHeld(), c.kv.rate(from, to)
	r.uncached = 0
	r.expectedFirst = to.gapAt(to.load()+1) + r.kvTransferRate.expect(now, r.kvTransferred)
}

// tokensHeld is the length of prompt and answer so far.
func (r *request) tokensHeld() float64 { return float64(r.PromptTokens + r.tokens) }

// prefillTime is how long the server takes for prompt tokens.
func (s *server) prefillTime(tokens float64) time.Duration {
	return time.Duration(s.prefill * tokens * float64(time.Second))
}

// carriedOver takes in how long a move by KV cache took until its first token.
func (c *core) carriedOver(now time.Time, r *request) {
	took := now.Sub(r.started) - r.server.gapAt(r.server.load())
	r.kvTransferRate.measured(now, r.kvTransferred, took)
	c.stats.MovedByKV++
	c.stats.SavedTokens.Moved += uint64(r.kvTransferred)
}

// gaveUpCarried learns from a move that ended before its first token: it takes
// at least as long as was waited. Without it an engine that moves slowly would
// never be found out, since its moves are overdue and go elsewhere.
func (c *core) gaveUpCarried(now time.Time, r *request) {
	if took := now.Sub(r.started); took > r.expectedFirst {
		r.kvTransferRate.measured(now, r.kvTransferred, took)
	}
}

// recomputed takes in that the move failed: its time was lost, and the prefix
// is computed after all.
func (c *core) recomputed(now time.Time, e Recomputed) {
	r := c.current(e.ID, e.Attempt)
	if r == nil || r.kvTransferRate == nil || r.attemptTokens > 0 {
		return
	}
	s := r.server
	r.uncached = s.uncached(r)
	s.ahead.add(r.level, r.uncached)
	r.kvTransferRate.measured(now, r.kvTransferred, now.Sub(r.started)+s.prefillTime(r.uncached))
	r.kvTransferred, r.kvTransferRate = 0, nil
}
