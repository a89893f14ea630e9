package policy

import (
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
)

// minTransferGain is the least time that moving a KV cache must save: below it, the answer of a
// short prompt would take another server's slot earlier than necessary.
const minTransferGain = 30 * time.Millisecond

// transferPays reports whether moving the answer's KV cache takes less time than a new prefill.
// There is no cache before the first token, and none can be had from an unreachable or crashed
// server.
func (c *core) transferPays(now time.Time, r *request, to *server) bool {
	from := r.server
	if r.attemptTokens == 0 || from.unreachable || now.Before(from.ejectedUntil) {
		return false
	}
	return c.kv.rate(from, to).expect(now, r.tokensHeld())+minTransferGain < to.prefillTime(to.uncachedTokens(r))
}

// setTransferred records that the attempt gets its KV cache from another server; from is nil for
// none.
func (c *core) setTransferred(now time.Time, r *request, to, from *server) {
	r.kvTransferred, r.kvTransferRate = 0, nil
	if from == nil {
		return
	}
	r.kvTransferred, r.kvTransferRate = r.tokensHeld(), c.kv.rate(from, to)
	r.uncached = 0
	r.expectedFirst = to.gapAt(to.load()+1) + r.kvTransferRate.expect(now, r.kvTransferred)
}

// tokensHeld returns the length of the prompt and of the answer so far.
func (r *request) tokensHeld() float64 { return float64(r.PromptTokens + r.tokens) }

// prefillTime returns the time to prefill so many tokens.
func (s *server) prefillTime(tokens float64) time.Duration {
	return number.Seconds(s.prefillSeconds(tokens))
}

// observeTransfer records the time from the start of a move to its first token.
func (c *core) observeTransfer(now time.Time, r *request) {
	took := now.Sub(r.started) - r.server.gapAt(r.server.load())
	r.kvTransferRate.observe(now, r.kvTransferred, took)
	c.stats.MovedByKV++
	c.stats.SavedTokens.Moved += number.Uint64(r.kvTransferred)
}

// observeAbandonedTransfer learns from a move that ended before its first token: it would have
// taken at least this long. Without it, slow moves would never be measured, since they become
// overdue and the request goes elsewhere.
func (c *core) observeAbandonedTransfer(now time.Time, r *request) {
	if took := now.Sub(r.started); took > r.expectedFirst {
		r.kvTransferRate.observe(now, r.kvTransferred, took)
	}
}

// recomputed handles a move that failed, after which the server prefills the prompt and answer
// itself. The lost time counts as that of the move.
func (c *core) recomputed(now time.Time, e Recomputed) {
	r := c.currentAttempt(e.ID, e.Attempt)
	if r == nil || r.kvTransferRate == nil || r.attemptTokens > 0 {
		return
	}
	s := r.server
	r.uncached = s.uncachedTokens(r)
	s.ownBacklog.add(r.level, r.uncached)
	r.kvTransferRate.observe(now, r.kvTransferred, now.Sub(r.started)+s.prefillTime(r.uncached))
	r.kvTransferred, r.kvTransferRate = 0, nil
}
