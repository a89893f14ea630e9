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
	// wholeAnswerBytes is the largest answer that is read whole before its first
	// byte goes out, so that a broken one can be tried again.
	wholeAnswerBytes = 8 << 20
	// eventStreamType is the content type of a series of events.
	eventStreamType = "text/event-stream"
)

// forwardJob is a request of the gateway on its way.
type forwardJob struct {
	relay  *Relay
	flight *flight
	q      *gateway.Request
	answer *gateway.ResponseWriter
	// lastEvent is the id of the last whole event that the caller holds.
	lastEvent string
	// failure is the last answer of a server that failed; the caller gets it as
	// it is where no further attempt follows.
	failure *wholeAnswer
	seen    bool
}

// wholeAnswer is a backend server's answer, read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

var _ job = (*forwardJob)(nil)

// errServerFailed is the error of a server that ran the request and says that it
// failed.
var errServerFailed = errors.New("backend server ran the request and answered with a failure")

// errAnswerTooLarge is the error of an answer above wholeAnswerBytes.
var errAnswerTooLarge = errors.New("answer is larger than the gateway holds")

// Forward answers a request of the gateway.
func (r *Relay) Forward(ctx context.Context, q *gateway.Request, answer *gateway.ResponseWriter) error {
	team := routing.NoTeam
	if q.Team != nil {
		team = q.Team.Name
	}
	priority := routing.Priority(q.Route, q.Team)
	f := &flight{
		requestID: q.AttemptID, class: routing.ClassName(q.Route, priority), team: team,
		target: q.Route.Pick(rand.Float64()), arrived: time.Now(), deadline: q.Deadline,
		actions: make(chan policy.Action, actionSlots),
	}
	j := &forwardJob{relay: r, flight: f, q: q, answer: answer}
	arrival := policy.Arrival{
		Class: f.class, Team: team, Target: f.target, Digest: Digest(team, q.URI, q.Body),
		PromptTokens: max(q.PromptTokens, 1), MaxTokens: q.MaxTokens, Hint: q.LengthHint, Prefix: prefixOf(q.Parts),
		Deadline: q.Deadline, Idempotent: q.Route.Repeatable(), Pinned: true,
	}
	if err := r.enter(f); err != nil {
		return err
	}
	defer r.leave(f)
	err := r.run(ctx, f, arrival, j)
	if err != nil && j.failure != nil && !answer.HeaderWritten() && ctx.Err() == nil {
		return j.give(j.failure)
	}
	return err
}

// prefixOf gives each part the hash of itself and all parts before it.
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

func (j *forwardJob) begun() bool { return j.answer.HeaderWritten() }

// continuable holds where the server's own events say from where to go on.
func (j *forwardJob) continuable() bool { return j.q.Route.Resumable }

func (j *forwardJob) try(ctx context.Context, t *try) error {
	if err := j.send(ctx, t); err != nil {
		return probed(ctx, t, err)
	}
	return nil
}

// send makes one attempt.
func (j *forwardJob) send(ctx context.Context, t *try) error {
	send := &gateway.ForwardInfo{
		Server: t.server.GetIdentity(), Priority: t.start.Level, Resumable: j.q.Route.Resumable, LastEvent: j.lastEvent,
	}
	if j.q.Team != nil {
		send.Team = j.q.Team.Name
	}
	if holder := j.relay.server(t.start.FetchFrom); holder != nil {
		send.FetchFrom = holder.GetAddress()
	}
	if !j.q.CallerDeadline.IsZero() {
		send.Remaining = time.Until(j.q.CallerDeadline)
	}
	resp, err := j.relay.Gateway.Do(ctx, gateway.Call{
		Address: t.server.GetAddress(), Method: j.q.Method, URI: j.q.URI, Host: j.q.Host,
		Header: j.q.Header, Body: j.q.Body, Info: send, Attempt: t.attempt, NonIdempotent: !j.q.Route.Repeatable(),
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	j.noteLoad(t, resp.Info)
	j.noteLimit(t, resp)
	if resp.Info.NotRun {
		return &upstream.StatusError{Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: resp.Info.RetryAfter}
	}
	if resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), eventStreamType) {
		return j.passEvents(ctx, resp)
	}
	return j.passWhole(resp)
}

