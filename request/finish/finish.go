// Package finish predicts when an answer ends and decides by it, for callers who compete for too
// little room: which requests may start, which are refused because they can't end within their
// caller's time limit, and when a refused caller should return.
//
// It has no clock and does no I/O. The caller passes in times and what is known of the servers.
package finish

import (
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
)

// Expectation is what a server is expected to take for an answer.
type Expectation struct {
	// First is the time until the first token: the prompt work ahead, the prompt's own, and the
	// fixed time.
	First time.Duration
	// Gap is the time between tokens at the batch that the answer joins. While the server reads other
	// prompts, which it does for Busy after the first token, the time is BusyGap.
	Gap, BusyGap, Busy time.Duration
	// Tokens is the expected number of tokens still to come after the first.
	Tokens float64
}

// End returns the expected time until the answer ends.
func (e Expectation) End() time.Duration {
	tokens := max(e.Tokens, 0)
	if e.Busy <= 0 {
		return e.First + number.Duration(tokens*float64(e.Gap))
	}
	gap := max(e.BusyGap, e.Gap)
	if busy := number.Duration(tokens * float64(gap)); busy <= e.Busy {
		return e.First + busy
	}
	tokens -= float64(e.Busy) / float64(gap)
	return e.First + e.Busy + number.Duration(tokens*float64(e.Gap))
}

// Budget is the time that a request has left.
type Budget struct {
	// First is the time left until the first token is late; negative once it is.
	First time.Duration
	// End is the time left until the caller stops waiting; ignored if Unlimited.
	End time.Duration
	// Unlimited is set for callers that state no time limit.
	Unlimited bool
}

// Verdict is what an answer that starts now is worth to its caller.
type Verdict int

// The verdicts, from best to worst.
const (
	// OnTime answers are expected to begin by their target and to end within the limit.
	OnTime Verdict = iota
	// Late answers are expected to begin after their target and to end within the limit.
	Late
	// TooLate answers are expected to be cut off by the limit: they serve nobody.
	TooLate
)

// Judge returns the verdict on an answer. One that begins on time needs even odds of ending within
// the limit. A late one needs to be likely to: it is worth less, and takes engine time from others.
func Judge(e Expectation, b Budget, s *Spread) Verdict {
	late := e.First > b.First
	switch {
	case b.Unlimited && late:
		return Late
	case b.Unlimited:
		return OnTime
	case !late && s.Even(e) <= b.End:
		return OnTime
	case late && s.Likely(e) <= b.End:
		return Late
	}
	return TooLate
}
