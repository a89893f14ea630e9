package loadgen

import (
	"time"
)

// Outcome is what a caller got for one send of a request.
type Outcome struct {
	Request *Request
	// Status of the HTTP answer; 0 where none came.
	Status int
	// Kind is the typed error's kind, or one of the Kind constants; "" for a whole answer.
	Kind string
	// NotRun is true, false or unknown, as the error says.
	NotRun string
	// RetryAfter is the error's own.
	RetryAfter time.Duration
	// Problem is a broken promise that shows in the answer itself.
	Problem string
	// Streamed is true where the tokens came one by one.
	Streamed bool
	// FirstToken is the time to the first token, or to an answer that is not streamed.
	FirstToken time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Tokens that the caller received.
	Tokens int
	Total  time.Duration
	// Canceled is true where the caller itself left.
	Canceled  bool
	RequestID string
	Server    string
	Instance  string
	// Moved counts the entries that were tried before, as a balancer does.
	Failovers int
}

// The kinds of outcomes that no typed error names.
const (
	// KindConnect means that no entry took the connection.
	KindConnect = "connect"
	// KindCut means that the connection broke before the end of the answer.
	KindInterrupted = "cut"
	// KindTimeout means that the answer was not there in the plan's grace.
	KindTimeout = "no_answer"
)

// Whole tells whether the caller got its own whole answer.
func (o *Outcome) Complete() bool { return o.Kind == "" && o.Problem == "" && !o.Canceled }

// Target is a class's latency targets; 0 means none.
type Target struct {
	Tier          int
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// gapShare is the share of an answer's gaps that must keep the target.
const gapShare = 0.95

// Met tells whether a whole answer kept the targets. An answer of many tokens
// that is not streamed has the time that its tokens would have as a stream.
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