// noteLoad tells the core what the server says of its load.
func (j *forwardJob) noteLoad(t *try, reply gateway.ResponseInfo) {
	if load := reply.Load; load != nil {
		j.relay.Post(policy.LoadReport{Server: t.start.Server, Running: load.Running, Waiting: load.Waiting})
	}
}

// noteLimit tells the core of a limit that the server names, or names no longer. Another
// server's word at the same address says nothing of this one.
func (j *forwardJob) noteLimit(t *try, resp *gateway.Response) {
	limit := resp.Info.Limit
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if limit.Invalid != "" {
		j.relay.logBadLimit(j.flight, t.start, limit.Invalid)
		return
	}
	j.relay.Post(policy.LimitReport{Server: t.start.Server, Advertised: limit.Advertised, PerSecond: limit.PerSecond})
}

// passWhole reads the answer to its end before its first byte goes out.
func (j *forwardJob) passWhole(resp *gateway.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, wholeAnswerBytes+1))
	if err != nil {
		return err
	}
	if len(body) > wholeAnswerBytes {
		return errAnswerTooLarge
	}
	whole := &wholeAnswer{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= http.StatusInternalServerError && !j.answer.HeaderWritten() {
		j.failure = whole
		return errServerFailed
	}
	if j.answer.HeaderWritten() {
		// A resumed stream went on as something that is no stream.
		return errors.New("backend server answered " + strconv.Itoa(resp.StatusCode) + " where a stream was to go on")
	}
	return j.give(whole)
}

// give hands a whole answer to the caller as it is.
func (j *forwardJob) give(whole *wholeAnswer) error {
	j.flight.record.Answered()
	j.progress(1)
	j.relay.Protocol.CopyResponseHeader(j.answer.Header(), whole.header)
	j.answer.Header().Set("Content-Length", strconv.Itoa(len(whole.body)))
	j.answer.WriteHeader(whole.status)
	if j.q.Method == http.MethodHead {
		return nil
	}
	if _, err := j.answer.Write(whole.body); err != nil {
		return errCallerGone
	}
	return nil
}

// progress tells the core of tokens that came.
func (j *forwardJob) progress(tokens int) {
	j.flight.growBy(j.relay.box, tokens)
	j.relay.Counter.Tokens(tokens)
	if !j.seen {
		j.seen = true
		j.relay.Counter.FirstToken(j.q.Route.Name, time.Since(j.flight.arrived))
	}
}

// eventTokens is how many tokens an event of the stream holds.
func (j *forwardJob) eventTokens() int {
	service := j.q.Table.Service(j.flight.target)
	if service == nil || service.Engine == nil {
		return 1
	}
	return max(service.Engine.EventTokens, 1)
}

// passEvents passes a stream on, event by event.
func (j *forwardJob) passEvents(ctx context.Context, resp *gateway.Response) error {
	tokens := j.eventTokens()
	var events eventReader
	events.reset(resp.Body)
	for {
		event, err := events.next()
		if len(event) > 0 && (err == nil || err == io.EOF) {
			if passed := j.passEvent(ctx, resp, event, tokens); passed != nil {
				return passed
			}
		}
		if err == io.EOF {
			return j.ended(resp)
		}
		if err != nil {
			return err
		}
	}
}

// ended gives a stream without any event its header at least.
func (j *forwardJob) ended(resp *gateway.Response) error {
	if !j.answer.HeaderWritten() {
		j.begin(resp)
	}
	return nil
}

func (j *forwardJob) begin(resp *gateway.Response) {
	j.relay.Protocol.CopyResponseHeader(j.answer.Header(), resp.Header)
	if resp.ContentLength >= 0 && !j.q.Route.Resumable {
		j.answer.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	j.answer.WriteHeader(resp.StatusCode)
}

func (j *forwardJob) passEvent(ctx context.Context, resp *gateway.Response, event []byte, tokens int) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if j.flight.late() {
		return context.DeadlineExceeded
	}
	if !j.answer.HeaderWritten() {
		j.begin(resp)
	}
	j.flight.record.Answered()
	j.progress(tokens)
	if _, err := j.answer.Write(event); err != nil {
		return errCallerGone
	}
	if err := j.answer.Flush(); err != nil {
		return errCallerGone
	}
	if id, ok := eventID(event); ok {
		j.lastEvent = id
	}
	return nil
}

// eventID returns the id that a whole event carries.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
