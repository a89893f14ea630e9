package loadgen

import (
	"time"
)

// Outcome is the result of one send of a request.
type Outcome struct {
	Request *Request
	// Status is the HTTP status; 0 if there was no response.
	Status int
	// Kind is the kind of the typed error, or one of the Kind constants; "" if there was no
	// error.
	Kind string
	// NotRun is "true", "false" or "unknown", as stated by the error.
	NotRun string
	// RetryAfter is the delay stated by the error.
	RetryAfter time.Duration
	// Problem describes a violated guarantee that is visible in the answer itself.
	Problem string
	// Streamed is set if the tokens arrived as a stream.
	Streamed bool
	// FirstToken is the time to the first token, or to the end of an answer that is not
	// streamed.
	FirstToken time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Tokens is the number of tokens received.
	Tokens int
	Total  time.Duration
	// Canceled is set if the caller disconnected.
	Canceled  bool
	RequestID string
	Server    string
	Instance  string
	// Failovers is the number of entries that were passed over for this one.
	Failovers int
}

// Kinds of outcomes without a typed error.
const (
	// KindConnect means that no entry accepted the connection.
	KindConnect = "connect"
	// KindInterrupted means that the connection broke before the end of the answer.
	KindInterrupted = "cut"
	// KindTimeout means that the answer was not complete within the plan's grace period.
	KindTimeout = "no_answer"
)

// Complete reports whether the caller got the complete and correct answer.
func (o *Outcome) Complete() bool { return o.Kind == "" && o.Problem == "" && !o.Canceled }

// Target holds the latency targets of a class; 0 means none.
type Target struct {
	Tier          int
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// gapShare is the share of an answer's gaps that must be within the target.
const gapShare = 0.95

// MeetsTargets reports whether the answer is complete and within the targets. An answer of
// several tokens that is not streamed has the time that a stream of them would have.
func (o *Outcome) MeetsTargets(target Target) bool {
	if !o.Complete() {
		return false
	}
	if !o.Streamed && o.Tokens > 1 {
		return target.BetweenTokens <= 0 || o.FirstToken <= target.FirstToken+time.Duration(o.Tokens-1)*target.BetweenTokens
	}
	if target.FirstToken > 0 && o.FirstToken > target.FirstToken {
		return false
	}
	if target.BetweenTokens <= 0 || len(o.Gaps) == 0 {
		return true
	}
	withinTarget := 0
	for _, gap := range o.Gaps {
		if gap <= target.BetweenTokens {
			withinTarget++
		}
	}
	return float64(withinTarget) >= gapShare*float64(len(o.Gaps))
}
