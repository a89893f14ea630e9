package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

// forwardJob handles a request of the gateway.
type forwardJob struct {
	relay *Relay
	req   *request
	q     *gateway.Request
	rw    *gateway.ResponseWriter
	// sentEvent is the id of the last complete event sent to the caller.
	sentEvent string
	// failedAnswer is the last 5xx answer of a server; it is sent to the caller unchanged
	// if no further attempt follows.
	failedAnswer   *bufferedAnswer
	firstTokenSeen bool
	// addresses are those that got an attempt.
	addresses []string
	// began is true once a server has begun to run the request.
	began bool
	// passing is true once an answer that isn't a stream was begun before it was complete.
	passing bool
	// version is the software version of what the caller has of the answer, once bound is set.
	version string
	bound   bool
	// ctx ends with the caller's connection or the deadline.
	ctx  context.Context
	slow slowCaller
}

var _ job = (*forwardJob)(nil)

// errServerFailed is returned if a server ran the request and answered with a 5xx status.
var errServerFailed = errors.New("backend server ran the request and answered with a failure")

// Forward handles a request of the gateway. It returns a typed error if the request could not
// be answered.
func (r *Relay) Forward(ctx context.Context, q *gateway.Request, rw *gateway.ResponseWriter) error {
	team := routing.NoTeam
	if q.Team != nil {
		team = q.Team.Name
	}
	priority := routing.Priority(q.Route, q.Team)
	req := &request{
		requestID: q.AttemptID, class: routing.ClassName(q.Route, priority), team: team,
		target: q.Route.Pick(rand.Float64()), arrived: time.Now(), deadline: q.Deadline,
		parts: sharedParts(q.Parts), lastEvent: q.LastEvent, resumes: q.Resumes,
		actions: make(chan policy.Action, actionSlots),
	}
	j := &forwardJob{relay: r, req: req, q: q, rw: rw, ctx: ctx}
	j.slow = slowCaller{rw: rw, hold: q.Hold}
	req.slow = &j.slow
	q.Hold.OnGiveUp(func() { req.abort(errGivenUp) })
	arrival := policy.Arrival{
		Class: req.class, Team: team, Target: req.target, Digest: Digest(team, q.URI, q.Body),
		PromptTokens: max(q.PromptTokens, 1), MaxTokens: q.MaxTokens, Hint: q.LengthHint, Prefix: prefixOf(q.Parts), Parts: req.parts,
		Deadline: q.Deadline, Idempotent: q.Route.Repeatable(), Resumable: q.Route.Resumable, Pinned: true,
	}
	if err := r.register(req); err != nil {
		return err
	}
	defer r.unregister(req)
	if err := r.checkVersionsConfirmed(q, req); err != nil {
		return err
	}
	if r.Origins != nil && resumesStream(q) {
		if err := r.bindToOrigin(ctx, q, req, &arrival); err != nil {
			return err
		}
		j.bindVersion(arrival.Version)
	}
	err := r.run(ctx, req, arrival, j)
	if err == nil && r.Origins != nil && q.Route.Resumable {
		r.Origins.Ended(q.AttemptID)
	}
	if err != nil && j.failedAnswer != nil && !rw.HeaderWritten() && ctx.Err() == nil {
		return j.writeBuffered(j.failedAnswer)
	}
	return err
}

// prefixOf returns a block for each part, with the hash of that part and all parts before it.
func prefixOf(parts []gateway.PromptPart) []policy.Block {
	if len(parts) == 0 {
		return nil
	}
	blocks := make([]policy.Block, len(parts))
	var running [16]byte
	hash, end := uint64(0), 0
	for i, part := range parts {
		end += part.Tokens
		for k := range 8 {
			running[k], running[8+k] = byte(hash>>(8*k)), byte(part.ID>>(8*k))
		}
		hash = xxhash.Sum64(running[:])
		blocks[i] = policy.Block{Hash: hash, End: end}
	}
	return blocks
}

// sharedParts returns the ids of all parts but the last, which belongs to the request itself.
func sharedParts(parts []gateway.PromptPart) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	ids := make([]uint64, len(parts)-1)
	for i := range ids {
		ids[i] = parts[i].ID
	}
	return ids
}

