package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

const (
	// maxForwardBuffer is the size of the largest answer, in bytes. Answers that are not
	// event streams are read completely before the first byte is sent, so that an
	// interrupted one can be retried.
	maxForwardBuffer = 8 << 20
	// eventStreamType is the content type of server-sent events.
	eventStreamType = "text/event-stream"
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
	// began is true once a server has begun to run the request.
	began bool
}

// bufferedAnswer is a backend server's complete answer.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	// framing and length are those of the server's response; length is -1 if it stated none.
	framing upstream.Framing
	length  int64
}

var _ job = (*forwardJob)(nil)

// errServerFailed is returned if a server ran the request and answered with a 5xx status.
var errServerFailed = errors.New("backend server ran the request and answered with a failure")

// errAnswerTooLarge is returned for an answer above maxForwardBuffer.
var errAnswerTooLarge = errors.New("answer exceeds the size limit of 8 MiB")

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
		lastEvent: q.LastEvent, resumes: q.Resumes,
		actions: make(chan policy.Action, actionSlots),
	}
	j := &forwardJob{relay: r, req: req, q: q, rw: rw}
	arrival := policy.Arrival{
		Class: req.class, Team: team, Target: req.target, Digest: Digest(team, q.URI, q.Body),
		PromptTokens: max(q.PromptTokens, 1), MaxTokens: q.MaxTokens, Hint: q.LengthHint, Prefix: prefixOf(q.Parts),
		Deadline: q.Deadline, Idempotent: q.Route.Repeatable(), Pinned: true,
	}
	if err := r.register(req); err != nil {
		return err
	}
	defer r.unregister(req)
	if r.Origins != nil && resumesStream(q) {
		if err := r.bindToOrigin(ctx, q, req, &arrival); err != nil {
			return err
		}
	}
	err := r.run(ctx, req, arrival, j)
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

func (j *forwardJob) begun() bool { return j.rw.HeaderWritten() }

// continuable reports whether the route's events carry ids from which another server can
// resume.
func (j *forwardJob) continuable() bool { return j.q.Route.Resumable }

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
	j.recordOrigin(att.start)
	if !j.q.CallerDeadline.IsZero() {
		send.Remaining = time.Until(j.q.CallerDeadline)
	}
	resp, err := j.relay.Gateway.Do(ctx, gateway.Call{
		Address: att.server.GetAddress(), Method: j.q.Method, URI: j.q.URI, Host: j.q.Host,
		Header: j.q.Header, Body: j.q.Body, Info: send, Attempt: att.state, NonIdempotent: !j.q.Route.Repeatable(),
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	j.req.framing = upstream.FramingOf(resp.Response)
	j.reportLoad(att, resp.Info)
	j.reportLimit(att, resp)
	if resp.Info.NotRun {
		return &upstream.StatusError{Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: resp.Info.RetryAfter}
	}
	if resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), eventStreamType) {
		return j.forwardEvents(ctx, resp)
	}
	return j.forwardBuffered(resp)
}

// reportLoad reports the load stated in the server's reply to the core.
func (j *forwardJob) reportLoad(att *upstreamAttempt, reply gateway.ResponseInfo) {
	if load := reply.Load; load != nil {
		j.relay.Post(policy.LoadReport{Server: att.start.Server, Running: load.Running, Waiting: load.Waiting})
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

// forwardBuffered reads the complete answer before it sends the first byte.
func (j *forwardJob) forwardBuffered(resp *gateway.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxForwardBuffer+1))
	if err != nil {
		return err
	}
	j.reportRun()
	if len(body) > maxForwardBuffer {
		return errAnswerTooLarge
	}
	buffered := &bufferedAnswer{status: resp.StatusCode, header: resp.Header, body: body, framing: j.req.framing, length: resp.ContentLength}
	if resp.StatusCode >= http.StatusInternalServerError && !j.rw.HeaderWritten() {
		j.failedAnswer = buffered
		return errServerFailed
	}
	if j.rw.HeaderWritten() {
		// A resumed stream was answered with something other than a stream.
		return errors.New("backend server answered " + strconv.Itoa(resp.StatusCode) + " instead of a resumed stream")
	}
	return j.writeBuffered(buffered)
}

