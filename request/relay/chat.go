package relay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lilacbridge/lilacbridge/connection/caller"
	"github.com/lilacbridge/lilacbridge/connection/engine"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/version/prefix"
)

const (
	dataField = "data: "
	endEvent  = "\n\n"
	doneEvent = "data: [DONE]\n\n"
)

// Digest is SHA-256 of team, path and body, in hexadecimal, by which a request
// that crashes servers is known.
func Digest(team, path string, body []byte) string {
	hash := sha256.New()
	fmt.Fprintf(hash, "%s\x00%s\x00", team, path)
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// chatJob is a chat completions request on its way.
type chatJob struct {
	relay  *Relay
	flight *flight
	q      *caller.Chat
	answer *caller.Answer
	got    *completion
	frame  []byte
	// copied keeps what a streaming caller got, for the ledger; nil without a claim.
	copied *copied
	seen   bool
	// finishSent is false where the end was concluded here, since the caller's
	// bound was reached when the stream broke.
	finishSent bool
	// heldFrom is the number of tokens that the engine's own part follows on: it
	// counts its tokens from there.
	heldFrom int
}

// maxResumes bounds how often one attempt takes its stream up again.
const maxResumes = 2

var errLost = errors.New("engine lives but no longer holds the answer that broke off")

var _ job = (*chatJob)(nil)

// Chat answers a chat completions request.
func (r *Relay) Chat(ctx context.Context, q *caller.Chat, answer *caller.Answer) error {
	f := newFlight(&q.Meta)
	texts := q.Texts()
	words := prefix.Words(texts...)
	j := &chatJob{relay: r, flight: f, q: q, answer: answer, got: newCompletion(q.RequestID, words)}
	arrival := policy.Arrival{
		Class: q.Class, Team: q.Team, Target: q.Target, Digest: Digest(q.Team, q.Path, q.Body),
		PromptTokens: words, MaxTokens: q.Bound(), Prefix: prefix.Blocks(texts...),
		Deadline: q.Deadline, Idempotent: q.Key == "",
	}
	return r.claimed(ctx, f, &q.Meta, answer, func(keep *copied) error {
		j.copied = keep
		return r.run(ctx, f, arrival, j)
	})
}

func (j *chatJob) begun() bool { return j.answer.Begun() }

// continuable holds for every answer of plain text; what came of a tool call
// can't be given to another engine as prefix.
func (j *chatJob) continuable() bool { return j.got.plain }

func (j *chatJob) try(ctx context.Context, t *try) error {
	if j.complete() {
		return j.finish(t)
	}
	stream, err := j.open(ctx, t)
	if err != nil && t.attempt.Written() && upstream.Crashed(err) && ctx.Err() == nil {
		stream, err = j.resumeHere(ctx, t)
	}
	if err != nil {
		j.forgetRefused(err, t)
		return err
	}
	for resumes := 0; ; resumes++ {
		err = j.read(ctx, t, stream)
		stream.Close()
		if err == nil || resumes == maxResumes || ctx.Err() != nil || !upstream.Crashed(err) {
			return err
		}
		if stream, err = j.resumeHere(ctx, t); err != nil {
			return err
		}
	}
}

// resumeHere takes a broken stream up at the engine that made it. It also tells
// a broken connection from a crashed engine, which refuses the next one; only
// the latter makes the request a suspect.
func (j *chatJob) resumeHere(ctx context.Context, t *try) (*engine.Stream, error) {
	call := engine.Call{
		Address: t.server.GetAddress(), RequestID: t.upstreamID, Priority: t.start.Priority, Attempt: t.attempt,
	}
	stream, err := j.relay.Engines.Resume(ctx, call, j.flight.held.id, j.got.tokens-j.heldFrom)
	var status *upstream.StatusError
	switch {
	case err == nil:
		j.relay.Counter.Saved(j.got.tokens)
		return stream, nil
	case errors.As(err, &status):
		return nil, errLost
	}
	return nil, err
}

// read passes a stream on to its end.
func (j *chatJob) read(ctx context.Context, t *try, stream *engine.Stream) error {
	for {
		data, err := stream.Next()
		if err != nil && j.got.finish != "" {
			// All of the text came; only the usage or the closing event is missing.
			return j.finish(t)
		}
		if err == io.EOF {
			return engine.ErrCut
		}
		if err != nil {
			return err
		}
		if err := j.take(ctx, t, stream, data); err != nil {
			return err
		}
	}
}

// complete tells whether an earlier attempt brought the whole text already.
func (j *chatJob) complete() bool {
	if bound := j.q.Bound(); j.got.finish == "" && j.got.plain && bound > 0 && j.got.tokens >= bound {
		j.got.finish = reasonLength
	}
	return j.got.finish != ""
}

// open starts or carries on the answer at the attempt's engine.
func (j *chatJob) open(ctx context.Context, t *try) (*engine.Stream, error) {
	call := engine.Call{
		Address: t.server.GetAddress(), RequestID: t.upstreamID, Priority: t.start.Priority, Attempt: t.attempt,
	}
	if !j.begun() && !j.got.plain {
		// The caller has nothing yet, and a prefix can't carry it on: from the start.
		j.got = newCompletion(j.q.RequestID, j.got.promptTokens)
	}
	before := j.flight.held
	if before.id != "" && before.server == t.start.ResumeFrom && j.got.tokens > 0 {
		stream, err := j.resume(ctx, call, t, before)
		if err == nil || t.attempt.Written() && upstream.Crashed(err) {
			return stream, err
		}
		if ctx.Err() != nil {
			return nil, err
		}
	}
	if !j.got.plain {
		return nil, fmt.Errorf("the engine no longer holds an answer with tool calls: %w", errFinal)
	}
	j.relay.release(before)
	j.flight.held = held{server: t.start.Server, address: call.Address, id: t.upstreamID}
	body, err := engineBody(j.q, j.got.text.String(), j.got.tokens)
	if err != nil {
		return nil, err
	}
	j.got.base, j.heldFrom = j.got.tokens, j.got.tokens
	j.relay.Counter.Saved(j.got.tokens)
	return j.relay.Engines.Chat(ctx, call, body)
}

// resume takes the answer up at the engine that holds it, or moves its KV cache
// to the attempt's engine first.
func (j *chatJob) resume(ctx context.Context, call engine.Call, t *try, before held) (*engine.Stream, error) {
	if before.server != t.start.Server {
		cache, err := j.relay.Engines.ExportKV(ctx, before.address, before.id)
		if err != nil {
			return nil, err
		}
		if err := j.relay.Engines.ImportKV(ctx, call.Address, cache); err != nil {
			return nil, err
		}
	}
	stream, err := j.relay.Engines.Resume(ctx, call, before.id, j.got.tokens-j.heldFrom)
	if err != nil {
		return nil, err
	}
	j.relay.Counter.Saved(j.got.tokens)
	if before.server != t.start.Server {
		j.relay.release(before)
	}
	j.flight.held = held{server: t.start.Server, address: call.Address, id: before.id}
	return stream, nil
}

// forgetRefused drops the note of an answer that the engine does not hold.
func (j *chatJob) forgetRefused(err error, t *try) {
	var status *upstream.StatusError
	if errors.As(err, &status) || !t.attempt.Written() {
		j.flight.held = held{}
	}
}

// take passes one event on.
func (j *chatJob) take(ctx context.Context, t *try, stream *engine.Stream, data []byte) error {
	chunk, err := engine.ParseChunk(data)
	if err != nil {
		return err
	}
	if err := stream.Check(chunk); err != nil {
		return fmt.Errorf("%w: %w", err, upstream.ErrNotBound)
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if j.flight.late() {
		return context.DeadlineExceeded
	}
	if err := j.got.add(chunk); err != nil {
		return err
	}
	if chunk.Token() {
		j.token()
	}
	if !j.q.Stream {
		return nil
	}
	return j.pass(t, chunk, data)
}

func (j *chatJob) token() {
	j.flight.record.Answered()
	j.flight.grow(j.relay.box)
	j.relay.Counter.Tokens(1)
	if !j.seen {
		j.seen = true
		j.relay.Counter.FirstToken(j.q.Class, time.Since(j.flight.arrived))
	}
}

// pass writes an event to a streaming caller.
func (j *chatJob) pass(t *try, chunk *engine.Chunk, data []byte) error {
	j.finishSent = j.finishSent || chunk.FinishReason() != ""
	continued := j.answer.Begun() && t.start.Attempt > 1 && j.got.tokens > 0
	switch {
	case chunk.Usage != nil && len(chunk.Choices) == 0:
		// Written at the end, corrected over all attempts.
		return nil
	case continued && chunk.Empty():
		return nil
	case continued && len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Role != "" && chunk.Plain():
		data = j.got.textChunk(chunk.Choices[0].Delta.Content, chunk.FinishReason())
		return j.event(t, data, false)
	}
	return j.event(t, data, true)
}

// event writes one event in one piece; foreign data gets the request's own id.
func (j *chatJob) event(t *try, data []byte, foreign bool) error {
	j.frame = append(j.frame[:0], dataField...)
	if foreign {
		j.frame = splice(j.frame, data, j.got.id, j.got.created)
	} else {
		j.frame = append(j.frame, data...)
	}
	j.frame = append(j.frame, endEvent...)
	return j.send(t, j.frame)
}

func (j *chatJob) send(t *try, frame []byte) error {
	j.answer.BeginStream(t.start.Server)
	j.copied.write(frame)
	if err := j.answer.Event(frame); err != nil && !j.flight.claimed {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}

// finish ends a whole answer.
func (j *chatJob) finish(t *try) error {
	if !j.q.Stream {
		return j.finishWhole(t)
	}
	if !j.finishSent {
		if err := j.event(t, j.got.textChunk("", j.got.finish), false); err != nil {
			return err
		}
	}
	if j.q.StreamOptions.IncludeUsage {
		if err := j.event(t, j.got.usageChunk(), false); err != nil {
			return err
		}
	}
	return j.send(t, []byte(doneEvent))
}

func (j *chatJob) finishWhole(t *try) error {
	body, err := j.got.whole()
	if err != nil {
		return err
	}
	j.copied.begin(http.StatusOK, contentJSON)
	j.copied.write(body)
	j.answer.Begin(http.StatusOK, contentJSON, t.start.Server)
	if _, err := j.answer.Write(body); err != nil && !j.flight.claimed {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}

const contentJSON = "application/json"