func (j *forwardJob) begun() bool { return j.rw.HeaderWritten() }

// continuable reports whether the route's events carry ids from which another server can
// resume.
func (j *forwardJob) continuable() bool { return j.q.Route.Resumable && !j.passing }

func (j *forwardJob) attempt(ctx context.Context, att *upstreamAttempt) error {
	if err := j.send(ctx, att); err != nil {
		return probeServer(ctx, j.relay.Gateway, att, err)
	}
	return nil
}

// send makes one attempt.
func (j *forwardJob) send(ctx context.Context, att *upstreamAttempt) error {
	send := &gateway.ForwardInfo{
		Server: att.server.GetIdentity(), Priority: att.start.Level, Resumable: j.q.Route.Resumable, LastEvent: j.sentEvent,
	}
	if j.q.Team != nil {
		send.Team = j.q.Team.Name
	}
	if holder := j.relay.server(att.start.FetchFrom); holder != nil {
		send.FetchFrom = holder.GetAddress()
	}
	if !j.q.CallerDeadline.IsZero() {
		send.Remaining = time.Until(j.q.CallerDeadline)
	}
	address := att.server.GetAddress()
	repeated := slices.Contains(j.addresses, address)
	j.addresses = append(j.addresses, address)
	resp, err := j.relay.Gateway.Do(ctx, gateway.Call{
		Address: address, Repeated: repeated, Method: j.q.Method, URI: j.q.URI, Host: j.q.Host,
		Header: j.q.Header, Body: j.q.Body, Info: send, Attempt: att.state, NonIdempotent: !j.q.Route.Repeatable(),
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	j.req.framing, j.req.stated = upstream.FramingOf(resp.Response), resp.ContentLength
	j.req.status, j.req.named = resp.StatusCode, resp.Info.AttemptID != "" && resp.Info.AttemptID == j.q.AttemptID
	j.reportLoad(att, resp)
	j.reportLimit(att, resp)
	if resp.Info.NotRun {
		return &upstream.StatusError{Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: resp.Info.RetryAfter, Misdirected: resp.StatusCode == http.StatusMisdirectedRequest}
	}
	if resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), eventStreamType) {
		return j.forwardEvents(ctx, att, resp)
	}
	return j.forwardBuffered(ctx, att, resp)
}

// reportLoad reports the load stated in the server's reply to the core. A reply with status 421
// comes from another server at the same address and is ignored.
func (j *forwardJob) reportLoad(att *upstreamAttempt, resp *gateway.Response) {
	if load := resp.Info.Load; load != nil && resp.StatusCode != http.StatusMisdirectedRequest {
		j.relay.Post(policy.LoadReport{Server: att.start.Server, Running: load.Running, Waiting: load.Waiting, Pace: load.Pace})
	}
}

// reportLimit reports to the core the limits that the server states, or that it states none.
// A reply with status 421 comes from another server at the same address and is ignored.
func (j *forwardJob) reportLimit(att *upstreamAttempt, resp *gateway.Response) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if limit := resp.Info.Limit; limit.Invalid != "" {
		j.relay.logBadLimit(j.req, att.start, limit.Invalid)
	} else {
		j.relay.Post(policy.LimitReport{Server: att.start.Server, Advertised: limit.Advertised, PerSecond: limit.PerSecond})
	}
	if limit := resp.Info.Rejections; limit.Invalid != "" {
		j.relay.logBadLimit(j.req, att.start, limit.Invalid)
	} else {
		j.relay.Post(policy.RejectionReport{Server: att.start.Server, Advertised: limit.Advertised, PerSecond: limit.PerSecond})
	}
}

// reportRun counts the request as one that a server has begun to run, once however many
// attempts follow.
func (j *forwardJob) reportRun() {
	if j.began || j.q.Team == nil {
		return
	}
	j.began = true
	j.relay.OnRun(j.q.Team.Name)
}

// reportTokens counts received tokens and reports them to the core.
func (j *forwardJob) reportTokens(tokens int) {
	j.req.addTokens(j.relay.mailbox, tokens)
	j.relay.Counter.Tokens(tokens)
	if !j.firstTokenSeen {
		j.firstTokenSeen = true
		j.relay.Counter.FirstToken(j.q.Route.Name, time.Since(j.req.arrived))
	}
}
