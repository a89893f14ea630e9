package relay

import (
	"context"
	"errors"
	"fmt"

	"github.com/lilacbridge/lilacbridge/connection/engine"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

// open starts or continues the answer at the attempt's engine.
func (j *chatJob) open(ctx context.Context, att *upstreamAttempt) (*engine.Stream, error) {
	call := engine.Call{
		Address: att.server.GetAddress(), RequestID: att.upstreamID, Priority: att.start.Priority, Attempt: att.state,
	}
	if !j.begun() && !j.completion.plain {
		// The answer can't be continued from a prefix, but nothing was sent to the
		// caller yet: start over.
		j.completion = newCompletion(j.q.RequestID, j.completion.promptTokens)
	}
	before := j.req.held
	if before.id != "" && before.server == att.start.ResumeFrom && j.completion.tokens > 0 {
		stream, err := j.resume(ctx, call, att, before)
		if err == nil || att.state.Written() && upstream.IsConnectionError(err) {
			return stream, err
		}
		if ctx.Err() != nil {
			return nil, err
		}
		j.relay.Post(policy.Recomputed{ID: j.req.id, Attempt: att.start.Attempt})
	}
	if !j.completion.plain {
		return nil, fmt.Errorf("answer with tool calls is no longer held by the engine: %w", errPermanent)
	}
	j.relay.release(before)
	j.req.held = heldAnswer{server: att.start.Server, address: call.Address, id: att.upstreamID}
	body, err := engineBody(j.q, j.completion.text.String(), j.completion.tokens)
	if err != nil {
		return nil, err
	}
	j.completion.base, j.resumeBase = j.completion.tokens, j.completion.tokens
	j.relay.Counter.TokensSaved(j.completion.tokens)
	return j.relay.Engines.Chat(ctx, call, body)
}

// resume resumes the answer at the engine that holds it; if that is not the attempt's engine,
// it first moves the KV cache there.
func (j *chatJob) resume(ctx context.Context, call engine.Call, att *upstreamAttempt, before heldAnswer) (*engine.Stream, error) {
	if before.server != att.start.Server {
		cache, err := j.relay.Engines.ExportKV(ctx, before.address, before.id, att.upstreamID)
		if err != nil {
			return nil, err
		}
		if err := j.relay.Engines.ImportKV(ctx, call.Address, att.upstreamID, cache); err != nil {
			return nil, err
		}
	}
	stream, err := j.relay.Engines.Resume(ctx, call, before.id, j.completion.tokens-j.resumeBase)
	if err != nil {
		return nil, err
	}
	j.relay.Counter.TokensSaved(j.completion.tokens)
	if before.server != att.start.Server {
		j.relay.release(before)
	}
	j.req.held = heldAnswer{server: att.start.Server, address: call.Address, id: before.id}
	return stream, nil
}

// forgetHeld clears the held answer if the engine refused the request or never received it.
func (j *chatJob) forgetHeld(err error, att *upstreamAttempt) {
	var status *upstream.StatusError
	if errors.As(err, &status) || !att.state.Written() {
		j.req.held = heldAnswer{}
	}
}

// resumeSameEngine resumes a broken stream at the engine that generated it. It also
// distinguishes a broken connection from a crashed engine, which refuses the next connection;
// only a crash makes the request a suspect.
func (j *chatJob) resumeSameEngine(ctx context.Context, att *upstreamAttempt) (*engine.Stream, error) {
	call := engine.Call{
		Address: att.server.GetAddress(), RequestID: att.upstreamID, Priority: att.start.Priority, Attempt: att.state,
	}
	stream, err := j.relay.Engines.Resume(ctx, call, j.req.held.id, j.completion.tokens-j.resumeBase)
	var status *upstream.StatusError
	switch {
	case err == nil:
		j.relay.Counter.TokensSaved(j.completion.tokens)
		return stream, nil
	case errors.As(err, &status):
		return nil, errAnswerLost
	}
	return nil, err
}
