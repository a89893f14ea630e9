package relay

import (
	"context"
	"errors"
	"fmt"

	"github.com/lilacbridge/lilacbridge/connection/engine"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

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
		if err == nil || t.attempt.Written() && upstream.IsConnectionError(err) {
			return stream, err
		}
		if ctx.Err() != nil {
			return nil, err
		}
		j.relay.Post(policy.Recomputed{ID: j.flight.id, Attempt: t.start.Attempt})
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
		cache, err := j.relay.Engines.ExportKV(ctx, before.address, before.id, t.upstreamID)
		if err != nil {
			return nil, err
		}
		if err := j.relay.Engines.ImportKV(ctx, call.Address, t.upstreamID, cache); err != nil {
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
