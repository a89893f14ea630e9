package relay

import (
	"time"

	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/logs"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

// The lines of a request, in the order in which they come: one "sent" for each
// attempt with what decided the server, then "finished", "attempt failed" or
// "refused". docs/OPERATIONS.md lists their fields.

func (r *Relay) logSent(f *flight, start policy.Start) {
	why := start.Decision
	r.Log.Line(logs.Success, "sent", "request", f.requestID, "class", f.class, "team", f.team, "target", f.target,
		"server", start.Server, "attempt", start.Attempt, "level", start.Level, "waited_ms", why.Waited.Milliseconds(),
		"own", why.Own, "load", int(why.Load), "report_age_ms", why.ReportAge.Milliseconds(),
		"uncached", int(why.Uncached), "fetched", int(why.Fetched), "from", start.FetchFrom, "ahead", int(why.Ahead), "expected_ms", why.Expected.Milliseconds(), "remote", why.Remote, "lane", why.Lane, "home", why.Home,
		"displaces", why.Displaces, "bulk", why.Bulk)
}

func (r *Relay) logFinished(f *flight, start policy.Start) {
	r.Log.Line(logs.Success, "finished", "request", f.requestID, "server", start.Server, "attempt", start.Attempt,
		"first_ms", f.firstAfter().Milliseconds(), "took_ms", time.Since(f.arrived).Milliseconds(), "pause_ms", f.longestPause().Milliseconds(), "tokens", f.tokens.Load())
}

func (r *Relay) logFailed(f *flight, start policy.Start, err error, unsent bool) {
	r.Log.Line(logs.Failure, "attempt failed", "request", f.requestID, "class", f.class, "server", start.Server, "attempt", start.Attempt,
		"unsent", unsent, "after_ms", time.Since(f.arrived).Milliseconds(), "tokens", f.tokens.Load(), "error", err)
}

func (r *Relay) logRefused(f *flight, a policy.Refuse) {
	r.Log.Line(logs.Failure, "refused", "request", f.requestID, "class", f.class, "team", f.team, "target", f.target,
		"kind", fault.Name(a.Kind), "not_run", a.NotRun.String(), "retry_after_ms", a.RetryAfter.Milliseconds(),
		"after_ms", time.Since(f.arrived).Milliseconds(), "level", a.Queue.Level, "before", a.Queue.Before,
		"running", a.Queue.Running, "slots", a.Queue.Slots, "blocked", string(a.Queue.Blocked))
}

func (r *Relay) logBadLimit(f *flight, start policy.Start, text string) {
	r.Log.Line(logs.Failure, "limit not readable, the last one stands", "request", f.requestID, "server", start.Server, "value", text)
}

// logLimit tells of a limit that a server names, or names no longer.
func (r *Relay) logLimit(a policy.LimitChanged) {
	r.Log.Line(logs.Belief, "server limit", "server", a.Server, "named", a.Advertised, "per_second", a.PerSecond,
		"source", string(a.Source), "age_ms", a.Age.Milliseconds(), "share", a.Share)
}
