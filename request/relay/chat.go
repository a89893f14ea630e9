package relay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
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
	answer *caller.ResponseWriter
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
func (r *Relay) Chat(ctx context.Context, q *caller.Chat, answer *caller.ResponseWriter) error {
	f := newFlight(&q.Meta)
	texts := q.Texts()
	words := prefix.Words(texts...)
	j := &chatJob{relay: r, flight: f, q: q, answer: answer, got: newCompletion(q.RequestID, words)}
	arrival := policy.Arrival{
		Class: q.Class, Team: q.Team, Target: q.Target, Digest: Digest(q.Team, q.Path, q.Body),
		PromptTokens: words, MaxTokens: q.TokenLimit(), Prefix: blocksOf(prefix.Blocks(texts...)),
		Deadline: q.Deadline, Idempotent: q.Key == "",
	}
	return r.carry(ctx, f, &q.Meta, answer, func(keep *copied) error {
		j.copied = keep
		return r.run(ctx, f, arrival, j)
	})
}

// blocksOf gives the hashed blocks of a text their ends.
func blocksOf(hashes []uint64) []policy.Block {
	blocks := make([]policy.Block, len(hashes))
	for i, hash := range hashes {
		blocks[i] = policy.Block{Hash: hash, End: (i + 1) * prefix.BlockWords}
	}
	return blocks
}

func (j *chatJob) begun() bool { return j.answer.HeaderWritten() }

// continuable holds for every answer of plain text; what came of a tool call
// can't be given to another engine as prefix.
func (j *chatJob) continuable() bool { return j.got.plain }

func (j *chatJob) try(ctx context.Context, t *try) error {
	if j.complete() {
		return j.finish(t)
	}
	stream, err := j.open(ctx, t)
	if err != nil && t.attempt.Written() && upstream.IsConnectionError(err) && ctx.Err() == nil {
		stream, err = j.resumeHere(ctx, t)
	}
	if err != nil {
		j.forgetRefused(err, t)
		return err
	}
	for resumes := 0; ; resumes++ {
		err = j.read(ctx, t, stream)
		stream.Close()
		if err == nil || resumes == maxResumes || ctx.Err() != nil || !upstream.IsConnectionError(err) {
			return err
		}
		if stream, err = j.resumeHere(ctx, t); err != nil {
			return err
		}
	}
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
			return engine.ErrTruncated
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
	if bound := j.q.TokenLimit(); j.got.finish == "" && j.got.plain && bound > 0 && j.got.tokens >= bound {
		j.got.finish = reasonLength
	}
	return j.got.finish != ""
}

// take passes one event on.
func (j *chatJob) take(ctx context.Context, t *try, stream *engine.Stream, data []byte) error {
	chunk, err := engine.ParseChunk(data)
	if err != nil {
		return err
	}
	if err := stream.CheckID(chunk); err != nil {
		return fmt.Errorf("%w: %w", err, upstream.ErrIDMismatch)
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
	if chunk.HasToken() {
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