// writeBuffered sends a buffered answer to the caller unchanged.
func (j *forwardJob) writeBuffered(buffered *bufferedAnswer) error {
	j.req.record.Answered()
	j.reportTokens(1)
	j.relay.Protocol.CopyResponseHeader(j.rw.Header(), buffered.header)
	length := int64(len(buffered.body))
	if j.q.Method == http.MethodHead {
		length = buffered.length
	}
	switch {
	case buffered.framing == upstream.Unframed:
		j.rw.EndWithConnection()
	case length >= 0:
		j.rw.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	j.rw.WriteHeader(buffered.status)
	if j.q.Method == http.MethodHead {
		return nil
	}
	if _, err := j.rw.Write(buffered.body); err != nil {
		return errCallerGone
	}
	return nil
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

// eventTokens returns the number of tokens per event of the stream.
func (j *forwardJob) eventTokens() int {
	service := j.q.Table.Service(j.req.target)
	if service == nil || service.Engine == nil {
		return 1
	}
	return max(service.Engine.EventTokens, 1)
}

// forwardEvents forwards a stream event by event.
func (j *forwardJob) forwardEvents(ctx context.Context, resp *gateway.Response) error {
	tokens := j.eventTokens()
	var events eventReader
	events.reset(resp.Body)
	running := false
	for {
		event, err := events.next()
		if len(event) > 0 && !running {
			running = true
			j.reportRun()
		}
		if len(event) > 0 && (err == nil || err == io.EOF) {
			if forwardErr := j.forwardEvent(ctx, resp, event, tokens); forwardErr != nil {
				return forwardErr
			}
		}
		if err == io.EOF {
			return j.endStream(resp, running)
		}
		if err != nil {
			return err
		}
	}
}

// errUnconfirmedEnd is returned for the regular end of an unframed stream whose first part
// reached the caller with a framing: ending that would claim that the stream is complete.
var errUnconfirmedEnd = errors.New("resumed stream ended with its connection and may be incomplete")

// endStream ends the answer with a stream that ended regularly. anyEvents reports whether the
// server sent a part of it.
func (j *forwardJob) endStream(resp *gateway.Response, anyEvents bool) error {
	fresh := j.sentEvent == "" && j.q.LastEvent == ""
	if j.req.framing == upstream.Unframed && !anyEvents && fresh && j.q.Route.Resumable {
		// Nothing of it can be lost by a repetition.
		return io.ErrUnexpectedEOF
	}
	if !j.rw.HeaderWritten() {
		// The stream had no events.
		j.begin(resp)
	}
	if j.req.framing == upstream.Unframed && !j.rw.Unframed() {
		return errUnconfirmedEnd
	}
	return nil
}

func (j *forwardJob) begin(resp *gateway.Response) {
	j.relay.Protocol.CopyResponseHeader(j.rw.Header(), resp.Header)
	switch {
	case j.req.framing == upstream.Unframed:
		j.rw.EndWithConnection()
	case resp.ContentLength >= 0 && !j.q.Route.Resumable:
		j.rw.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	j.rw.WriteHeader(resp.StatusCode)
}

func (j *forwardJob) forwardEvent(ctx context.Context, resp *gateway.Response, event []byte, tokens int) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if j.req.pastDeadline() {
		return context.DeadlineExceeded
	}
	if !j.rw.HeaderWritten() {
		j.begin(resp)
	}
	j.req.record.Answered()
	j.reportTokens(tokens)
	if _, err := j.rw.Write(event); err != nil {
		return errCallerGone
	}
	if err := j.rw.Flush(); err != nil {
		return errCallerGone
	}
	if id, ok := eventID(event); ok {
		j.sentEvent, j.req.lastEvent = id, id
	}
	return nil
}

// eventID returns the id of a complete event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
