package relay

import (
	"fmt"
	"net/http"

	"github.com/lilacbridge/lilacbridge/connection/engine"
)

// pass writes an event to a streaming caller.
func (j *chatJob) pass(t *try, chunk *engine.Chunk, data []byte) error {
	j.finishSent = j.finishSent || chunk.FinishReason() != ""
	continued := j.answer.HeaderWritten() && t.start.Attempt > 1 && j.got.tokens > 0
	switch {
	case chunk.Usage != nil && len(chunk.Choices) == 0:
		// Written at the end, corrected over all attempts.
		return nil
	case continued && chunk.Empty():
		return nil
	case continued && len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Role != "" && chunk.TextOnly():
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
	j.answer.WriteStreamHeader(t.start.Server)
	j.copied.write(frame)
	if err := j.answer.WriteEvent(frame); err != nil && !j.flight.claimed {
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
	j.answer.WriteHeader(http.StatusOK, contentJSON, t.start.Server)
	if _, err := j.answer.Write(body); err != nil && !j.flight.claimed {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}

const contentJSON = "application/json"
