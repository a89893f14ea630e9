package relay

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lilacbridge/lilacbridge/connection/originlink"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/logs"
	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/request/outcome"
	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/version/admission"
)

// Log lines of a request in chronological order: "sent" for each attempt, with the reasons for
// the choice of server, followed by "finished", "attempt failed" or "refused".
// docs/OPERATIONS.md lists the fields.

func (r *Relay) logSent(req *request, start policy.Start, before outcome.Evidence) {
	why := start.Decision
	fields := []any{"request", req.requestID, "class", req.class, "team", req.team, "target", req.target,
		"server", start.Server, "attempt", start.Attempt, "level", start.Level, "waited_ms", why.Waited.Milliseconds(),
		"own", why.Own, "load", number.Int(why.Load), "report_age_ms", why.ReportAge.Milliseconds(),
		"pace", percent(why.Pace), "pace_reported", percent(why.Reported), "pace_age_ms", why.PaceAge.Milliseconds(),
		"uncached", number.Int(why.Uncached), "fetched", number.Int(why.Fetched), "from", start.FetchFrom, "ahead", number.Int(why.Ahead), "expected_ms", why.Expected.Milliseconds(), "remote", why.Remote, "lane", why.Lane, "home", why.Home,
		"retry", string(why.Retry), "displaces", why.Displaces, "bulk", why.Bulk, "need", number.Int(why.Need), "held", number.Int(why.Held), "memory", number.Int(why.Memory), "version", start.Version, "after", req.lastEvent, "resumes", req.resumes,
		"idempotent", req.idempotent, "evidence_before", string(before)}
	r.Log.Line(logs.Success, "sent", append(fields, teamFields(why.Team)...)...)
}

// teamFields are the fields of the team's service, which decided the order; none unless the pool
// is contended.
func teamFields(s *policy.TeamShare) []any {
	if s == nil {
		return nil
	}
	return []any{"team_share", formatShare(s.Share), "team_here", number.Int(s.Here), "team_elsewhere", number.Int(s.Elsewhere),
		"team_asked", number.Int(s.Asked), "team_age_ms", s.Age.Milliseconds(), "team_excess", s.Excess}
}

// formatShare formats a share in tokens; a team without a bound has none.
func formatShare(tokens float64) string {
	if math.IsInf(tokens, 1) {
		return ""
	}
	return strconv.Itoa(number.Int(tokens))
}

// percent rounds a ratio to whole percent.
func percent(ratio float64) int { return number.Int(math.Round(100 * ratio)) }

// logResumed logs what is known of a stream that its caller resumes.
func (r *Relay) logResumed(req *request, f originlink.Finding) {
	r.Log.Line(logs.Success, "resumed by caller", "request", req.requestID, "resumes", req.resumes, "after", req.lastEvent,
		"source", string(f.Source), "target", f.Origin.Service, "version", f.Origin.Version, "asked", f.Asked, "answered", f.Answered, "holder", f.Holder, "not_inferred", string(f.Doubt),
		"known", versionList(f.Versions), "record_age_ms", f.Versions.Age.Milliseconds(), "revision", f.Versions.Revision,
		"took_ms", time.Since(req.arrived).Milliseconds())
}

func (r *Relay) logWithoutProof(req *request, start policy.Start) {
	r.Log.Line(logs.Failure, "repetition without proof refused", "request", req.requestID, "class", req.class, "server", start.Server, "attempt", start.Attempt,
		"evidence_before", string(req.record.LastEvidence()), "after_ms", time.Since(req.arrived).Milliseconds())
}

func (r *Relay) logFinished(req *request, att *upstreamAttempt) {
	use := att.state.Use()
	r.Log.Line(logs.Success, "finished", "request", req.requestID, "server", att.start.Server, "attempt", att.start.Attempt,
		"first_ms", req.firstTokenAfter().Milliseconds(), "took_ms", time.Since(req.arrived).Milliseconds(), "pause_ms", req.longestPause().Milliseconds(), "tokens", req.tokens.Load(),
		"framing", string(req.framing), "stated_bytes", req.stated, "read_bytes", req.read, "forwarder", att.state.Forwarder(), "connection", use.Connection, "use", use.Number)
}

func (r *Relay) logFailed(req *request, att *upstreamAttempt, err error, unsent bool, end string) {
	use := att.state.Use()
	r.Log.Line(logs.Failure, "attempt failed", "request", req.requestID, "class", req.class, "server", att.start.Server, "attempt", att.start.Attempt,
		"end", end, "unsent", unsent, "evidence", string(req.record.LastEvidence()), "connection", use.Connection, "use", use.Number, "answer_status", req.status, "answer_named", req.named, "connection_lost", upstream.IsConnectionError(err), "after_ms", time.Since(req.arrived).Milliseconds(),
		"tokens", req.tokens.Load(), "began", req.lastProgress.Load() != 0, "parts", partList(req.parts), "framing", string(req.framing),
		"stated_bytes", req.stated, "read_bytes", req.read, "forwarder", att.state.Forwarder(), "error", err)
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// partList formats the ids of prompt parts as in callers' requests.
func partList(parts []uint64) string {
	var list strings.Builder
	for i, part := range parts[:min(len(parts), maxLoggedParts)] {
		if i > 0 {
			list.WriteByte(',')
		}
		list.WriteString(formatPart(part))
	}
	return list.String()
}

func (r *Relay) logRefused(req *request, a policy.Refuse) {
	if a.Shortage != nil {
		r.Counter.NoRoom(string(a.Shortage.Check), a.Shortage.Main())
	}
	fields := []any{"request", req.requestID, "class", req.class, "team", req.team, "target", req.target,
		"kind", fault.Name(a.Kind), "not_run", a.NotRun.String(), "retry_after_ms", a.RetryAfter.Milliseconds(),
		"after_ms", time.Since(req.arrived).Milliseconds(), "level", a.Queue.Position, "before", a.Queue.Before,
		"running", a.Queue.Running, "slots", a.Queue.Slots, "blocked", string(a.Queue.Blocked),
		"reason", string(a.Queue.Reason), "expected_end_ms", a.Queue.ExpectedEnd.Milliseconds(), "limit_ms", a.Queue.Limit.Milliseconds(), "ahead_ms", a.Queue.Ahead.Milliseconds(),
		"retry_denied", string(a.RetryDenied), "retries_left", a.RetriesLeft}
	fields = append(fields, teamFields(a.Queue.Team)...)
	r.Log.Line(logs.Failure, "refused", append(fields, shortageFields(a.Shortage)...)...)
}

// shortageFields tell which check found no room, and how each server is used and by whose report.
func shortageFields(s *policy.Shortage) []any {
	if s == nil {
		return nil
	}
	servers := make([]string, 0, len(s.Servers))
	for i := range s.Servers {
		servers = append(servers, formatUse(&s.Servers[i]))
	}
	counts := make([]string, 0, len(s.Counts))
	for _, use := range slices.Sorted(maps.Keys(s.Counts)) {
		counts = append(counts, string(use)+" "+strconv.Itoa(s.Counts[use]))
	}
	return []any{"check", string(s.Check), "waiting", s.Waiting, "rate", number.Int(s.Rate), "start_rate", number.Int(s.StartRate), "full_for_ms", s.FullFor.Milliseconds(),
		"servers", strings.Join(servers, "; "), "server_counts", strings.Join(counts, ", "), "servers_age_ms", s.Age.Milliseconds()}
}

// formatUse formats how a server is used; docs/OPERATIONS.md explains the text.
func formatUse(u *policy.ServerUse) string {
	text := fmt.Sprintf("%s %s", u.Server, u.Use)
	if u.Reason != "" {
		text += " (" + string(u.Reason) + ")"
	}
	if u.Left > 0 {
		text += fmt.Sprintf(" for %d ms", u.Left.Milliseconds())
	}
	return fmt.Sprintf("%s, %d own, %.0f of %.0f, expected %d ms, reported %.0f (%d ms), told %.0f (%s, %d ms), last response %d ms, data centre %d ms", text,
		u.Own, u.Load, u.Limit, u.Expected.Milliseconds(), u.Reported, u.ReportAge.Milliseconds(), u.Told, u.Reporter, u.ToldAge.Milliseconds(), u.LastResponse.Milliseconds(), u.Silent.Milliseconds())
}

func (r *Relay) logBadLimit(req *request, start policy.Start, text string) {
	r.Log.Line(logs.Failure, "cannot parse server limit; keeping the previous one", "request", req.requestID, "server", start.Server, "value", text)
}

// logLimit logs that a server started, changed or stopped stating a limit.
func (r *Relay) logLimit(a policy.LimitChanged) {
	r.Log.Line(logs.StateChange, "server limit", "server", a.Server, "named", a.Advertised, "per_second", a.PerSecond,
		"source", string(a.Source), "age_ms", a.Age.Milliseconds(), "share", a.Share)
}

// logAvailability logs that this instance changed how it uses a server.
func (r *Relay) logAvailability(a policy.AvailabilityChanged) {
	r.Counter.ServerAvailability(string(a.Reason))
	r.Log.Line(logs.StateChange, "server availability", "server", a.Server, "state", string(a.State), "reason", string(a.Reason),
		"reporter", a.Reporter, "last_response_age_ms", a.LastResponseAge.Milliseconds(), "for_ms", a.For.Milliseconds())
}

// logRoomReserved logs that a place on a server is reserved for a request, and for which reason.
func (r *Relay) logRoomReserved(a policy.RoomReserved) {
	id := ""
	if req := r.request(a.ID); req != nil {
		id = req.requestID
	}
	r.Log.Line(logs.Success, "room reserved", "request", id, "server", a.Server, "need", number.Int(a.Need), "held", number.Int(a.Held), "memory", number.Int(a.Memory),
		"slot_share", number.Int(a.SlotShare), "reason", string(a.Reason))
}

// logRetryPart logs that this instance's part of the retries of all instances changed.
func (r *Relay) logRetryPart(a policy.RetryPartChanged) {
	r.Log.Line(logs.StateChange, "retry part", "instances", a.Instances, "part", a.Part)
}

// logRejectionLimit logs that the servers of a pool started, changed or stopped stating how many
// rejections they survive.
func (r *Relay) logRejectionLimit(a policy.RejectionLimitChanged) {
	r.Log.Line(logs.StateChange, "rejection limit", "pool", a.Pool, "named", a.Advertised, "per_second", a.PerSecond, "server", a.Server)
}

// logPartBlocked logs that requests with a part of a prompt are refused, and for what evidence.
func (r *Relay) logPartBlocked(a policy.PartBlocked) {
	r.Log.Line(logs.StateChange, "prompt part blocked", "pool", a.Pool, "part", formatPart(a.Part), "reporter", a.Reporter,
		"servers", strings.Join(a.Evidence.Servers, ","), "lost_requests", a.Evidence.Requests, "answers_before", a.Evidence.Before,
		"with_part", a.Evidence.BeforeWith, "answers_since", a.Evidence.Since, "false_blocks", a.Evidence.FalseBlocks)
}

// logPartLifted logs that requests with the part are no longer refused.
func (r *Relay) logPartLifted(a policy.PartLifted) {
	r.Log.Line(logs.StateChange, "prompt part unblocked", "pool", a.Pool, "part", formatPart(a.Part), "reason", string(a.Reason))
}

// logPartTried logs that a request with a blocked part may run.
func (r *Relay) logPartTried(a policy.PartTried) {
	id := ""
	if req := r.request(a.ID); req != nil {
		id = req.requestID
	}
	r.Log.Line(logs.StateChange, "blocked prompt part tried", "request", id, "pool", a.Pool, "part", formatPart(a.Part))
}

func formatPart(part uint64) string { return strconv.FormatUint(part, 16) }

// maxLoggedVersions bounds the software versions in a log line.
const maxLoggedVersions = 8

// versionList formats the versions of a service that count, with their states.
func versionList(r admission.Record) string {
	var list []string
	for _, version := range r.Counted[:min(len(r.Counted), maxLoggedVersions)] {
		list = append(list, version.GetVersion()+" "+admission.StateName(version))
	}
	if r.Lost {
		list = append(list, "lost")
	}
	return strings.Join(list, ",")
}
